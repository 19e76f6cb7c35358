/** What a process spends processor time on. */
export enum Activity {
  /** Deciding on offered jobs. */
  Admission = 'admission',
  /** Looking for runs that take long, and for hosts of their copies. */
  Copies = 'copies',
  /** Deciding on machines of pools. */
  Fleet = 'fleet',
  /** Sending hold calls. */
  Holds = 'holds',
  /** Listing the ready steps and ordering them. */
  Order = 'order',
  /** Choosing hosts for tasks. */
  Placement = 'placement',
  /** Applying the reports of hosts. */
  Reports = 'reports',
  /** Sending orders to start runs. */
  Starts = 'starts',
  /** Answering for the states of jobs. */
  StateReads = 'state-reads',
  /** Storing progress. */
  Storage = 'storage',
  /** Applying changed rows. */
  Watches = 'watches',
}

/** Time spent on one activity, in ms, and how often. */
export type ActivityTime = { readonly spentMs: number; readonly count: number };

/** Measures the processor time of one process by activity. */
export class ProcessorTime {
  readonly #getNow: () => number;

  readonly #times = new Map<Activity, ActivityTime>();

  /** Time of the sections that ended within the current one, in ms. */
  #innerMs = 0;

  /** @param getNow returns the monotonic time, in ms. */
  constructor(getNow: () => number) {
    this.#getNow = getNow;
  }

  /** Runs a section of code, and counts its time up to its first wait, less that of sections within it. */
  measure<Value>(activity: Activity, run: () => Value): Value {
    const startedAtMs = this.#getNow();
    const outerInnerMs = this.#innerMs;
    this.#innerMs = 0;
    try {
      return run();
    } finally {
      const tookMs = this.#getNow() - startedAtMs;
      const { spentMs, count } = this.get(activity);
      this.#times.set(activity, { spentMs: spentMs + tookMs - this.#innerMs, count: count + 1 });
      this.#innerMs = outerInnerMs + tookMs;
    }
  }

  /** Returns what was spent on an activity so far. */
  get(activity: Activity): ActivityTime {
    return this.#times.get(activity) ?? { spentMs: 0, count: 0 };
  }
}

/** Reports what was spent between two calls. */
export class ProcessorTimeReport {
  readonly #processorTime: ProcessorTime;

  readonly #reported = new Map<Activity, ActivityTime>();

  constructor(processorTime: ProcessorTime) {
    this.#processorTime = processorTime;
  }

  /** Returns the time and count of each activity since the last call; activities without any are left out. */
  take(): ReadonlyMap<Activity, ActivityTime> {
    const report = new Map<Activity, ActivityTime>();
    Object.values(Activity).forEach((activity) => {
      const total = this.#processorTime.get(activity);
      const before = this.#reported.get(activity) ?? { spentMs: 0, count: 0 };
      if (total.count > before.count) {
        report.set(activity, {
          spentMs: total.spentMs - before.spentMs,
          count: total.count - before.count,
        });
        this.#reported.set(activity, total);
      }
    });
    return report;
  }
}
