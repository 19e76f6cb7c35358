import type { PlacementHost, PlacementSnapshot } from '../../index';
import type { StepSpec } from '@baobabwell/jobs';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';
import { JobRegistry } from '@baobabwell/jobs';

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
  freeResources: { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 },
  shortTaskResources: { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 },
  ejectedOffer: null,
  servingCount: 0,
  bestEffortCount: 0,
  coldLeftMs: 0,
  hasLongRunning: false,
  runCount: 0,
  startingCount: 0,
  isStartingSuspect: false,
};

function createSnapshot(specs: readonly Partial<StepSpec>[]): PlacementSnapshot {
  const registry = new JobRegistry(() => null);
  const steps = specs.map((spec, index) => {
    const job = registry.addJob(
      {
        id: `j${index}`,
        queue: 'bake',
        organisation: null,
        acceptedAtMs: 0,
        spec: { payload: '', steps: [{ ...PLAIN, ...spec }], repeat: null },
      },
      1,
    );
    const [step] = registry.listReadySteps(job, 0);
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

const HIGH_CPU = { need: { cpuMillis: 3_000, memoryMb: 100, gpus: 0 } };
const HIGH_MEMORY = { need: { cpuMillis: 1_000, memoryMb: 900, gpus: 0 } };

describe('decidePlacements', () => {
  it('starts smaller tasks when larger tasks ahead of them do not fit', () => {
    const snapshot = createSnapshot([HIGH_CPU, HIGH_CPU, {}, HIGH_CPU, {}]);
    expect(listPlaced(snapshot)).toEqual(['j0.0.0.0', 'j2.0.0.0']);
  });

  it('does not treat a shortage of memory as a shortage of CPU', () => {
    const snapshot = createSnapshot([
      HIGH_MEMORY,
      HIGH_MEMORY,
      { need: { ...PLAIN.need, cpuMillis: 2_000 } },
    ]);
    expect(listPlaced(snapshot)).toEqual(['j0.0.0.0', 'j2.0.0.0']);
  });

  it('starts short and long running tasks on warm hosts, and on cold ones when these are full', () => {
    const cold = { ...HOST, id: 'cold', coldLeftMs: 400, hasLongRunning: true };
    const warm = { ...HOST, id: 'warm', freeResources: { ...HOST.freeResources, memoryMb: 200 } };
    const hosts = new Map([['ovens', [cold, warm]]]);
    const listHosts = (spec: Partial<StepSpec>): readonly string[] =>
      decidePlacements({ ...createSnapshot([spec]), hosts }).map(({ hostId }) => hostId);
    expect(listHosts({ taskCount: 3 })).toEqual(['warm', 'warm', 'cold']);
    expect(listHosts({ isLasting: true })).toEqual(['warm']);
  });

  it('takes a cold host near the data of a task before a warm one far from it', () => {
    const cold = { ...HOST, id: 'cold', coldLeftMs: 60_000, labels: ['rack-1'] };
    const hosts = new Map([['ovens', [HOST, cold]]]);
    const [placement] = decidePlacements({ ...createSnapshot([{ dataRack: 'rack-1' }]), hosts });
    expect(placement?.hostId).toEqual('cold');
  });

  it('does not treat missing host labels as a shortage of capacity', () => {
    const snapshot = createSnapshot([{ hostLabel: 'b' }, {}]);
    expect(listPlaced(snapshot)).toEqual(['j1.0.0.0']);
  });

  it('searches a full pool once for many identical waiting tasks', () => {
    let callCount = 0;
    const snapshot = createSnapshot(Array.from({ length: 200 }, () => HIGH_CPU));
    const findAllowedHosts = (): null => {
      callCount += 1;
      return null;
    };
    expect(listPlaced({ ...snapshot, findAllowedHosts })).toEqual(['j0.0.0.0']);
    // Called once for each search, and once more for the first task that does not fit.
    expect(callCount).toEqual(3);
  });

  it('keeps CPU and memory usable together where both are scarce', () => {
    const snapshot = createSnapshot([{ need: { cpuMillis: 2_000, memoryMb: 800, gpus: 0 } }]);
    const hosts = [
      { ...HOST, id: 'half-of-both', freeResources: { cpuMillis: 3_000, memoryMb: 900, gpus: 0 } },
      { ...HOST, id: 'much-memory', freeResources: { cpuMillis: 2_900, memoryMb: 9_000, gpus: 0 } },
    ];
    const placed = decidePlacements({ ...snapshot, hosts: new Map([['ovens', hosts]]) });
    expect(placed.map(({ hostId }) => hostId)).toEqual(['half-of-both']);
  });

  it('places the tasks of a step that prefers one rack on the rack with room for them', () => {
    const specs = [{ taskCount: 4, prefersOneRack: true }];
    const free = { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 };
    const hosts = ['a1 r1', 'a2 r2', 'a3 r1', 'a4 r2', 'a5 r1'].map((name, index) => ({
      ...HOST,
      id: name.slice(0, 2),
      labels: ['plain', name.slice(3)],
      // Rack 2 has the fuller hosts, which would be taken first, but not enough room.
      freeResources: index % 2 === 0 ? free : { ...free, cpuMillis: 1_000 },
    }));
    const placed = decidePlacements({
      ...createSnapshot(specs),
      hosts: new Map([['ovens', hosts]]),
    });
    expect(placed.map(({ hostId }) => hostId)).toEqual(['a1', 'a1', 'a3', 'a3']);
  });

  describe('with a limit on starts', () => {
    const tiny = { need: { cpuMillis: 1, memoryMb: 1, gpus: 0 } };

    function countPlaced(
      specs: readonly Partial<StepSpec>[],
      startBudget: PlacementSnapshot['startBudget'],
    ): Readonly<Record<string, number>> {
      const counts: Record<string, number> = {};
      listPlaced({ ...createSnapshot(specs), startBudget }).forEach((task) => {
        const [job = ''] = task.split('.');
        counts[job] = (counts[job] ?? 0) + 1;
      });
      return counts;
    }

    // Guards against orders without an answer that take all memory.
    it('places no more tasks, and leaves half of them to the steps behind a wide one', () => {
      const specs = [{ ...tiny, taskCount: 100 }, { ...tiny, taskCount: 100 }, tiny];
      expect(countPlaced(specs, { left: 20, total: 20 })).toEqual({ j0: 10, j1: 5, j2: 1 });
      expect(countPlaced(specs, { left: 0, total: 20 })).toEqual({});
      expect(countPlaced(specs, { left: -5, total: 20 })).toEqual({});
      expect(countPlaced(specs, undefined)).toEqual({ j0: 100, j1: 100, j2: 1 });
    });

    // Guards against gangs for which there is never enough left.
    it('has the steps behind a gang wait until its members can start together', () => {
      const specs = [
        { ...tiny, taskCount: 12, isGang: true },
        { ...tiny, taskCount: 4 },
      ];
      expect(countPlaced(specs, { left: 8, total: 20 })).toEqual({});
      expect(countPlaced(specs, { left: 16, total: 20 })).toEqual({ j0: 12, j1: 2 });
      expect(countPlaced(specs, { left: 8, total: 8 })).toEqual({ j0: 12 });
    });
  });

  describe('with an ejected host', () => {
    const offer = {
      probeResources: { cpuMillis: 1_000, memoryMb: 250, gpus: 0 },
      probeCount: Infinity,
      soleCount: Infinity,
    };
    const ejected: PlacementHost = {
      ...HOST,
      id: 'oven-2',
      labels: ['a', 'b'],
      ejectedOffer: offer,
    };
    const full: PlacementHost = {
      ...HOST,
      freeResources: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
    };

    function countPlaced(
      spec: Partial<StepSpec>,
      hosts: readonly PlacementHost[],
    ): readonly string[] {
      const placements = decidePlacements({
        ...createSnapshot([spec]),
        hosts: new Map([['ovens', hosts]]),
      });
      return placements.map(({ hostId }) => hostId);
    }

    it('places small tasks there as probes', () => {
      expect(countPlaced({ taskCount: 3 }, [full, ejected])).toEqual(['oven-2']);
      expect(countPlaced(HIGH_CPU, [full, ejected])).toEqual([]);
      const any = { ...offer, probeResources: ejected.freeResources, probeCount: 1 };
      const open = { ...ejected, ejectedOffer: any };
      expect(countPlaced({ ...HIGH_CPU, taskCount: 3 }, [full, open])).toEqual(['oven-2']);
    });

    // Guards against LOST: tasks that wait for a host that is admitted again by their end only.
    it('places tasks there that no other host may run', () => {
      const labelled = { ...HIGH_CPU, hostLabel: 'b' };
      expect(countPlaced(labelled, [full, ejected])).toEqual(['oven-2']);
      expect(countPlaced({ ...labelled, isLasting: true }, [HOST, ejected])).toEqual(['oven-2']);
      const small = { ...HOST, shortTaskResources: { ...HOST.freeResources, cpuMillis: 2_000 } };
      expect(
        countPlaced(HIGH_CPU, [{ ...full, ...small, freeResources: full.freeResources }, ejected]),
      ).toEqual(['oven-2']);
    });

    it('places one such task at a time there, or none, while the host fails', () => {
      const labelled = { taskCount: 3, hostLabel: 'b' };
      const withSole = (soleCount: number) => ({
        ...ejected,
        ejectedOffer: { ...offer, probeCount: 0, soleCount },
      });
      expect(countPlaced(labelled, [HOST, withSole(1)])).toEqual(['oven-2']);
      expect(countPlaced(labelled, [HOST, withSole(0)])).toEqual([]);
    });
  });
});
