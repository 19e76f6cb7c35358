import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Row, RowWrite } from '@baobabwell/platform';

import { z } from 'zod';

import { RetryDelay, WakeSignal } from '@baobabwell/utils';

import {
  COMMIT_RETRY_MS,
  MAX_COMMIT_RETRY_MS,
  MAX_COMMIT_WAIT_MS,
  QUEUE_POOLS_TABLE,
} from './BaobabwellControllerConstants';

const poolRow = z.object({ queues: z.array(z.string()) });

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

type QueuesByPool = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Stores in which pools runs of a queue may exist, before the first of them starts there: the route of a
 * queue changes while its runs go on, and a new owner knows only the latest route.
 */
export class QueuePools {
  readonly #context: QueuePoolsContext;

  readonly #wakeSignal: WakeSignal;

  /** Rows as the former owner left them; `null` where no owner has stored any. */
  #former: QueuesByPool | null = null;

  /** Rows as they are stored now. */
  #stored: QueuesByPool = new Map();

  constructor(context: QueuePoolsContext) {
    this.#context = context;
    this.#wakeSignal = new WakeSignal(context.clock);
  }

  /** Restores the rows of the former owner. */
  load(rows: readonly Row[]): void {
    const { logger } = this.#context;
    const stored = new Map<string, ReadonlySet<string>>();
    rows.forEach(({ key, value }) => {
      const parsed = poolRow.safeParse(value);
      if (parsed.success) {
        stored.set(key, new Set(parsed.data.queues));
      } else {
        logger.recordWarning('queue-pools-row-ignored', { pool: key });
      }
    });
    this.#stored = stored;
    this.#former = rows.length === 0 ? null : stored;
  }

  /** Returns true when a former owner may have started runs of a queue in a pool. */
  mayHaveFormerRuns({ name, pool: present }: QueueSettings, pool: string): boolean {
    return pool === present || this.#former === null || this.#former.get(pool)?.has(name) === true;
  }

  /** Returns true when runs of a queue may start in its pool; has that stored otherwise. */
  canStart({ name, pool }: QueueSettings): boolean {
    const isStored = this.#stored.get(pool)?.has(name) === true;
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
      const next = this.#listQueues();
      const writes = this.#createWrites(next);
      const reply = writes.length === 0 ? null : await ownership.commit(term, [], writes);
      if (reply?.ok === false) {
        logger.recordWarning('queue-pools-not-stored', { reason: reply.error.kind });
        await clock.wait(retry.advance(), signal);
      } else {
        this.#stored = next;
        retry.reset();
        requestDispatch();
        await this.#wakeSignal.wait(MAX_COMMIT_WAIT_MS, signal);
      }
    }
    this.#wakeSignal.close();
  }

  /** Lists the queues that start runs in each pool, or whose runs may still exist there. */
  #listQueues(): QueuesByPool {
    const { hosts, getConfiguration } = this.#context;
    const queues = new Map<string, Set<string>>();
    const add = (pool: string, queue: string): void => {
      queues.set(pool, (queues.get(pool) ?? new Set()).add(queue));
    };
    getConfiguration()?.queues.forEach(({ name, pool }) => add(pool, name));
    hosts.forEach(({ pool, runs, isReconciled }) => {
      runs.forEach(({ task }) => add(pool, task.step.job.record.queue));
      if (!isReconciled) {
        this.#stored.get(pool)?.forEach((queue) => add(pool, queue));
      }
    });
    return queues;
  }

  #createWrites(next: QueuesByPool): readonly RowWrite[] {
    const pools = [...new Set([...this.#stored.keys(), ...next.keys()])];
    return pools
      .filter((pool) => {
        const stored = this.#stored.get(pool) ?? new Set();
        const queues = next.get(pool) ?? new Set();
        return stored.size !== queues.size || [...queues].some((queue) => !stored.has(queue));
      })
      .map((pool) => {
        const queues = next.get(pool);
        const value = queues === undefined ? null : { queues: [...queues].toSorted() };
        return { table: QUEUE_POOLS_TABLE, key: pool, value };
      });
  }
}
