import { expect } from 'earl';

import { WorkerHealth } from '../../BaobabwellWorkersHealth';

function createHealth(elsewhere: number, canSpare = true): WorkerHealth {
  return new WorkerHealth({
    getOthersFailureFraction: () => elsewhere,
    canSpare: () => canSpare,
  });
}

function recordFailures(health: WorkerHealth, count: number): void {
  Array.from({ length: count }).forEach(() => health.recordFailure(0));
}

describe('WorkerHealth', () => {
  it('suspects a worker after three failures when the others do well', () => {
    const health = createHealth(0);
    recordFailures(health, 2);
    expect(health.isSuspect()).toEqual(false);
    recordFailures(health, 1);
    expect(health.isSuspect()).toEqual(true);
  });

  it('suspects the work when the others fail as often', () => {
    const health = createHealth(0.9);
    recordFailures(health, 20);
    expect(health.isSuspect()).toEqual(false);
  });

  it('never suspects a worker when all others fail everything', () => {
    const health = createHealth(1);
    recordFailures(health, 1_000);
    expect(health.isSuspect()).toEqual(false);
  });

  it('keeps a worker that the pool cannot spare', () => {
    const health = createHealth(0, false);
    recordFailures(health, 20);
    expect(health.isSuspect()).toEqual(false);
  });

  it('spaces probes and trusts the worker after a success', () => {
    const health = createHealth(0);
    recordFailures(health, 3);
    health.recordStart(1_000);
    expect([health.canProbe(2_999), health.canProbe(3_000)]).toEqual([false, true]);
    health.recordSuccess();
    expect(health.isSuspect()).toEqual(false);
  });

  it('trusts the worker again when the failures were the work’s own', () => {
    const health = createHealth(0);
    recordFailures(health, 3);
    health.withdrawFailure();
    expect(health.isSuspect()).toEqual(false);
  });
});
