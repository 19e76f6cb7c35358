import type { PermitReply, PermitReport } from './BaobabwellPermits';
import type { PermitPeer } from './BaobabwellPermitsPeers';
import type { Clock } from '@baobabwell/utils';

import {
  IDLE_REPORT_INTERVAL_MS,
  MIN_REPORT_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  REPORT_RETRY_DELAY_MS,
} from './BaobabwellPermitsConstants';

/** Dependencies of {@link PermitPeerTask}. */
export type PermitPeerTaskDependencies = {
  readonly clock: Clock;
  readonly peer: PermitPeer;
  /** Returns the key of this entry's current incarnation. */
  readonly getMember: () => string;
  readonly buildReport: (sequence: number) => PermitReport;
  /** Handles the reply to the latest report; replies to earlier reports are discarded. */
  readonly onReply: (report: PermitReport, reply: PermitReply) => void;
};

/** Reports to one member until it is removed, and asks it for reports. */
export class PermitPeerTask {
  readonly #dependencies: PermitPeerTaskDependencies;

  readonly #stopped = new AbortController();

  #wakeSignal = new AbortController();

  #sequence = 0;

  #isRequestingReport = false;

  constructor(dependencies: PermitPeerTaskDependencies) {
    this.#dependencies = dependencies;
  }

  /** Ends the wait for the next report, which is sent once the last one is answered. */
  notify(): void {
    this.#wakeSignal.abort();
  }

  /** Asks the member to report now. */
  async requestReport(): Promise<void> {
    if (this.#isRequestingReport) {
      return;
    }
    this.#isRequestingReport = true;
    try {
      await this.#dependencies.peer.requestReport(this.#dependencies.getMember());
    } catch {
      // A lost request does no harm: the member reports at its regular interval.
    } finally {
      this.#isRequestingReport = false;
    }
  }

  /** Reports until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      this.#wakeSignal = new AbortController();
      const intervalMs = await this.sendReport();
      await clock.wait(MIN_REPORT_INTERVAL_MS);
      await clock.wait(intervalMs, this.#wakeSignal.signal);
    }
  }

  /** Sends one report; returns the time in milliseconds until the next one is due. */
  async sendReport(): Promise<number> {
    this.#sequence += 1;
    const report = this.#dependencies.buildReport(this.#sequence);
    try {
      const reply = await this.#dependencies.peer.report(report);
      if (!this.#stopped.signal.aborted && report.sequence === this.#sequence) {
        this.#dependencies.onReply(report, reply);
      }
      return this.#getIntervalMs(report, reply);
    } catch {
      return REPORT_RETRY_DELAY_MS;
    }
  }

  /** Stops {@link run}; replies that arrive later are ignored. */
  stop(): void {
    this.#stopped.abort();
    this.#wakeSignal.abort();
  }

  #getIntervalMs(report: PermitReport, reply: PermitReply): number {
    if (reply.kind !== 'loans') {
      return REPORT_RETRY_DELAY_MS;
    }
    const isActive = report.holdings.some(({ needed }) => needed > 0);
    return isActive ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS;
  }
}
