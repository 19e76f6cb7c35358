import type { SlotGrant } from '@baobabwell/scheduling';
import type { Result } from '@baobabwell/utils';
import type { LeaseGrant, LeaseRequest, TaskOutcome, WorkerError } from '@baobabwell/workers';

import { EmulatedTime } from '@baobabwell/emulator';
import { PriorityClass } from '@baobabwell/model';
import {
  DeadlineAdmission,
  LocalSlotShares,
  PoolScheduler,
  StaticPermitPool,
} from '@baobabwell/scheduling';
import { checkInvariant, createOk, SystemClock } from '@baobabwell/utils';
import { WorkerClient, WorkerSession } from '@baobabwell/workers';

const POOL = 'pool';
const SLOTS = 2;
const DEADLINE_MS = 3_600_000;
const GRANT_MS = 50;
const DECISIONS = 200;
/** Calls that fill the pool come in such groups: the scheduler lets only so many wait. */
const CALLS_AT_ONCE = 500;

/** Sizes that a decision may depend on. */
export type DecisionSizes = {
  readonly workers: number;
  readonly teams: number;
  readonly queuedCalls: number;
};

/** Grants every lease at once and never answers a task. */
class GrantingWorkerClient extends WorkerClient {
  override async renew({ slots }: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>> {
    return createOk({ slots, free: SLOTS - slots, tasks: [] });
  }

  override async run(): Promise<TaskOutcome> {
    return new Promise<never>(() => {});
  }

  override async stop(): Promise<never> {
    return new Promise<never>(() => {});
  }

  override replaceConnections(): void {
    // There is no connection.
  }

  override async close(): Promise<void> {
    // There is no connection.
  }
}

function createSession(id: string, time: EmulatedTime, onChange: () => void): WorkerSession {
  return new WorkerSession({
    host: id,
    holder: 'entry',
    client: new GrantingWorkerClient(),
    clock: time,
    getMaxSlots: () => SLOTS,
    getConnections: () => SLOTS,
    comparison: { getOthersFailureFraction: () => 0, canSpare: () => false },
    isCurrent: () => true,
    onChange,
    onEvent: () => {},
  });
}

/**
 * Measures the mean time in milliseconds from the end of a task in a full pool until its slot is
 * given to the next of the waiting calls.
 */
export async function measureDecision(sizes: DecisionSizes): Promise<number> {
  const time = new EmulatedTime();
  const sessions: WorkerSession[] = [];
  const scheduler = new PoolScheduler({
    pool: POOL,
    clock: time,
    permits: new StaticPermitPool({
      getLimit: () => Number.MAX_SAFE_INTEGER,
      getRank: () => ({ index: 0, count: 1 }),
    }),
    shares: new LocalSlotShares(),
    admission: new DeadlineAdmission(),
    getWeight: () => 1,
    listSessions: () => sessions,
  });
  for (let worker = 0; worker < sizes.workers; worker += 1) {
    sessions.push(createSession(`worker-${worker}`, time, () => scheduler.dispatchSlots()));
  }
  const turns: SlotGrant[] = [];
  const acquire = (call: number): void => {
    const request = {
      callId: `call-${call}`,
      pool: POOL,
      team: `team-${call % sizes.teams}`,
      priority: PriorityClass.Normal,
      deadlineAt: DEADLINE_MS,
      excludedHosts: new Set<string>(),
    };
    void scheduler.acquire(request, new AbortController().signal).then((turn) => {
      if (turn.ok) {
        turns.push(turn.value);
      }
    });
  };
  const runs = sessions.map(async (session) => session.run());
  await time.advance(GRANT_MS);
  const slots = sizes.workers * SLOTS;
  for (let call = 0; call < slots + sizes.queuedCalls; call += 1) {
    acquire(call);
    if (call < slots && call % CALLS_AT_ONCE === 0) {
      await time.advance(GRANT_MS);
    }
  }
  await time.advance(GRANT_MS);
  checkInvariant(turns.length === slots, 'the pool is not full');
  const clock = new SystemClock();
  const startedAt = clock.getNow();
  turns.slice(0, DECISIONS).forEach((turn) => {
    turn.release();
  });
  const meanMs = (clock.getNow() - startedAt) / Math.min(DECISIONS, turns.length);
  sessions.forEach((session) => session.stop());
  await time.advance(1);
  await Promise.all(runs);
  return meanMs;
}
