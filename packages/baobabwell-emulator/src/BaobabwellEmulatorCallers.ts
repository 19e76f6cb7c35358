import type { EmulatedCall, EmulatedFleet } from './BaobabwellEmulatorFleet';
import type { CallResult } from '@baobabwell/calls';

/** A finished call of an emulated caller. */
export type EndedCall = {
  readonly entry: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** `null` when the entry did not answer. */
  readonly result: CallResult | null;
};

/** Load that a group of callers generates on one entry. */
export type CallerPlan = {
  readonly entry: string;
  /** Number of callers, each with one call open at a time. */
  readonly concurrency: number;
  readonly buildCall: () => EmulatedCall;
  /** Delay between an answer and the next call of the same caller. */
  readonly thinkTimeMs?: number;
  /** Delay before a caller retries after its entry was not running or did not answer. */
  readonly retryMs?: number;
  readonly onEnded?: (call: EndedCall) => void;
};

const DEFAULT_RETRY_MS = 500;

/** Closed-loop callers: each has one call open at a time, until they are stopped. */
export class EmulatedCallers {
  readonly #fleet: EmulatedFleet;

  readonly #plan: CallerPlan;

  #isStopped = false;

  constructor(fleet: EmulatedFleet, plan: CallerPlan) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /** Starts all callers. */
  start(): void {
    for (let caller = 0; caller < this.#plan.concurrency; caller += 1) {
      void this.#run();
    }
  }

  /** Prevents further calls; open calls still complete. */
  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    const { entry, buildCall, thinkTimeMs = 0, retryMs = DEFAULT_RETRY_MS, onEnded } = this.#plan;
    const { time } = this.#fleet;
    while (!this.#isStopped) {
      const startedAt = time.getNow();
      const isEntryRunning = this.#fleet.listEntries().includes(entry);
      const result = isEntryRunning ? await this.#fleet.call(entry, buildCall()) : null;
      onEnded?.({ entry, startedAt, endedAt: time.getNow(), result });
      await time.wait(result?.retryAfterMs ?? (result === null ? retryMs : thinkTimeMs));
    }
  }
}
