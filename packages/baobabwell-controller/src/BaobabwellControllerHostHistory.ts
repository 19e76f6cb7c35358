import type { HostReport } from '@baobabwell/platform';

/** What a report contained and when it came. */
export type ReportSummary = {
  readonly receivedAtMs: number;
  /** Time from the hold call to its answer, in ms. */
  readonly tookMs: number;
  /** First and last position of the run ends in the report; `null` when it contained none. */
  readonly firstPosition: number | null;
  readonly lastPosition: number | null;
  readonly endCount: number;
};

/**
 * Events on a host that log lines refer to later. Of these, decisions only use the time of a restart.
 */
export class HostHistory {
  lastReport: ReportSummary | null = null;

  /** Monotonic time at which this owner learned of the latest restart, in ms. */
  restartedAtMs: number | null = null;

  /** Position of run ends in the transaction under way; `null` when none stores ends of this host. */
  committingPosition: number | null = null;

  /**
   * True once this owner can tell at which position the next report has to begin. After a takeover it
   * cannot until a report contains ends: former owners acknowledged ends that it never sees.
   */
  hasKnownPositions = false;

  recordRestart(nowMs: number): void {
    this.restartedAtMs = nowMs;
    // All ends of an incarnation that began during this term are listed to this owner.
    this.hasKnownPositions ||= this.lastReport !== null;
  }

  recordCommit(position: number | null): void {
    this.committingPosition = position;
  }

  recordReport({ ended }: HostReport, sentAtMs: number, receivedAtMs: number): void {
    this.lastReport = {
      receivedAtMs,
      tookMs: receivedAtMs - sentAtMs,
      firstPosition: ended[0]?.position ?? null,
      lastPosition: ended.at(-1)?.position ?? null,
      endCount: ended.length,
    };
    this.hasKnownPositions ||= ended.length > 0;
  }
}
