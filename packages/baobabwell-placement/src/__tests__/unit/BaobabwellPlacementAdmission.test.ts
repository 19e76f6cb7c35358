import type { AcceptedWork, AdmissionSnapshot } from '../../index';

import { expect } from 'earl';
import fc from 'fast-check';

import { compareUrgency, decideAdmission, RefusalCause, WorkQueue } from '../../index';

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

const SNAPSHOT: AdmissionSnapshot = {
  nowMs: 0,
  jobId: 'a1',
  organisation: 'guild',
  isBeyondRate: false,
  rateDelayMs: 0,
  dueMs: OBJECTIVE_MS,
  criticalPathMs: TASK_MS,
  taskMs: 0,
  firstWork: 0,
  stepCount: 1,
  cpuMillis: POOL_CPU,
  arrivingCpuMillis: 0,
  allocatableCpuMillis: 0,
  accepted: new WorkQueue([], new Map()),
  workAgeMs: 0,
  isLargerThanAnyHost: false,
  hasFreeRoom: () => false,
};

const WAITING: AcceptedWork = {
  organisation: 'guild',
  dueMs: 1_000,
  runningWork: 0,
  waitingWork: 0,
  isLate: false,
};

type SimulatedJob = { readonly dueMs: number; startedAtMs: number | null };

function createWork({ dueMs, startedAtMs }: SimulatedJob, nowMs: number): AcceptedWork {
  const isWaiting = startedAtMs === null;
  return {
    ...WAITING,
    dueMs,
    runningWork: isWaiting ? 0 : TASK_CPU * (TASK_MS - (nowMs - startedAtMs)),
    waitingWork: isWaiting ? TASK_CPU * TASK_MS : 0,
    isLate: dueMs <= nowMs,
  };
}

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
        ...SNAPSHOT,
        nowMs,
        dueMs: nowMs + OBJECTIVE_MS,
        taskMs: TASK_MS,
        firstWork: TASK_CPU * TASK_MS,
        accepted: new WorkQueue(
          accepted.map((job) => createWork(job, nowMs)),
          new Map(),
        ),
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
    const work = [{ ...WAITING, waitingWork: POOL_CPU * 4_250 }];
    const decision = decideAdmission({
      ...SNAPSHOT,
      jobId: '',
      accepted: new WorkQueue(work, new Map()),
    });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLate,
      reason: 'the work ahead takes 5000 ms, 1000 ms are left',
      retryAfterMs: 4_000,
    });
  });

  it('refuses a task larger than any host with a long retry delay', () => {
    const decision = decideAdmission({ ...SNAPSHOT, isLargerThanAnyHost: true });
    expect(decision).toEqual({
      isWanted: false,
      cause: RefusalCause.TooLarge,
      reason: 'a task is larger than any host',
      retryAfterMs: 60_000,
    });
  });

  it('refuses an organisation for its own excess and admits the others', () => {
    const weights = new Map(['guild', 'school', 'bakery'].map((name) => [name, 1]));
    const accepted = new WorkQueue(
      [
        { ...WAITING, waitingWork: POOL_CPU * 6_000 },
        { ...WAITING, organisation: 'school', waitingWork: POOL_CPU * 100 },
      ],
      weights,
    );
    const job = { ...SNAPSHOT, firstWork: POOL_CPU * 50, accepted };
    const hot = decideAdmission(job);
    expect(hot.isWanted).toEqual(false);
    expect(decideAdmission({ ...job, organisation: 'bakery' }).isWanted).toEqual(true);
    expect(decideAdmission({ ...job, organisation: 'school' }).isWanted).toEqual(true);
  });

  it('counts what the pool has done since the work was summed', () => {
    const accepted = new WorkQueue([{ ...WAITING, waitingWork: POOL_CPU * 1_200 }], new Map());
    const job = { ...SNAPSHOT, accepted };
    expect(decideAdmission(job).isWanted).toEqual(false);
    expect(decideAdmission({ ...job, workAgeMs: 400 }).isWanted).toEqual(true);
  });

  it('counts what was admitted since the work was summed', () => {
    const accepted = new WorkQueue([], new Map());
    expect(decideAdmission({ ...SNAPSHOT, accepted }).isWanted).toEqual(true);
    accepted.add({ ...WAITING, waitingWork: POOL_CPU * 6_000 });
    expect(decideAdmission({ ...SNAPSHOT, accepted }).isWanted).toEqual(false);
    expect(decideAdmission({ ...SNAPSHOT, accepted, hasFreeRoom: () => true }).isWanted).toEqual(
      true,
    );
  });

  it('admits with more room what it admits with less', () => {
    const names = ['guild', 'school', 'bakery'];
    const work = fc.record({
      organisation: fc.constantFrom(...names),
      dueMs: fc.integer({ min: 0, max: 4_000 }),
      runningWork: fc.integer({ min: 0, max: POOL_CPU * 500 }),
      waitingWork: fc.integer({ min: 0, max: POOL_CPU * 1_000 }),
      isLate: fc.boolean(),
    });
    const room = fc.integer({ min: 0, max: 2 * POOL_CPU });
    fc.assert(
      fc.property(
        fc.array(work, { maxLength: 12 }),
        fc.tuple(room, room, room),
        fc.tuple(room, room, room),
        fc.boolean(),
        (accepted, now, more, isBeyondRate) => {
          const [cpuMillis, arrivingCpuMillis, allocatableCpuMillis] = now;
          const snapshot = {
            ...SNAPSHOT,
            isBeyondRate,
            taskMs: TASK_MS,
            firstWork: TASK_CPU * TASK_MS,
            cpuMillis,
            arrivingCpuMillis,
            allocatableCpuMillis,
            accepted: new WorkQueue(accepted, new Map(names.map((name) => [name, 1]))),
          };
          const larger = {
            ...snapshot,
            cpuMillis: cpuMillis + more[0],
            arrivingCpuMillis: arrivingCpuMillis + more[1],
            allocatableCpuMillis: allocatableCpuMillis + more[2],
          };
          const isWanted = decideAdmission(snapshot).isWanted;
          expect(!isWanted || decideAdmission(larger).isWanted).toEqual(true);
        },
      ),
    );
  });

  it('orders long running steps first, then steps in time by due time, then late steps', () => {
    const urgency = {
      priority: 0,
      isLongRunning: false,
      isBestEffort: false,
      hasStarted: false,
      maxWaitMs: 1_000,
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
