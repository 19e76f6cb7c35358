import type { HealthHost } from '../../index';

import { expect } from 'earl';
import fastCheck from 'fast-check';

import { decideEjections, HostAdmission, HostFault, HostHealth, SoleAdmission } from '../../index';

const POOL = 'ovens';

/** Creates hosts of one pool, eight to a rack. */
function createHosts(count: number): readonly HealthHost[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `oven-${index}`,
    groups: ['kind-a', `rack-${Math.floor(index / 8)}`],
  }));
}

class ObservedPool {
  readonly lines: string[] = [];

  readonly health = new HostHealth({
    recordEjected: (id, { fault, group }) =>
      this.lines.push(`${this.nowMs} ejected ${id} ${fault} ${group}`),
    recordAdmitted: (id) => this.lines.push(`${this.nowMs} admitted ${id}`),
  });

  nowMs = 0;

  readonly #hosts: readonly HealthHost[];

  constructor(hosts: readonly HealthHost[]) {
    this.#hosts = hosts;
  }

  fail(id: string, jobId: string): void {
    this.health.recordFailure({ id, pool: POOL }, { jobId, step: `${jobId}.0.0` }, this.nowMs);
  }

  finish(id: string, jobId: string, ratio = 1): void {
    const key = { jobId, step: `${jobId}.0.0` };
    this.health.recordDone({ id, pool: POOL }, key, this.nowMs);
    const duration = { ratio, isEnded: true };
    this.health.recordDuration({ id, pool: POOL }, key, duration, this.nowMs);
  }

  advance(ms: number): void {
    this.nowMs += ms;
    this.health.update(POOL, () => this.#hosts, this.nowMs);
  }

  getAdmission(id: string): HostAdmission {
    return this.health.getAdmission(id, this.nowMs);
  }
}

describe('ejection of bad hosts', () => {
  it('ejects a host that fails all it starts within a few runs', () => {
    const pool = new ObservedPool(createHosts(20));
    for (let job = 0; job < 3; job += 1) {
      pool.fail('oven-3', `job-${job}`);
      pool.finish('oven-4', `job-${job}`);
      pool.advance(300);
    }
    expect(pool.lines).toEqual(['600 ejected oven-3 failing null']);
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.None);
  });

  it('blames a task that fails on every host, and no host', () => {
    const pool = new ObservedPool(createHosts(20));
    for (let run = 0; run < 40; run += 1) {
      pool.fail(`oven-${run % 20}`, `poison-${run % 4}`);
      pool.advance(50);
    }
    expect(pool.lines).toEqual([]);
  });

  it('ejects a host that takes six times as long as the others', () => {
    const pool = new ObservedPool(createHosts(20));
    for (let job = 0; job < 4; job += 1) {
      pool.finish('oven-1', `job-${job}`, 6);
      pool.finish('oven-2', `job-${job}`, 1.2);
      pool.advance(300);
    }
    expect(pool.lines).toEqual(['900 ejected oven-1 slow null']);
  });

  it('takes a rack that turns slow as one finding', () => {
    const pool = new ObservedPool(createHosts(40));
    for (let job = 0; job < 4; job += 1) {
      for (let host = 8; host < 13; host += 1) {
        pool.finish(`oven-${host}`, `job-${job}`, 6);
      }
      pool.advance(100);
    }
    pool.advance(300);
    expect(pool.lines.filter((line) => line.endsWith('rack-1')).length).toEqual(8);
    for (let job = 0; job < 3; job += 1) {
      pool.fail('oven-30', `other-${job}`);
    }
    pool.advance(300);
    expect(pool.getAdmission('oven-30')).toEqual(HostAdmission.None);
  });

  it('admits a host again after sound probes, and waits longer after a failed one', () => {
    const pool = new ObservedPool(createHosts(20));
    ['a', 'b', 'c'].forEach((job) => pool.fail('oven-3', job));
    pool.advance(300);
    pool.advance(1_500);
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.Probe);
    pool.fail('oven-3', 'd');
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.None);
    pool.advance(3_000);
    ['e', 'f'].forEach((job) => pool.finish('oven-3', job));
    expect(pool.lines).toEqual(['300 ejected oven-3 failing null', '4800 admitted oven-3']);
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.Full);
  });

  it('never ejects more than half of a pool, nor more single hosts than the bound', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.integer({ min: 2, max: 60 }),
        fastCheck.array(fastCheck.nat(59), { maxLength: 60 }),
        fastCheck.boolean(),
        (count, bad, hasRacks) => {
          const hosts = createHosts(count).map((host) =>
            hasRacks ? host : { ...host, groups: [] },
          );
          const evidence = new Map(
            bad.map((index) => [
              `oven-${index}`,
              { blame: 3, failedJobs: 3, failedShare: 1, slowness: null },
            ]),
          );
          const ejected = decideEjections({
            hosts,
            evidence,
            usualSlowness: 1,
            ejected: new Map(),
          });
          expect(ejected.size <= Math.floor(count / 2)).toEqual(true);
          const single = [...ejected.values()].filter(({ group }) => group === null);
          expect(single.length <= Math.max(1, Math.floor(count * 0.15))).toEqual(true);
          expect([...ejected.values()].every(({ fault }) => fault === HostFault.Failing)).toEqual(
            true,
          );
        },
      ),
    );
  });
});

