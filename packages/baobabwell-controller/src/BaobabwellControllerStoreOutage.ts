import type { Ownership } from '@baobabwell/ownership';
import type { Clock } from '@baobabwell/utils';

import {
  MAX_PEER_REPORT_AGE_MS,
  MIN_OUTAGE_LEASE_AGE_MS,
  OUTAGE_POLL_INTERVAL_MS,
  OUTAGE_SLACK_MS,
} from './BaobabwellControllerConstants';

/** Asks other processes of the fleet how long ago the store last answered them. */
export abstract class PeerReports {
  /** Returns true when there may be other processes. */
  abstract hasPeers(): boolean;

  /** Requests a report from some peers; each that arrives is given to `recordAge`, in ms. */
  abstract requestStoreAnswerAges(recordAge: (ageMs: number) => void): void;
}

type OutageContext = {
  readonly clock: Clock;
  readonly ownership: Ownership;
  readonly peerReports: PeerReports;
  readonly signal: AbortSignal;
};

/** Decides whether the store answers nobody, or only this owner is cut off from it. */
export class StoreOutage {
  readonly #context: OutageContext;

  #reportedAtMs = -Infinity;

  /** Latest monotonic time at which the store is known to have answered a peer, in ms. */
  #peerAnsweredAtMs = -Infinity;

  constructor(context: OutageContext) {
    this.#context = context;
  }

  /**
   * Returns true while the store is taken to have answered nobody since this owner's last renewal. A peer
   * that got an answer since may have acknowledged a cancellation; without reports, one is assumed to have.
   */
  isCommon(): boolean {
    const { clock, ownership, peerReports } = this.#context;
    if (!peerReports.hasPeers()) {
      return true;
    }
    const nowMs = clock.getNow();
    const renewedAtMs = nowMs - ownership.getLeaseAgeMs();
    return (
      nowMs - this.#reportedAtMs <= MAX_PEER_REPORT_AGE_MS &&
      this.#peerAnsweredAtMs <= renewedAtMs + OUTAGE_SLACK_MS
    );
  }

  /** Asks peers while this owner cannot renew, until the term ends. */
  async run(): Promise<void> {
    const { clock, ownership, peerReports, signal } = this.#context;
    while (!signal.aborted) {
      await clock.wait(OUTAGE_POLL_INTERVAL_MS, signal);
      if (!signal.aborted && ownership.getLeaseAgeMs() > MIN_OUTAGE_LEASE_AGE_MS) {
        const requestedAtMs = clock.getNow();
        // Not awaited: peers that do not answer must not delay the next request.
        peerReports.requestStoreAnswerAges((ageMs) => this.#recordReport(ageMs, requestedAtMs));
      }
    }
  }

  #recordReport(ageMs: number, requestedAtMs: number): void {
    this.#reportedAtMs = Math.max(this.#reportedAtMs, requestedAtMs);
    // A busy peer reads the age late; counted from the report's arrival, an old answer would seem new.
    this.#peerAnsweredAtMs = Math.max(this.#peerAnsweredAtMs, requestedAtMs - ageMs);
  }
}
