import type { CopyCandidate, CopySnapshot, PlacementHost } from '../../index';
import type { StepSpec, Task } from '@baobabwell/jobs';

import { expect } from 'earl';
import fc from 'fast-check';

import { PLAIN_STEP } from '@baobabwell/job-emulator';
import { JobRegistry, RunPhase } from '@baobabwell/jobs';

import { decideCopies } from '../../index';

const POOL = 'ovens';
const MAX_ATTEMPTS = 3;

function createHost(id: string, fields: Partial<PlacementHost> = {}): PlacementHost {
  return {
    id,
    pool: POOL,
    labels: ['a', id === 'oven-0' || id === 'oven-1' ? 'rack-1' : 'rack-2'],
    freeResources: { cpuMillis: 16_000, memoryMb: 64_000, gpus: 0 },
    shortTaskResources: { cpuMillis: 16_000, memoryMb: 64_000, gpus: 0 },
    ejectedOffer: null,
    coldLeftMs: 0,
    servingCount: 0,
    bestEffortCount: 0,
    hasLongRunning: false,
    runCount: 0,
    startingCount: 0,
    isStartingSuspect: false,
    ...fields,
  };
}

const HOSTS = ['oven-0', 'oven-1', 'oven-2', 'oven-3'].map((id) => createHost(id));

function createTasks(spec: Partial<StepSpec> = {}): readonly Task[] {
  const registry = new JobRegistry(() => null);
  const record = { id: 'j', queue: 'bake', organisation: 'guild', acceptedAtMs: 0 };
  const steps = [{ ...PLAIN_STEP, isSpeculative: true, ...spec }];
  const job = registry.addJob({ ...record, spec: { payload: '', steps, repeat: null } }, 1);
  return registry.listReadySteps(job, 0).flatMap(({ tasks }) => tasks);
}

function createCandidate(task: Task, fields: Partial<CopyCandidate> = {}): CopyCandidate {
  const run = task.addRun('oven-0', 1, 0);
  run.phase = RunPhase.Running;
  const expected = { remainingMs: 5_000, freshMs: 1_000, wonShare: 0.5 };
  return { run, pool: POOL, maxAttempts: MAX_ATTEMPTS, ...expected, ...fields };
}

function createSnapshot(
  candidates: readonly CopyCandidate[],
  fields: Partial<CopySnapshot> = {},
): CopySnapshot {
  return {
    candidates,
    pools: new Map([[POOL, { hosts: HOSTS, cpuMillis: 8_000 }]]),
    findLabels: () => ['a', 'rack-1'],
    allowances: new Map(),
    findAllowedHosts: () => null,
    ...fields,
  };
}

function listHosts(snapshot: CopySnapshot): readonly string[] {
  return decideCopies(snapshot).map(({ hostId }) => hostId);
}

describe('decideCopies', () => {
  it('copies a run that takes long on another host and rack', () => {
    const [task] = createTasks();
    expect(listHosts(createSnapshot(task ? [createCandidate(task)] : []))).toEqual(['oven-2']);
  });

  it('copies nothing where a task waits, or where the queue never won by copies', () => {
    const [first, second, third] = createTasks() as [Task, Task, Task];
    expect(listHosts(createSnapshot([createCandidate(first)], { pools: new Map() }))).toEqual([]);
    expect(listHosts(createSnapshot([createCandidate(second, { wonShare: 0.05 })]))).toEqual([]);
    expect(listHosts(createSnapshot([createCandidate(third, { remainingMs: 1_900 })]))).toEqual([]);
  });

  it('starts the most useful copies within the share of the pool and the cap of the organisation', () => {
    const remainingMs = [3_000, 9_000, 5_000, 7_000];
    const create = () =>
      createTasks().map((task, index) =>
        createCandidate(task, { remainingMs: remainingMs[index] ?? 0 }),
      );
    const listIndexes = (fields: Partial<CopySnapshot>) =>
      decideCopies(createSnapshot(create(), fields)).map(({ task }) => task.index);
    expect(listIndexes({})).toEqual([1, 3, 2, 0]);
    const pools = new Map([[POOL, { hosts: HOSTS, cpuMillis: 4_500 }]]);
    expect(listIndexes({ pools })).toEqual([1, 3]);
    const allowance = { cpuMillis: 2_000, memoryMb: 64_000, gpus: 0 };
    expect(listIndexes({ allowances: new Map([['guild', allowance]]) })).toEqual([1]);
  });

  it('keeps the limit of tasks per host and the hosts that the advisor allows', () => {
    const tasks = createTasks({ maxPerHost: 1 }).slice(0, 3);
    expect(listHosts(createSnapshot(tasks.map((task) => createCandidate(task))))).toEqual([
      'oven-2',
      'oven-3',
      'oven-1',
    ]);
    const [task] = createTasks();
    const findAllowedHosts = () => new Set(['oven-1']);
    const candidates = task ? [createCandidate(task)] : [];
    expect(listHosts(createSnapshot(candidates, { findAllowedHosts }))).toEqual(['oven-1']);
  });

  it('never copies twice, beside a suspect, at the last attempt, or what may not be copied', () => {
    const fields = fc.record({
      isSpeculative: fc.boolean(),
      isGang: fc.boolean(),
      isLasting: fc.boolean(),
      failures: fc.integer({ min: 0, max: 3 }),
      runs: fc.integer({ min: 1, max: 3 }),
      crashes: fc.integer({ min: 0, max: 2 }),
      phase: fc.constantFrom(...Object.values(RunPhase)),
    });
    fc.assert(
      fc.property(fields, ({ failures, runs, crashes, phase, ...spec }) => {
        const [task] = createTasks(spec) as [Task];
        const candidate = createCandidate(task);
        candidate.run.phase = phase;
        for (let number = 2; number <= runs; number += 1) {
          task.addRun(`oven-${number}`, number, 0);
        }
        for (let number = 0; number < crashes; number += 1) {
          const run = { number: 100 + number, hostId: 'oven', hostBornMs: null };
          task.crashes.record(run, { isAttributed: false, isRefutable: false }, 0);
        }
        for (let number = 0; number < failures; number += 1) {
          task.recordFailure(200 + number);
        }
        const isAllowed =
          spec.isSpeculative &&
          !spec.isGang &&
          !spec.isLasting &&
          runs === 1 &&
          crashes === 0 &&
          failures < MAX_ATTEMPTS - 1 &&
          phase === RunPhase.Running;
        expect(listHosts(createSnapshot([candidate])).length).toEqual(isAllowed ? 1 : 0);
      }),
    );
  });
});