describe('ejected hosts without probes', () => {
  let pool: ObservedPool;

  function admitUnprobed(hasProbe = false): void {
    pool.health.admitUnprobed(POOL, () => hasProbe, pool.nowMs);
  }

  function getSole(id: string): SoleAdmission {
    return pool.health.getSoleAdmission(id, pool.nowMs);
  }

  beforeEach(() => {
    pool = new ObservedPool(createHosts(20));
    for (let job = 0; job < 3; job += 1) {
      pool.fail('oven-3', `job-${job}`);
      pool.finish('oven-4', `job-${job}`);
      pool.advance(300);
    }
    pool.lines.length = 0;
  });

  // Guards against LOST: a host that is out for good where no work comes that could be a probe.
  it('are offered work of any size after some time, and are admitted after as much again', () => {
    const seen: string[] = [];
    for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 100) {
      pool.advance(100);
      admitUnprobed();
      const admission = pool.getAdmission('oven-3');
      if (seen.at(-1) !== admission) {
        seen.push(admission);
      }
    }
    const { None, Probe, AnyProbe, Full } = HostAdmission;
    expect([seen, pool.lines.length]).toEqual([[None, Probe, AnyProbe, Full], 1]);
  });

  it('stay ejected while a probe is under way, and after one that failed', () => {
    pool.advance(5_000);
    admitUnprobed(true);
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.AnyProbe);
    pool.fail('oven-3', 'probe');
    admitUnprobed();
    expect([pool.getAdmission('oven-3'), pool.lines]).toEqual([HostAdmission.None, []]);
  });

  it('run one task at a time that only they may run while they fail, seconds apart', () => {
    expect(getSole('oven-4')).toEqual(SoleAdmission.Full);
    expect(getSole('oven-3')).toEqual(SoleAdmission.None);
    for (let failures = 0; failures < 5; failures += 1) {
      pool.advance(2_000);
      expect(getSole('oven-3')).toEqual(SoleAdmission.Probe);
      pool.fail('oven-3', `sole-${failures}`);
      expect(getSole('oven-3')).toEqual(SoleAdmission.None);
    }
  });

  it('run all that only they may run while they are slow', () => {
    const slow = new ObservedPool(createHosts(20));
    for (let job = 0; job < 4; job += 1) {
      slow.finish('oven-3', `job-${job}`, 6);
      slow.finish('oven-4', `job-${job}`);
      slow.advance(300);
    }
    expect(slow.getAdmission('oven-3')).toEqual(HostAdmission.None);
    expect(slow.health.getSoleAdmission('oven-3', slow.nowMs)).toEqual(SoleAdmission.Full);
  });

  it('are admitted after sound runs of steps whose durations do not compare', () => {
    pool.advance(2_000);
    pool.health.recordUntimedDone('oven-3', pool.nowMs);
    pool.health.recordUntimedDone('oven-3', pool.nowMs);
    expect(pool.getAdmission('oven-3')).toEqual(HostAdmission.Full);
  });
});
