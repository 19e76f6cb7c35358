import type { RelocationSnapshot } from '../../index';

import { expect } from 'earl';
import fc from 'fast-check';

import { PLAIN_STEP } from '@baobabwell/job-emulator';
import { JobRegistry } from '@baobabwell/jobs';

import { decideRelocations } from '../../index';

const POOL = 'ovens';
const TASK_CPU = 2_000;

type Case = {
  readonly stepSizes: readonly number[];
  readonly freeCpu: readonly number[];
  readonly mayMiss: number;
};

/** Creates a snapshot in which all tasks of several steps are to leave. */
function createSnapshot({ stepSizes, freeCpu, mayMiss }: Case): RelocationSnapshot {
  const registry = new JobRegistry(() => null);
  const need = { cpuMillis: TASK_CPU, memoryMb: 100, gpus: 0 };
  const leaving = stepSizes.flatMap((taskCount, index) => {
    const step = { ...PLAIN_STEP, taskCount, need, isLasting: true };
    const job = registry.addJob(
      {
        id: `j${index}`,
        queue: 'bake',
        organisation: null,
        acceptedAtMs: 0,
        spec: { payload: '', steps: [step], repeat: null },
      },
      1,
    );
    return registry
      .listReadySteps(job, 0)
      .flatMap(({ tasks }) => tasks.map((task) => ({ task, pool: POOL })));
  });
  const hosts = freeCpu.map((cpuMillis, index) => ({
    id: `oven-${index}`,
    labels: [],
    freeResources: { cpuMillis, memoryMb: 10_000, gpus: 0 },
  }));
  return { leaving, hosts: new Map([[POOL, hosts]]), countMayMiss: () => mayMiss };
}

function listMoved(example: Case): readonly string[] {
  return decideRelocations(createSnapshot(example)).map(({ name }) => name);
}

describe('decideRelocations', () => {
  it('moves as many tasks of each step as it can miss', () => {
    expect(listMoved({ stepSizes: [3, 2], freeCpu: [20_000], mayMiss: 1 })).toEqual([
      'j0.0.0.0',
      'j1.0.0.0',
    ]);
  });

  it('moves nothing while no host has room for a whole task', () => {
    expect(listMoved({ stepSizes: [3], freeCpu: [1_900, 1_900], mayMiss: 3 })).toEqual([]);
  });

  it('moves no task of a step that misses more than it can', () => {
    expect(listMoved({ stepSizes: [3], freeCpu: [20_000], mayMiss: -1 })).toEqual([]);
  });

  it('fills the free room, within what the steps can miss', () => {
    fc.assert(
      fc.property(
        fc.record({
          stepSizes: fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 4 }),
          freeCpu: fc.array(fc.integer({ min: 0, max: 9_000 }), { maxLength: 4 }),
          mayMiss: fc.integer({ min: 0, max: 4 }),
        }),
        (example) => {
          const { stepSizes, freeCpu, mayMiss } = example;
          const room = freeCpu.reduce((sum, cpu) => sum + Math.floor(cpu / TASK_CPU), 0);
          const missable = stepSizes.reduce((sum, size) => sum + Math.min(size, mayMiss), 0);
          expect(listMoved(example).length).toEqual(Math.min(room, missable));
        },
      ),
    );
  });
});
