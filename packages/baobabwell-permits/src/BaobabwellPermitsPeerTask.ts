import type { PermitReply, PermitReport } from './BaobabwellPermits';
import type { PermitPeer } from './BaobabwellPermitsPeers';
import type { Clock } from '@baobabwell/utils';

import {
  IDLE_REPORT_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  REPORT_PACE_MS,
  REPORT_RETRY_MS,
} from './BaobabwellPermitsConstants';

/** What a peer task works with. */
export type PermitPeerTaskParts = {
  readonly clock: Clock;
  readonly peer: PermitPeer;
  /** Key of this entry's own life. */
  readonly getMember: () => string;
  readonly buildReport: (sequence: number) => PermitReport;
  /** Takes the answer to a report; never that to an earlier one. */
  readonly onReply: (report: PermitReport, reply: PermitReply) => void;
};

/** Reports to one member, for as long as it is one, and nudges it. */
export class PermitPeerTask {
  readonly #parts: PermitPeerTaskParts;

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  #sequence = 0;

  #isNudging = false;

  constructor(parts: PermitPeerTaskParts) {
    this.#parts = parts;
  }

  /** Reports as soon as the last report is answered. */
  update(): void {
    this.#wake.abort();
  }

  /** Asks the member to report at once. */
  async nudge(): Promise<void> {
    if (this.#isNudging) {
      return;
    }
    this.#isNudging = true;
    try {
      await this.#parts.peer.nudge(this.#parts.getMember());
    } catch {
      // The member reports by itself within its interval.
    } finally {
      this.#isNudging = false;
    }
  }

  /** Reports until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      this.#wake = new AbortController();
      const intervalMs = await this.send();
      await clock.wait(REPORT_PACE_MS);
      await clock.wait(intervalMs, this.#wake.signal);
    }
  }

  /** Sends one report; returns the time until the next one is due. */
  async send(): Promise<number> {
    this.#sequence += 1;
    const report = this.#parts.buildReport(this.#sequence);
    try {
      const reply = await this.#parts.peer.report(report);
      if (!this.#stopped.signal.aborted && report.sequence === this.#sequence) {
        this.#parts.onReply(report, reply);
      }
      return this.#getInterval(report, reply);
    } catch {
      return REPORT_RETRY_MS;
    }
  }

  /** Ends {@link run}; later answers are ignored. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  #getInterval(report: PermitReport, reply: PermitReply): number {
    if (reply.kind !== 'loans') {
      return REPORT_RETRY_MS;
    }
    const isActive = report.holdings.some(({ needed }) => needed > 0);
    return isActive ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS;
  }
}
