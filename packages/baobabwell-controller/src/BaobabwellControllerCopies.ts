import type { Host } from './BaobabwellControllerHost';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { DurationEstimator } from '@baobabwell/durations';
import type { JobRecord, Run, Task } from '@baobabwell/jobs';
import type { CopyCandidate } from '@baobabwell/placement';

import { RunEndEffect, RunPhase, TaskPhase } from '@baobabwell/jobs';
import { CopyEvent } from '@baobabwell/metrics';

import { getRunRemainingMs } from './BaobabwellControllerRunDurations';
import { describeRun } from './BaobabwellControllerRunLog';

/** Copies whose outcomes are remembered, by queue. */
const OUTCOME_MEMORY = 50;

/** Copies of a queue that are assumed to have ended, and won, before any did. */
const ASSUMED_COPIES = 2;
const ASSUMED_WON = 1;

/** Returns true if a run of a former owner is to go on; a task that may be copied keeps all its runs. */
export function canAdoptRun({ isReconciled }: Host, { phase, step }: Task): boolean {
  const isWanted =
    phase === TaskPhase.Waiting || (phase === TaskPhase.Placed && step.spec.isSpeculative);
  return isWanted && !isReconciled && !step.job.isEnded && !step.isDone();
}

type CopiesContext = Pick<TermOptions, 'logger' | 'metrics'> & {
  readonly durations: DurationEstimator;
  readonly hosts: ReadonlyMap<string, Host>;
};

/** Tracks the running tasks that may be copied, and how the copies of each queue ended. */
export class Copies {
  readonly #context: CopiesContext;

  readonly #tasks = new Set<Task>();

  readonly #outcomes = new Map<string, { count: number; won: number }>();

  constructor(context: CopiesContext) {
    this.#context = context;
  }

  /** Records that a run was started or adopted. */
  recordRun(run: Run): void {
    const { task } = run;
    if (task.step.spec.isSpeculative) {
      const started = run;
      started.isCopy = task.runs.size > 1;
      this.#tasks.add(task);
    }
  }

  /** Records that a run was started beside another one. */
  recordCopy(copy: Run, { remainingMs, freshMs }: CopyCandidate): void {
    const { logger, metrics } = this.#context;
    const { queue } = copy.task.step.job.record;
    metrics.durations.copies.inc({ queue, event: CopyEvent.Started });
    logger.recordInfo('copy-started', {
      ...describeRun(copy),
      remainingMs: Math.round(remainingMs),
      freshMs: Math.round(freshMs),
    });
  }

  /** Records the end of a run whose task is done. Others of the task have not been stopped yet. */
  recordEnd(run: Run, effect: RunEndEffect): void {
    const { task } = run;
    if (effect !== RunEndEffect.TaskDone || !(run.isCopy || this.#hasCopy(task))) {
      return;
    }
    const { logger, metrics } = this.#context;
    const { queue } = task.step.job.record;
    const event = run.isCopy ? CopyEvent.Won : CopyEvent.Lost;
    const { count, won } = this.#outcomes.get(queue) ?? { count: 0, won: 0 };
    const keep = 1 - 1 / OUTCOME_MEMORY;
    this.#outcomes.set(queue, { count: count * keep + 1, won: won * keep + (run.isCopy ? 1 : 0) });
    metrics.durations.copies.inc({ queue, event });
    logger.recordInfo('copy-ended', { ...describeRun(run), event });
  }

  /** Lists the runs that may get a copy. */
  listCandidates(
    nowMs: number,
    findQueue: (
      record: JobRecord,
    ) => { readonly pool: string; readonly maxAttempts: number } | null,
  ): readonly CopyCandidate[] {
    const candidates: CopyCandidate[] = [];
    this.#tasks.forEach((task) => {
      const { job, spec } = task.step;
      if (task.phase === TaskPhase.Done || job.isEnded) {
        this.#tasks.delete(task);
        return;
      }
      const { durations } = this.#context;
      const [run] = task.runs;
      const queue = findQueue(job.record);
      if (run?.phase !== RunPhase.Running || queue === null) {
        return;
      }
      candidates.push({
        run,
        pool: queue.pool,
        remainingMs: getRunRemainingMs(run, durations, nowMs),
        freshMs: durations.getExpectedMs(job.record.queue, spec),
        maxAttempts: queue.maxAttempts,
        wonShare: this.#getWonShare(job.record.queue),
      });
    });
    return candidates;
  }

  /** Sums the CPU of the copies in a pool, in thousandths of a core. */
  sumCopiesCpu(pool: string): number {
    let cpuMillis = 0;
    this.#tasks.forEach(({ runs, step }) =>
      runs.forEach(({ isCopy, hostId }) => {
        const isIn = isCopy && this.#context.hosts.get(hostId)?.pool === pool;
        cpuMillis += isIn ? step.spec.need.cpuMillis : 0;
      }),
    );
    return cpuMillis;
  }

  #hasCopy({ runs }: Task): boolean {
    return [...runs].some(({ isCopy }) => isCopy);
  }

  #getWonShare(queue: string): number {
    const { count, won } = this.#outcomes.get(queue) ?? { count: 0, won: 0 };
    return (won + ASSUMED_WON) / (count + ASSUMED_COPIES);
  }
}
