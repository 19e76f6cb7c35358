import type { Result } from '@baobabwell/utils';
import type { LeaseGrant, TaskOutcome } from '@baobabwell/workers';

import { EmulatedTime } from '@baobabwell/emulator';
import { PriorityClass } from '@baobabwell/model';
import {
  DeadlineAdmission,
  LocalSlotShares,
  PoolScheduler,
  StaticPermitPool,
} from '@baobabwell/scheduling';
import { createOk } from '@baobabwell/utils';
import { WorkerClient, WorkerSession } from '@baobabwell/workers';

const SLOTS = 8;
const DECISIONS = 200;
const MICROSECONDS_PER_MS = 1_000;
const DEADLINE_MS = 3_600_000;

/** How large the pool is in which decisions are timed. */
export type DecisionShape = {
  readonly workers: number;
  readonly teams: number;
  readonly queued: number;
};

/** A worker that grants whatever is asked, up to its slots. */
class GrantingClient extends WorkerClient {
  override async renew({ slots }: { readonly slots: number }): Promise<Result<LeaseGrant, never>> {
    const granted = Math.min(SLOTS, slots);
    return createOk({ slots: granted, free: SLOTS - granted, tasks: [] });
  }

  override async run(): Promise<TaskOutcome> {
    return { kind: 'not-sent', cause: 'never used' };
  }

  override async stop(): Promise<void> {
    // Nothing runs.
  }

  override replaceConnections(): void {
    // There are none.
  }

  override async close(): Promise<void> {
    // There are none.
  }
}

async function buildSessions(
  time: EmulatedTime,
  workers: number,
): Promise<readonly WorkerSession[]> {
  const sessions = Array.from(
    { length: workers },
    (_, index) =>
      new WorkerSession({
        host: `host-${index}`,
        holder: 'entry',
        client: new GrantingClient(),
        clock: time,
        getMaxSlots: () => SLOTS,
        getConnections: () => SLOTS,
        comparison: { getOthersFailureFraction: () => 0, canSpare: () => true },
        isCurrent: () => true,
        onChange: () => {},
        onEvent: () => {},
      }),
  );
  sessions.forEach((session) => {
    Array.from({ length: SLOTS }).forEach(() => session.requestSlot());
    void session.run();
  });
  await time.advance(1);
  return sessions;
}

function buildScheduler(time: EmulatedTime, sessions: readonly WorkerSession[]): PoolScheduler {
  return new PoolScheduler({
    pool: 'pool',
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
}

/**
 * Microseconds of one decision in a full pool: a slot comes free, the next call gets it, and
 * another call joins the queue.
 */
export async function measureDecision({ workers, teams, queued }: DecisionShape): Promise<number> {
  const time = new EmulatedTime();
  const sessions = await buildSessions(time, workers);
  const scheduler = buildScheduler(time, sessions);
  const { signal } = new AbortController();
  const turns: { readonly release: () => void }[] = [];
  let joined = 0;
  const join = (): void => {
    joined += 1;
    const request = {
      callId: `call-${joined}`,
      pool: 'pool',
      team: `team-${joined % teams}`,
      priority: PriorityClass.Normal,
      deadlineAt: time.getNow() + DEADLINE_MS,
      excludedHosts: new Set<string>(),
    };
    void scheduler.acquire(request, signal).then((turn) => turn.ok && turns.push(turn.value));
  };
  Array.from({ length: workers * SLOTS }).forEach(join);
  await Promise.resolve();
  Array.from({ length: queued }).forEach(join);
  await time.advance(0);
  const startedAt = performance.now();
  for (let decision = 0; decision < DECISIONS; decision += 1) {
    turns.pop()?.release();
    scheduler.dispatchTurns();
    join();
    await Promise.resolve();
  }
  const tookMs = performance.now() - startedAt;
  sessions.forEach((session) => session.stop());
  return (tookMs * MICROSECONDS_PER_MS) / DECISIONS;
}
