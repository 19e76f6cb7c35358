import { expect } from 'earl';

import { compareUrgency, decideAdmission, RefusalCause } from '../../index';

/**
 * Simulates a burst that demands twice the capacity of the machines. Jobs start in the order in
 * which they arrive, use one unit of capacity each, and are late if they end after their due time.
 */
const POOL_CPU = 16_000;
const TASK_CPU = 1_000;
const TASK_MS = 600;
const OBJECTIVE_MS = 1_600;
const STEP_MS = 50;
const BURST_MS = 6_000;
const ARRIVALS_PER_STEP = 3;

type SimulatedJob = { readonly dueMs: number; startedAtMs: number | null };

function countInTime(admits: boolean): number {
  let accepted: SimulatedJob[] = [];
  let inTime = 0;
  for (let nowMs = 0; nowMs < 2 * BURST_MS; nowMs += STEP_MS) {
    const ended = accepted.filter(
      ({ startedAtMs }) => startedAtMs !== null && nowMs - startedAtMs >= TASK_MS,
    );
    inTime += ended.filter(({ dueMs }) => nowMs <= dueMs).length;
    accepted = accepted.filter((job) => !ended.includes(job));
    for (let arrival = 0; nowMs < BURST_MS && arrival < ARRIVALS_PER_STEP; arrival += 1) {
      const decision = decideAdmission({
        nowMs,
        dueMs: nowMs + OBJECTIVE_MS,
        criticalPathMs: TASK_MS,
        stepCount: 1,
        cpuMillis: POOL_CPU,
        arrivingCpuMillis: 0,
        allocatableCpuMillis: 0,
        accepted: accepted.map(({ dueMs, startedAtMs }) => ({
          dueMs,
          remainingWork: TASK_CPU * (TASK_MS - (startedAtMs === null ? 0 : nowMs - startedAtMs)),
        })),
        isLargerThanAnyHost: false,
      });
      if (!admits || decision.isWanted) {
        accepted.push({ dueMs: nowMs + OBJECTIVE_MS, startedAtMs: null });
      }
    }
    const runningCount = accepted.filter(({ startedAtMs }) => startedAtMs !== null).length;
    accepted
      .filter(({ startedAtMs }) => startedAtMs === null)
      .slice(0, POOL_CPU / TASK_CPU - runningCount)
      .forEach((job) => Object.assign(job, { startedAtMs: nowMs }));
  }
  return inTime;
}

describe('admission under overload', () => {
  it('completes more than twice as many jobs in time as admitting every job', () => {
    expect(countInTime(true) > 2 * countInTime(false)).toEqual(true);
  });

  it('reports how long the work ahead takes', () => {
    const decision = decideAdmission({
      nowMs: 0,
      dueMs: OBJECTIVE_MS,
      criticalPathMs: TASK_MS,
      stepCount: 1,
      cpuMillis: POOL_CPU,
      arrivingCpuMillis: 0,
      allocatableCpuMillis: 0,
      accepted: [{ dueMs: 1_000, remainingWork: POOL_CPU * 4_250 }],
      isLargerThanAnyHost: false,
    });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLate,
      reason: 'the work ahead takes 5000 ms, 1000 ms are left',
      retryAfterMs: 4_000,
    });
  });

  it('refuses a task larger than any host with a long retry delay', () => {
    const decision = decideAdmission({
      nowMs: 0,
      dueMs: OBJECTIVE_MS,
      criticalPathMs: TASK_MS,
      stepCount: 1,
      cpuMillis: POOL_CPU,
      arrivingCpuMillis: 0,
      allocatableCpuMillis: 0,
      accepted: [],
      isLargerThanAnyHost: true,
    });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason: 'a task is larger than any host',
      retryAfterMs: 60_000,
    });
  });

  it('orders long running steps first, then steps in time by due time, then late steps', () => {
    const urgency = {
      priority: 0,
      isLongRunning: false,
      isBestEffort: false,
      laxityMs: 500,
      dueMs: 900,
    };
    const late = { ...urgency, laxityMs: -800, dueMs: 100 };
    const soon = { ...urgency, dueMs: 700 };
    const longRunning = { ...urgency, isLongRunning: true, dueMs: 5_000 };
    expect([late, urgency, soon, longRunning].toSorted(compareUrgency)).toEqual([
      longRunning,
      soon,
      urgency,
      late,
    ]);
  });
});
