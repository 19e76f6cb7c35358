import type { EmulatedTime } from '@baobabwell/emulator';
import type { Activity } from '@baobabwell/processor-time';
import type { CancelTimer } from '@baobabwell/utils';

import { ProcessClock } from '@baobabwell/emulator';
import { ProcessorTime } from '@baobabwell/processor-time';

/** Processor time that a process spends, in ms. */
export type ProcessorCosts = {
  /** For the start of a run: the order, and what its answer and its end take beside `activitiesMs`. */
  readonly startMs: number;
  /** For a request of a peer, beside `activitiesMs`. */
  readonly requestMs: number;
  /** For each time that an activity is carried out. */
  readonly activitiesMs: Readonly<Partial<Record<Activity, number>>>;
};

export const NO_PROCESSOR_COSTS: ProcessorCosts = { startMs: 0, requestMs: 0, activitiesMs: {} };

/** Multiplies all costs, as a processor does of which a share is missing. */
export function scaleCosts(costs: ProcessorCosts, factor: number): ProcessorCosts {
  return {
    startMs: costs.startMs * factor,
    requestMs: costs.requestMs * factor,
    activitiesMs: Object.fromEntries(
      Object.entries(costs.activitiesMs).map(([activity, ms]) => [activity, ms * factor]),
    ),
  };
}

/** Turns of promises that a callback may take before the next one runs. */
const PROMISE_TURNS = 30;

/** The processor of one emulated process: what is due runs when everything before it is done. */
export class EmulatedProcessor {
  readonly #time: EmulatedTime;

  readonly #costs: ProcessorCosts;

  readonly #due: (() => void)[] = [];

  #busyUntilMs = 0;

  #isDraining = false;

  constructor(time: EmulatedTime, costs: ProcessorCosts) {
    this.#time = time;
    this.#costs = costs;
  }

  /** Returns the monotonic time at which everything that has run is done, in ms. */
  getNow(): number {
    return Math.max(this.#time.getNow(), this.#busyUntilMs);
  }

  /** Spends time: what runs now is done later. */
  spend(costMs: number): void {
    this.#busyUntilMs = this.getNow() + costMs;
  }

  spendOnStart(): void {
    this.spend(this.#costs.startMs);
  }

  spendOn(activity: Activity): void {
    this.spend(this.#costs.activitiesMs[activity] ?? 0);
  }

  /** Runs a callback when what was due before it is done. */
  run(callback: () => void): void {
    if (!this.#isDraining && this.#isFree()) {
      callback();
      return;
    }
    this.#due.push(callback);
    if (!this.#isDraining) {
      this.#isDraining = true;
      void this.#runDue();
    }
  }

  /** Time is emulated in whole ms: within one, further callbacks run. */
  #isFree(): boolean {
    return this.#busyUntilMs < this.#time.getNow() + 1;
  }

  async #runDue(): Promise<void> {
    while (this.#due.length > 0) {
      if (this.#isFree()) {
        this.#due.shift()?.();
        // What follows in promises is done before the next callback.
        for (let turn = 0; turn < PROMISE_TURNS; turn += 1) {
          await Promise.resolve();
        }
      } else {
        await this.#time.wait(Math.floor(this.#busyUntilMs) - this.#time.getNow());
      }
    }
    this.#isDraining = false;
  }
}

/** The clock of a process whose timers wait for its processor. */
export class ProcessorClock extends ProcessClock {
  readonly #processor: EmulatedProcessor;

  readonly #time: EmulatedTime;

  constructor(time: EmulatedTime, processor: EmulatedProcessor) {
    super(time);
    this.#time = time;
    this.#processor = processor;
  }

  override getNow(): number {
    return Math.floor(this.#processor.getNow());
  }

  override getWallTime(): number {
    return super.getWallTime() + this.#getAheadMs();
  }

  override startTimer(delayMs: number, callback: () => void): CancelTimer {
    return super.startTimer(Math.max(0, delayMs) + this.#getAheadMs(), callback);
  }

  protected override handleTimer(run: () => void): void {
    this.#processor.run(() => super.handleTimer(run));
  }

  /** Returns the time by which what runs is ahead of the emulated time, in ms. */
  #getAheadMs(): number {
    return this.getNow() - this.#time.getNow();
  }
}

/** Measures the emulated processor, and spends what activities cost. */
export class EmulatedProcessorTime extends ProcessorTime {
  readonly #processor: EmulatedProcessor;

  constructor(processor: EmulatedProcessor) {
    super(() => processor.getNow());
    this.#processor = processor;
  }

  override measure<Value>(activity: Activity, run: () => Value): Value {
    return super.measure(activity, () => {
      this.#processor.spendOn(activity);
      return run();
    });
  }
}
