import type { LoadSource } from './BaobabwellCarriersModel';
import type { Clock } from '@baobabwell/utils';

import {
  LOAD_WINDOW_MS,
  MAX_DIRECT_LOAD,
  MIN_CARRIAGE_MS,
  MIN_CARRIED_LOAD,
} from './BaobabwellCarriersConstants';

/** Decides by the load of this process whether others are to carry its orders. */
export class CarriageLoad {
  readonly #clock: Clock;

  readonly #source: LoadSource;

  #measuredAtMs: number;

  #measuredActiveMs: number;

  #isBusy = false;

  #busySinceMs = -Infinity;

  constructor(clock: Clock, source: LoadSource) {
    this.#clock = clock;
    this.#source = source;
    this.#measuredAtMs = clock.getNow();
    this.#measuredActiveMs = source.getActiveMs();
  }

  /** Returns true from a window in which the process was busy until one in which it mostly was not. */
  isBusy(): boolean {
    const nowMs = this.#clock.getNow();
    const passedMs = nowMs - this.#measuredAtMs;
    if (passedMs >= LOAD_WINDOW_MS) {
      const activeMs = this.#source.getActiveMs();
      this.#applyShare((activeMs - this.#measuredActiveMs) / passedMs, nowMs);
      this.#measuredAtMs = nowMs;
      this.#measuredActiveMs = activeMs;
    }
    return this.#isBusy;
  }

  #applyShare(share: number, nowMs: number): void {
    if (!this.#isBusy && share >= MIN_CARRIED_LOAD) {
      this.#isBusy = true;
      this.#busySinceMs = nowMs;
    } else if (share < MAX_DIRECT_LOAD && nowMs - this.#busySinceMs >= MIN_CARRIAGE_MS) {
      this.#isBusy = false;
    }
  }
}
