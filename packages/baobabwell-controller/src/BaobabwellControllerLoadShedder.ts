import type { TermContext } from './BaobabwellControllerContext';

import { ADMITTED_SHARE_INTERVAL_MS, computeAdmittedShare } from '@baobabwell/placement';

/** Interval between two timers whose lateness is measured, in ms. */
const SAMPLE_INTERVAL_MS = 50;

/** Reports the share of new jobs that this owner admits, from the lateness of its timers. */
export class LoadShedder {
  readonly #context: Pick<TermContext, 'clock' | 'signal' | 'ownership' | 'logger'>;

  #share = 1;

  constructor(context: Pick<TermContext, 'clock' | 'signal' | 'ownership' | 'logger'>) {
    this.#context = context;
  }

  /** Adapts the admitted share until the term ends. */
  async run(): Promise<void> {
    const { clock, signal } = this.#context;
    let startedAtMs = clock.getNow();
    let waits = 0;
    while (!signal.aborted) {
      await clock.wait(SAMPLE_INTERVAL_MS, signal);
      waits += 1;
      const tookMs = clock.getNow() - startedAtMs;
      if (tookMs >= ADMITTED_SHARE_INTERVAL_MS) {
        this.#update(tookMs / waits - SAMPLE_INTERVAL_MS);
        startedAtMs = clock.getNow();
        waits = 0;
      }
    }
  }

  #update(latenessMs: number): void {
    const { ownership, logger } = this.#context;
    const share = computeAdmittedShare(this.#share, latenessMs);
    if (share < this.#share) {
      logger.recordWarning('owner-overloaded', {
        latenessMs: Math.round(latenessMs),
        admittedShare: Number(share.toFixed(2)),
      });
    }
    this.#share = share;
    ownership.setAdmittedShare(share);
  }
}
