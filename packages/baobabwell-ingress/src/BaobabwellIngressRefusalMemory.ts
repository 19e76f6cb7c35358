/**
 * Load pattern: during a burst the owner refuses hundreds of jobs a second, and the calls that offer them
 * take the processor time that it needs to place work. What it refused a moment ago is refused by every
 * entry without a call, as long as the job asks for no less and leaves no more time.
 */
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord } from '@baobabwell/jobs';

import { CallerEstimates } from '@baobabwell/durations';
import { getCriticalPathMs, getObjectiveMs } from '@baobabwell/placement';

/** What a job asks of its pool, by the estimates of its caller. */
type JobDemand = {
  readonly queue: string;
  /** Organisation of the job; '' if there is none. */
  readonly organisation: string;
  /** Time that the job may wait without being late, in ms. */
  readonly laxityMs: number;
  readonly stepCount: number;
  /** Work of the steps with which it begins, in thousandths of a core times ms. */
  readonly firstWork: number;
};

/** A refusal of the owner. */
export type RecentRefusal = JobDemand & {
  readonly retryAfterMs: number;
  /** Time since the refusal, in ms. */
  readonly ageMs: number;
};

type RememberedRefusal = RecentRefusal & { readonly refusedAtMs: number };

/** Age up to which a refusal is applied to other jobs, in ms. */
const MAX_REFUSAL_AGE_MS = 500;

/** The same while the owner does not answer, in ms. */
const MAX_UNANSWERED_AGE_MS = 2_000;

/** Number of refusals that are remembered; a job that an older one covers is offered again. */
const MAX_REMEMBERED = 1_000;

/** Number of refusals of one queue that are passed on. */
const MAX_REFUSALS = 16;

/** Entries know no learned durations, and refusals compare jobs by the same estimates everywhere. */
const ESTIMATES = new CallerEstimates();

/** Computes what a job asks of its pool; `null` for a job that has no objective. */
export function computeDemand(
  { organisation, spec }: JobRecord,
  queue: QueueSettings,
): JobDemand | null {
  if (spec.repeat !== null || spec.steps.some(({ isLasting }) => isLasting)) {
    return null;
  }
  return {
    queue: queue.name,
    organisation: organisation ?? '',
    laxityMs:
      getObjectiveMs(spec, queue, ESTIMATES) - getCriticalPathMs(spec, queue.name, ESTIMATES),
    stepCount: spec.steps.length,
    firstWork: spec.steps
      .filter(({ after }) => after.length === 0)
      .reduce((sum, step) => sum + step.taskCount * step.need.cpuMillis * step.estimateMs, 0),
  };
}

function isSame(left: JobDemand, right: JobDemand): boolean {
  return left.queue === right.queue && left.organisation === right.organisation;
}

/**
 * Returns true if a job would have been refused in place of the other: it asks for no less, and leaves no
 * more time than the work ahead still takes.
 */
function isCovered(demand: JobDemand, refusal: RecentRefusal, ageMs: number): boolean {
  return (
    isSame(demand, refusal) &&
    demand.laxityMs <= refusal.laxityMs - ageMs &&
    demand.stepCount >= refusal.stepCount &&
    demand.firstWork >= refusal.firstWork
  );
}

/** Remembers refusals of the last moments. */
export class RefusalMemory {
  #refusals: readonly RememberedRefusal[] = [];

  /** Records refusals; for each organisation and queue the ones that cover most are kept. */
  add(refusals: readonly RecentRefusal[], nowMs: number): void {
    const added = refusals.map((refusal) => ({ ...refusal, refusedAtMs: nowMs - refusal.ageMs }));
    const kept = this.#refusals.filter(
      (known) =>
        nowMs - known.refusedAtMs <= MAX_UNANSWERED_AGE_MS &&
        !added.some((newer) => isCovered(known, newer, 0)),
    );
    this.#refusals = [...kept, ...added].slice(-MAX_REMEMBERED);
  }

  /** Lists the refusals of a queue that still apply, the latest first. */
  list(queue: string, nowMs: number): readonly RecentRefusal[] {
    return this.#refusals
      .filter(
        (refusal) => refusal.queue === queue && nowMs - refusal.refusedAtMs <= MAX_REFUSAL_AGE_MS,
      )
      .toReversed()
      .slice(0, MAX_REFUSALS)
      .map(({ refusedAtMs, ...refusal }) => ({ ...refusal, ageMs: nowMs - refusedAtMs }));
  }

  /** Finds a refusal that covers a job; while the owner does not answer, an older one counts too. */
  find(demand: JobDemand | null, nowMs: number, isAnswering: boolean): RecentRefusal | null {
    if (demand === null) {
      return null;
    }
    const maxAgeMs = isAnswering ? MAX_REFUSAL_AGE_MS : MAX_UNANSWERED_AGE_MS;
    const found = this.#refusals.find((refusal) => {
      const ageMs = nowMs - refusal.refusedAtMs;
      return ageMs <= maxAgeMs && isCovered(demand, refusal, ageMs);
    });
    return found ?? null;
  }
}
