import { expect } from 'earl';

import { compareUrgency, decideAdmission, RefusalCause } from '../../index';

/**
 * Replays a turn that asks for twice what the machines hold, on a simple model: jobs are served by the
 * order of steps, one unit of room each, and are late when they end after their due time.
 */
const ROOM_CPU = 16_000;
const TASK_CPU = 1_000;
const TASK_MS = 600;
const OBJECTIVE_MS = 1_600;
const STEP_MS = 50;
const TURN_MS = 6_000;
const ARRIVALS_PER_STEP = 3;

type ReplayedJob = { readonly dueMs: number; startedAtMs: number | null };

function countInTime(admits: boolean): number {
  let accepted: ReplayedJob[] = [];
  let inTime = 0;
  for (let nowMs = 0; nowMs < 2 * TURN_MS; nowMs += STEP_MS) {
    const ended = accepted.filter(
      ({ startedAtMs }) => startedAtMs !== null && nowMs - startedAtMs >= TASK_MS,
    );
    inTime += ended.filter(({ dueMs }) => nowMs <= dueMs).length;
    accepted = accepted.filter((job) => !ended.includes(job));
    for (let arrival = 0; nowMs < TURN_MS && arrival < ARRIVALS_PER_STEP; arrival += 1) {
      const decision = decideAdmission({
        nowMs,
        dueMs: nowMs + OBJECTIVE_MS,
        chainMs: TASK_MS,
        stepCount: 1,
        cpuMillis: ROOM_CPU,
        arrivingCpuMillis: 0,
        callableCpuMillis: 0,
        accepted: accepted.map(({ dueMs, startedAtMs }) => ({
          dueMs,
          workLeft: TASK_CPU * (TASK_MS - (startedAtMs === null ? 0 : nowMs - startedAtMs)),
        })),
        fitsNowhere: false,
      });
      if (!admits || decision.isWanted) {
        accepted.push({ dueMs: nowMs + OBJECTIVE_MS, startedAtMs: null });
      }
    }
    const runningCount = accepted.filter(({ startedAtMs }) => startedAtMs !== null).length;
    accepted
      .filter(({ startedAtMs }) => startedAtMs === null)
      .slice(0, ROOM_CPU / TASK_CPU - runningCount)
      .forEach((job) => Object.assign(job, { startedAtMs: nowMs }));
  }
  return inTime;
}

describe('admission at the worst load', () => {
  it('brings several times more jobs in time than first come, first served', () => {
    expect(countInTime(true) > 2 * countInTime(false)).toEqual(true);
  });

  it('tells the caller how long the work ahead takes', () => {
    const decision = decideAdmission({
      nowMs: 0,
      dueMs: OBJECTIVE_MS,
      chainMs: TASK_MS,
      stepCount: 1,
      cpuMillis: ROOM_CPU,
      arrivingCpuMillis: 0,
      callableCpuMillis: 0,
      accepted: [{ dueMs: 1_000, workLeft: ROOM_CPU * 4_250 }],
      fitsNowhere: false,
    });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLate,
      reason: 'the work ahead takes 5000 ms, 1000 ms are left',
      retryAfterMs: 4_000,
    });
  });

  it('refuses a task that no host can hold for long', () => {
    const decision = decideAdmission({
      nowMs: 0,
      dueMs: OBJECTIVE_MS,
      chainMs: TASK_MS,
      stepCount: 1,
      cpuMillis: ROOM_CPU,
      arrivingCpuMillis: 0,
      callableCpuMillis: 0,
      accepted: [],
      fitsNowhere: true,
    });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason: 'a task is larger than any host',
      retryAfterMs: 60_000,
    });
  });

  it('orders what lasts, then what can be in time by its due time, then what is late', () => {
    const urgency = { priority: 0, isLasting: false, isFilling: false, laxityMs: 500, dueMs: 900 };
    const late = { ...urgency, laxityMs: -800, dueMs: 100 };
    const soon = { ...urgency, dueMs: 700 };
    const lasting = { ...urgency, isLasting: true, dueMs: 5_000 };
    expect([late, urgency, soon, lasting].toSorted(compareUrgency)).toEqual([
      lasting,
      soon,
      urgency,
      late,
    ]);
  });
});
