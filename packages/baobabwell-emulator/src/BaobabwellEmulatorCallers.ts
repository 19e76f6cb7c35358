import type { EmulatedCall, EmulatedFleet } from './BaobabwellEmulatorFleet';
import type { CallResult } from '@baobabwell/calls';

/** One ended call of an emulated caller. */
export type EndedCall = {
  readonly entry: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** `null` when the entry never answered. */
  readonly result: CallResult | null;
};

/** What a group of callers does. */
export type CallerPlan = {
  readonly entry: string;
  /** Calls that are open at any moment. */
  readonly concurrency: number;
  readonly buildCall: () => EmulatedCall;
  /** Time between an answer and the next call of the same caller. */
  readonly pauseMs?: number;
  /** Time after which a caller whose entry is gone or silent tries again. */
  readonly retryMs?: number;
  readonly onEnded?: (call: EndedCall) => void;
};

const DEFAULT_RETRY_MS = 500;

/** Callers that each keep one call open until they are stopped. */
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

  /** Makes no further calls. */
  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    const { entry, buildCall, pauseMs = 0, retryMs = DEFAULT_RETRY_MS, onEnded } = this.#plan;
    const { time } = this.#fleet;
    while (!this.#isStopped) {
      const startedAt = time.getNow();
      const isThere = this.#fleet.listEntries().includes(entry);
      const result = isThere ? await this.#fleet.call(entry, buildCall()) : null;
      onEnded?.({ entry, startedAt, endedAt: time.getNow(), result });
      await time.wait(result?.retryAfterMs ?? (result === null ? retryMs : pauseMs));
    }
  }
}
