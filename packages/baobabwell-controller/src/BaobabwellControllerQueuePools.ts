import type { TermContext } from './BaobabwellControllerContext';
import type { JobRecord } from '@baobabwell/jobs';
import type { Row, RowWrite } from '@baobabwell/platform';

import { z } from 'zod';

import { findQueueOfJob } from '@baobabwell/fleet';
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
  | 'jobRegistry'
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

  /** Returns true when a former owner may have started runs of a job in a pool. */
  mayHaveFormerRuns(record: JobRecord, pool: string): boolean {
    return (
      pool === findQueueOfJob(this.#context.getConfiguration(), record)?.pool ||
      this.#former === null ||
      this.#former.get(record.queue)?.has(pool) === true
    );
  }

  /**
   * Returns true when runs of jobs that were accepted by a queue may start in a pool; has that stored otherwise.
   */
  canStart(queue: string, pool: string): boolean {
    const isStored = this.#stored.get(queue)?.has(pool) === true;
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
    const { hosts, jobRegistry, getConfiguration } = this.#context;
    const configuration = getConfiguration();
    const next = new Map<string, Set<string>>();
    const add = (queue: string, pool: string): void => {
      next.set(queue, (next.get(queue) ?? new Set()).add(pool));
    };
    configuration?.queues.forEach(({ name, pool }) => add(name, pool));
    // A job may go on under another name than that by which it was accepted.
    jobRegistry.listOpenJobs().forEach(({ record }) => {
      const queue = findQueueOfJob(configuration, record);
      if (queue !== null) {
        add(record.queue, queue.pool);
      }
    });
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
