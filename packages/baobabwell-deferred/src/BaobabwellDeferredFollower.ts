import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { Clock } from '@baobabwell/utils';

import { WORK_POLL_INTERVAL_MS } from './BaobabwellDeferredConstants';

/** Reads the work table once a second while there are deferred queues. */
export class WorkFollower {
  readonly #clock: Clock;

  readonly #index: WorkIndex;

  readonly #hasQueues: () => boolean;

  readonly #stopped = new AbortController();

  constructor(clock: Clock, index: WorkIndex, hasQueues: () => boolean) {
    this.#clock = clock;
    this.#index = index;
    this.#hasQueues = hasQueues;
  }

  /** Reads the table periodically until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      if (this.#hasQueues()) {
        await this.#index.read();
      }
      await this.#clock.wait(WORK_POLL_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}
