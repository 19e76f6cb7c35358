/**
 * Load pattern: a burst with hundreds of offers a second, each of which has to know the work ahead of it.
 * The accepted work of a pool is summed by organisation and due time once, and asked by each offer.
 */

/** An accepted job that is not done; work in thousandths of a core times ms. */
export type AcceptedWork = {
  /** Organisation of the job; '' if there is none. */
  readonly organisation: string;
  /** Monotonic time at which the job is due, in ms. */
  readonly dueMs: number;
  /** Work that is left of running tasks, and of tasks that have not started. */
  readonly runningWork: number;
  readonly waitingWork: number;
  /** The job is late: its waiting tasks are placed after those of jobs in time. */
  readonly isLate: boolean;
};

/** Work that is placed before a job. */
export type WorkAhead = { readonly running: number; readonly waiting: number };

/** A job for which work ahead is asked. */
export type WorkQuery = {
  readonly organisation: string;
  readonly dueMs: number;
  readonly firstWork: number;
  readonly isBeyondRate: boolean;
};

/** Waiting work of one organisation: due times in ascending order, each with the sum up to it. */
class OrganisationWork {
  readonly #dueMs: number[] = [];

  readonly #sums: number[] = [];

  constructor(sortedWork: readonly AcceptedWork[]) {
    let sum = 0;
    sortedWork.forEach(({ dueMs, waitingWork }) => {
      sum += waitingWork;
      this.#dueMs.push(dueMs);
      this.#sums.push(sum);
    });
  }

  get total(): number {
    return this.#sums.at(-1) ?? 0;
  }

  /** Returns the work that is due at a time or before it. */
  getDueBefore(dueMs: number): number {
    let low = 0;
    let high = this.#dueMs.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#dueMs[middle] ?? Infinity) <= dueMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low === 0 ? 0 : (this.#sums[low - 1] ?? 0);
  }
}

/** The accepted work of a pool in the order in which it is placed. */
export class WorkQueue {
  readonly #weights: ReadonlyMap<string, number>;

  readonly #byOrganisation = new Map<string, OrganisationWork>();

  #running = 0;

  /** Jobs that were admitted since; they are few. */
  readonly #added: AcceptedWork[] = [];

  /** @param weights weights of the organisations; with fewer than two nothing is shared. */
  constructor(work: readonly AcceptedWork[], weights: ReadonlyMap<string, number>) {
    this.#weights = weights;
    const byOrganisation = new Map<string, AcceptedWork[]>();
    work.forEach((item) => {
      this.#running += item.runningWork;
      if (!item.isLate && item.waitingWork > 0) {
        const items = byOrganisation.get(item.organisation) ?? [];
        items.push(item);
        byOrganisation.set(item.organisation, items);
      }
    });
    byOrganisation.forEach((items, organisation) => {
      const sorted = items.toSorted((left, right) => left.dueMs - right.dueMs);
      this.#byOrganisation.set(organisation, new OrganisationWork(sorted));
    });
  }

  /** Adds a job that was admitted after the sums were made. */
  add(work: AcceptedWork): void {
    if (!this.#byOrganisation.has(work.organisation)) {
      this.#byOrganisation.set(work.organisation, new OrganisationWork([]));
    }
    this.#added.push(work);
  }

  /** Returns the work ahead of a job in the order of due times. */
  getWorkDueBefore(dueMs: number): WorkAhead {
    let waiting = 0;
    this.#byOrganisation.forEach((work) => {
      waiting += work.getDueBefore(dueMs);
    });
    waiting += this.#sumAdded((work) => work.dueMs <= dueMs);
    return { running: this.#running, waiting };
  }

  /**
   * Returns the work that is placed before a job: that of its own organisation, and that of each other up
   * to the same share by weight. A job within its share has no more ahead than by due times.
   */
  getWorkAhead({ organisation, dueMs, firstWork, isBeyondRate }: WorkQuery): WorkAhead {
    const byDueTime = this.getWorkDueBefore(dueMs);
    const ownWeight = this.#weights.get(organisation) ?? 0;
    if (this.#weights.size < 2 || ownWeight <= 0 || isBeyondRate) {
      return byDueTime;
    }
    const own =
      (this.#byOrganisation.get(organisation)?.getDueBefore(dueMs) ?? 0) +
      this.#sumAdded((work) => work.organisation === organisation && work.dueMs <= dueMs);
    const workPerWeight = (own + firstWork) / ownWeight;
    let waiting = own;
    this.#byOrganisation.forEach((work, name) => {
      if (name !== organisation) {
        const added = this.#sumAdded((other) => other.organisation === name);
        waiting += Math.min(work.total + added, workPerWeight * this.#getWeight(name));
      }
    });
    return this.#isWithinShare(workPerWeight)
      ? { running: this.#running, waiting: Math.min(waiting, byDueTime.waiting) }
      : { running: this.#running, waiting: Math.max(waiting, byDueTime.waiting) };
  }

  /** Returns true if no organisation that waits has less work for its weight. */
  #isWithinShare(workPerWeight: number): boolean {
    let total = 0;
    let weights = 0;
    this.#byOrganisation.forEach((work, name) => {
      total += work.total;
      weights += this.#getWeight(name);
    });
    return weights === 0 || workPerWeight <= total / weights;
  }

  #getWeight(organisation: string): number {
    return this.#weights.get(organisation) ?? 1;
  }

  #sumAdded(matches: (work: AcceptedWork) => boolean): number {
    return this.#added.reduce((sum, work) => sum + (matches(work) ? work.waitingWork : 0), 0);
  }
}
