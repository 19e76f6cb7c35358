import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Row, RowWrite } from '@baobabwell/platform';

import { z } from 'zod';

import { RetryDelay, WakeSignal } from '@baobabwell/utils';

import {
  COMMIT_RETRY_MS,
  MAX_COMMIT_ENTRIES,
  MAX_COMMIT_RETRY_MS,
  MAX_COMMIT_WAIT_MS,
  QUEUE_POOLS_TABLE,
} from './BaobabwellControllerConstants';

const queueRow = z.object({ pools: z.array(z.string()) });

type QueuePoolsContext = Pick<
  TermContext,
  | 'clock'
  | 'getConfiguration'
  | 'hosts'
  | 'logger'
  | 'ownership'
  | 'requestDispatch'
  | 'signal'
  | 'term'
>;

/** Pools by the name of a queue. */
type PoolsByQueue = ReadonlyMap<string, ReadonlySet<string>>;

function createWrites(changes: PoolsByQueue): readonly RowWrite[] {
  return [...changes].map(([key, pools]) => ({
    table: QUEUE_POOLS_TABLE,
    key,
    value: pools.size === 0 ? null : { pools: [...pools].toSorted() },
  }));
}

/**
 * Stores in which pools runs of a queue may exist, before the first of them starts there: the route of a
 * queue changes while its runs go on, and a new owner knows only the latest route.
 */
export class QueuePools {
  readonly #context: QueuePoolsContext;

  readonly #wakeSignal: WakeSignal;

  /** Rows as the former owner left them; `null` where no owner has stored any. */
  #former: PoolsByQueue | null = null;

  /** Pools of the queues of a configuration; every open job asks for them in each round. */
  #present: {
    readonly queues: readonly QueueSettings[] | null;
    readonly pools: ReadonlyMap<string, string>;
  } = { queues: null, pools: new Map() };

  /** Rows as they are stored now. */
  readonly #stored = new Map<string, ReadonlySet<string>>();

  constructor(context: QueuePoolsContext) {
    this.#context = context;
    this.#wakeSignal = new WakeSignal(context.clock);
  }

  /** Restores the rows of the former owner. */
  load(rows: readonly Row[]): void {
    const { logger } = this.#context;
    rows.forEach(({ key, value }) => {
      const parsed = queueRow.safeParse(value);
      if (parsed.success) {
        this.#stored.set(key, new Set(parsed.data.pools));
      } else {
        logger.recordWarning('queue-pools-row-ignored', { queue: key });
      }
    });
    this.#former = rows.length === 0 ? null : new Map(this.#stored);
  }

  /** Returns true when a former owner may have started runs of a queue in a pool. */
  mayHaveFormerRuns(queue: string, pool: string): boolean {
    return (
      pool === this.#getPresentPools().get(queue) ||
      this.#former === null ||
      this.#former.get(queue)?.has(pool) === true
    );
  }

  /** Returns the pools of the queues by the present configuration. */
  #getPresentPools(): ReadonlyMap<string, string> {
    const queues = this.#context.getConfiguration()?.queues ?? [];
    if (this.#present.queues !== queues) {
      this.#present = { queues, pools: new Map(queues.map(({ name, pool }) => [name, pool])) };
    }
    return this.#present.pools;
  }

  /** Returns true when runs of a queue may start in its pool; has that stored otherwise. */
  canStart({ name, pool }: QueueSettings): boolean {
    const isStored = this.#stored.get(name)?.has(pool) === true;
    if (!isStored) {
      this.#wakeSignal.notify();
    }
    return isStored;
  }

  /** Stores the pools of queues on request until the term ends. */
  async run(): Promise<void> {
    const { signal, clock, logger, ownership, term, requestDispatch } = this.#context;
    const retry = new RetryDelay(COMMIT_RETRY_MS, MAX_COMMIT_RETRY_MS);
    while (!signal.aborted) {
      const changes = this.#listChanges();
      const reply =
        changes.size === 0 ? null : await ownership.commit(term, [], createWrites(changes));
      if (reply === null) {
        await this.#wakeSignal.wait(MAX_COMMIT_WAIT_MS, signal);
      } else if (reply.ok) {
        changes.forEach((pools, queue) => this.#stored.set(queue, pools));
        retry.reset();
        requestDispatch();
      } else {
        logger.recordWarning('queue-pools-not-stored', { reason: reply.error.kind });
        await clock.wait(retry.advance(), signal);
      }
    }
    this.#wakeSignal.close();
  }

  /** Lists the queues whose rows differ from where their runs start or may still exist. */
  #listChanges(): PoolsByQueue {
    const { hosts, getConfiguration } = this.#context;
    const next = new Map<string, Set<string>>();
    const add = (queue: string, pool: string): void => {
      next.set(queue, (next.get(queue) ?? new Set()).add(pool));
    };
    getConfiguration()?.queues.forEach(({ name, pool }) => add(name, pool));
    const unreconciledPools = new Set<string>();
    hosts.forEach(({ pool, runs, isReconciled }) => {
      runs.forEach(({ task }) => add(task.step.job.record.queue, pool));
      if (!isReconciled) {
        unreconciledPools.add(pool);
      }
    });
    this.#stored.forEach((pools, queue) =>
      [...pools].filter((pool) => unreconciledPools.has(pool)).forEach((pool) => add(queue, pool)),
    );
    const queues = [...new Set([...this.#stored.keys(), ...next.keys()])];
    return new Map(
      queues
        .map((queue) => [queue, next.get(queue) ?? new Set<string>()] as const)
        .filter(([queue, pools]) => {
          const stored = this.#stored.get(queue) ?? new Set();
          return stored.size !== pools.size || [...pools].some((pool) => !stored.has(pool));
        })
        .slice(0, MAX_COMMIT_ENTRIES),
    );
  }
}
