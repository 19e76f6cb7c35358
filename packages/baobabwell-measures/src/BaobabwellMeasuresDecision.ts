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
const SETTLE_MS = 50;
const MAX_DECISIONS = 200;
/** Calls that fill the pool are sent in batches because the scheduler limits its queue length. */
const CALL_BATCH_SIZE = 500;

/** Sizes that may affect the time of a decision. */
export type DecisionSizes = {
  readonly workers: number;
  readonly teams: number;
  readonly queuedCalls: number;
};

/** Grants every lease immediately and never answers a task. */
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
    // The client has no connections.
  }

  override async close(): Promise<void> {
    // The client has no connections.
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
 * granted to the next waiting call.
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
    sessions.push(createSession(`worker-${worker}`, time, () => scheduler.grantSlots()));
  }
  const grants: SlotGrant[] = [];
  const acquire = (call: number): void => {
    const request = {
      callId: `call-${call}`,
      pool: POOL,
      team: `team-${call % sizes.teams}`,
      priority: PriorityClass.Normal,
      deadlineAt: DEADLINE_MS,
      excludedHosts: new Set<string>(),
    };
    void scheduler.acquire(request, new AbortController().signal).then((result) => {
      if (result.ok) {
        grants.push(result.value);
      }
    });
  };
  const runs = sessions.map(async (session) => session.run());
  await time.advance(SETTLE_MS);
  const slots = sizes.workers * SLOTS;
  for (let call = 0; call < slots + sizes.queuedCalls; call += 1) {
    acquire(call);
    if (call < slots && call % CALL_BATCH_SIZE === 0) {
      await time.advance(SETTLE_MS);
    }
  }
  await time.advance(SETTLE_MS);
  checkInvariant(grants.length === slots, 'the pool is not full');
  const clock = new SystemClock();
  const startedAt = clock.getNow();
  grants.slice(0, MAX_DECISIONS).forEach((grant) => {
    grant.release();
  });
  const meanMs = (clock.getNow() - startedAt) / Math.min(MAX_DECISIONS, grants.length);
  sessions.forEach((session) => session.stop());
  await time.advance(1);
  await Promise.all(runs);
  return meanMs;
}
