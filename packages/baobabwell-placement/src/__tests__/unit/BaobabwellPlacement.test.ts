import type { PlacementHost, PlacementSnapshot } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';
import { JobLedger } from '@baobabwell/jobs';

import { decidePlacements } from '../../index';

const PLAIN: StepSpec = {
  ...PLAIN_STEP,
  taskCount: 1,
  need: { cpuMillis: 1_000, memoryMb: 100, gpus: 0 },
};

const HOST: PlacementHost = {
  id: 'oven-1',
  pool: 'ovens',
  labels: ['a'],
  free: { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 },
  servingCount: 0,
  fillingCount: 0,
  hasLasting: false,
};

function createSnapshot(specs: readonly Partial<StepSpec>[]): PlacementSnapshot {
  const ledger = new JobLedger(() => null);
  const steps = specs.map((spec, index) => {
    const job = ledger.addJob(
      {
        id: `j${index}`,
        queue: 'bake',
        organisation: null,
        acceptedAtMs: 0,
        spec: { payload: '', steps: [{ ...PLAIN, ...spec }], repeat: null },
      },
      1,
    );
    const [step] = ledger.listReadySteps(job, 0);
    if (step === undefined) {
      throw new Error('a job without a ready step');
    }
    return { step, pool: 'ovens' };
  });
  return {
    nowMs: 0,
    hosts: new Map([['ovens', [HOST]]]),
    steps,
    allowances: new Map(),
    findAllowedHosts: () => null,
  };
}

function listPlaced(snapshot: PlacementSnapshot): readonly string[] {
  return decidePlacements(snapshot).map(({ task }) => task.name);
}

const LARGE = { need: { cpuMillis: 3_000, memoryMb: 100, gpus: 0 } };
const WIDE = { need: { cpuMillis: 1_000, memoryMb: 900, gpus: 0 } };

describe('placements', () => {
  it('give smaller tasks the room that larger ones before them did not find', () => {
    const snapshot = createSnapshot([LARGE, LARGE, {}, LARGE, {}]);
    expect(listPlaced(snapshot)).toEqual(['j0.0.0.0', 'j2.0.0.0']);
  });

  it('do not take a lack of memory for a lack of processor', () => {
    const snapshot = createSnapshot([WIDE, WIDE, { need: { ...PLAIN.need, cpuMillis: 2_000 } }]);
    expect(listPlaced(snapshot)).toEqual(['j0.0.0.0', 'j2.0.0.0']);
  });

  it('do not take a lack of hosts with a label for a lack of room', () => {
    const snapshot = createSnapshot([{ hostLabel: 'b' }, {}]);
    expect(listPlaced(snapshot)).toEqual(['j1.0.0.0']);
  });

  it('look through a full pool once for many waiting tasks alike', () => {
    let askedCount = 0;
    const snapshot = createSnapshot(Array.from({ length: 200 }, () => LARGE));
    const findAllowedHosts = (): null => {
      askedCount += 1;
      return null;
    };
    expect(listPlaced({ ...snapshot, findAllowedHosts })).toEqual(['j0.0.0.0']);
    // Asked once a search, and once more for the first task without room.
    expect(askedCount).toEqual(3);
  });
});
