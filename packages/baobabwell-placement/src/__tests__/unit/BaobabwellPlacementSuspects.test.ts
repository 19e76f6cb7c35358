import type { PlacementHost, PlacementSnapshot } from '../../index';
import type { StepSpec, Task } from '@baobabwell/jobs';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';
import { JobRegistry } from '@baobabwell/jobs';

import { decidePlacements } from '../../index';

const HOST: PlacementHost = {
  id: 'oven-1',
  pool: 'ovens',
  labels: [],
  freeResources: { cpuMillis: 10_000, memoryMb: 100_000, gpus: 0 },
  shortTaskResources: { cpuMillis: 10_000, memoryMb: 100_000, gpus: 0 },
  ejectedOffer: null,
  servingCount: 0,
  bestEffortCount: 0,
  coldLeftMs: 0,
  hasLongRunning: false,
  runCount: 0,
  startingCount: 0,
  isStartingSuspect: false,
};

describe('placement of tasks that may crash their hosts', () => {
  /** Creates one task for each entry: the number of crashes under it. */
  function createSnapshot(
    crashCounts: readonly number[],
    hosts: readonly Partial<PlacementHost>[],
    change: Partial<StepSpec> = {},
  ): PlacementSnapshot {
    const registry = new JobRegistry(() => null);
    const spec = { ...PLAIN_STEP, ...change, taskCount: crashCounts.length };
    const record = {
      id: 'j',
      queue: 'bakes',
      organisation: null,
      acceptedAtMs: 0,
      spec: { payload: '', steps: [spec], repeat: null },
    };
    const steps = registry.listReadySteps(registry.addJob(record, 1), 0);
    steps
      .flatMap(({ tasks }) => tasks)
      .forEach((task: Task, index) => {
        for (let run = 1; run <= (crashCounts[index] ?? 0); run += 1) {
          const lost = { number: run, hostId: 'oven', hostBornMs: null };
          task.crashes.record(lost, { isAttributed: false, isRefutable: false }, 0);
        }
      });
    return {
      nowMs: 0,
      hosts: new Map([
        ['ovens', hosts.map((host, index) => ({ ...HOST, id: `oven-${index}`, ...host }))],
      ]),
      steps: steps.map((step) => ({ step, pool: 'ovens' })),
      allowances: new Map(),
      findAllowedHosts: () => null,
    };
  }

  function listPlaced(snapshot: PlacementSnapshot): readonly string[] {
    return decidePlacements(snapshot).map(({ task, hostId }) => `${task.index} ${hostId}`);
  }

  it('starts one suspect on a host at a time', () => {
    expect(listPlaced(createSnapshot([1, 1, 1], [{}, {}]))).toEqual(['0 oven-0', '1 oven-1']);
  });

  it('starts no task beside a suspect that is starting', () => {
    const hosts = [{ isStartingSuspect: true, startingCount: 1, runCount: 1 }, {}];
    expect(listPlaced(createSnapshot([0, 1], hosts))).toEqual(['0 oven-1', '1 oven-1']);
    expect(listPlaced(createSnapshot([1, 0], hosts))).toEqual(['0 oven-1']);
  });

  it('starts a suspect where nothing else has just started', () => {
    const hosts = [{ startingCount: 2, runCount: 2 }, { runCount: 5 }];
    expect(listPlaced(createSnapshot([1], hosts))).toEqual(['0 oven-1']);
  });

  it('reserves the least loaded host for a task under which several hosts crashed', () => {
    const hosts = [{ runCount: 4 }, { runCount: 2 }];
    expect(listPlaced(createSnapshot([0, 2], hosts))).toEqual(['0 oven-0', '1 oven-1']);
  });

  it('keeps the only host of a pool for all tasks', () => {
    expect(listPlaced(createSnapshot([0, 2], [{}]))).toEqual(['0 oven-0', '1 oven-0']);
  });

  it('reserves no host for a task that finds no place for long', () => {
    const snapshot = createSnapshot([0, 2], [{ runCount: 2 }, { runCount: 4 }]);
    expect(listPlaced(snapshot)).toEqual(['0 oven-1', '1 oven-0']);
    expect(listPlaced({ ...snapshot, nowMs: 5_000 })).toEqual(['0 oven-0', '1 oven-1']);
  });

  it('places a gang with several suspects on whatever hosts there are', () => {
    const snapshot = createSnapshot([1, 1, 1], [{}, {}], { isGang: true });
    expect(listPlaced(snapshot).length).toEqual(3);
  });
});
