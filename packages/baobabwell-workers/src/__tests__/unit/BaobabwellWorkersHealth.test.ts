import { expect } from 'earl';

import { WorkerHealth } from '../../BaobabwellWorkersHealth';

function createHealth(othersFailureFraction: number, canSpare = true): WorkerHealth {
  return new WorkerHealth({
    getOthersFailureFraction: () => othersFailureFraction,
    canSpare: () => canSpare,
  });
}

function recordFailures(health: WorkerHealth, count: number): void {
  Array.from({ length: count }).forEach(() => health.recordFailure(0));
}

describe('WorkerHealth', () => {
  it('suspects a worker after three failures when the others do not fail', () => {
    const health = createHealth(0);
    recordFailures(health, 2);
    expect(health.isSuspect()).toEqual(false);
    recordFailures(health, 1);
    expect(health.isSuspect()).toEqual(true);
  });

  it('does not suspect a worker when the others fail as often', () => {
    const health = createHealth(0.9);
    recordFailures(health, 20);
    expect(health.isSuspect()).toEqual(false);
  });

  it('never suspects a worker when all others fail every task', () => {
    const health = createHealth(1);
    recordFailures(health, 1_000);
    expect(health.isSuspect()).toEqual(false);
  });

  it('does not suspect a worker that the pool cannot spare', () => {
    const health = createHealth(0, false);
    recordFailures(health, 20);
    expect(health.isSuspect()).toEqual(false);
  });

  it('spaces probes, and stops suspecting the worker after a success', () => {
    const health = createHealth(0);
    recordFailures(health, 3);
    health.recordStart(1_000);
    expect([health.canProbe(2_999), health.canProbe(3_000)]).toEqual([false, true]);
    health.recordSuccess();
    expect(health.isSuspect()).toEqual(false);
  });

  it('stops suspecting the worker when the work itself caused the failures', () => {
    const health = createHealth(0);
    recordFailures(health, 3);
    health.withdrawFailure();
    expect(health.isSuspect()).toEqual(false);
  });
});
