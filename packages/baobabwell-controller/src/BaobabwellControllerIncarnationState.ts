import { EXPIRY_MARGIN_MS, HOST_LEASE_MS, MAX_CLOCK_DRIFT } from './BaobabwellControllerConstants';

/**
 * What this owner knows of one incarnation of a host: positions of run ends, clock and leases. A restart
 * replaces the object; calls and transactions keep the one with which they began, so that their answers
 * never change the state of a later incarnation.
 */
export class IncarnationState {
  /** Last applied position in the host's list of run ends. */
  appliedEndPosition = 0;

  /** Last position in that list whose effect is stored. */
  storedEndPosition = 0;

  /** Last position acknowledged to the host, which may then discard the ends up to it. */
  acknowledgedEndPosition = 0;

  #clock: { readonly hostMs: number; readonly receivedAtMs: number } | null = null;

  #answeredAtMs: number | null = null;

  #leaseEndMs = 0;

  #lastClockMs = 0;

  /** Monotonic time by which leases that are not recorded here have expired, in ms. */
  #unknownLeasesUntilMs: number;

  constructor(unknownLeasesUntilMs: number) {
    this.#unknownLeasesUntilMs = unknownLeasesUntilMs;
  }

  get hasClock(): boolean {
    return this.#clock !== null;
  }

  hasUnstoredEnds(): boolean {
    return this.appliedEndPosition > this.storedEndPosition;
  }

  hasUnacknowledgedEnds(): boolean {
    return this.appliedEndPosition > this.acknowledgedEndPosition;
  }

  /** Returns the position to acknowledge, or 0 if the host has nothing new to discard. */
  getPendingAcknowledgement(): number {
    return this.storedEndPosition > this.acknowledgedEndPosition ? this.storedEndPosition : 0;
  }

  /**
   * Records the reading of the host's clock in an answer. An answer that was read late shows a time that
   * has passed since; the reading before is kept where it is the more exact one.
   */
  recordClock(hostMs: number, receivedAtMs: number): void {
    this.#answeredAtMs = receivedAtMs;
    this.#lastClockMs = Math.max(this.#lastClockMs, hostMs);
    const leastMs =
      this.#clock &&
      this.#clock.hostMs + (receivedAtMs - this.#clock.receivedAtMs) * (1 - MAX_CLOCK_DRIFT);
    if (leastMs === null || hostMs >= leastMs) {
      this.#clock = { hostMs, receivedAtMs };
    }
  }

  /** Returns the monotonic time of the latest answer, in ms, or `null` before the first. */
  get answeredAtMs(): number | null {
    return this.#answeredAtMs;
  }

  /** Latest reading of the host's clock in any answer, in ms. */
  get lastClockMs(): number {
    return this.#lastClockMs;
  }

  /** Returns the end of the lease and the present time, both by the host's clock, as far as known. */
  getLease(nowMs: number): { readonly endMs: number | null; readonly clockMs: number | null } {
    const clockMs = this.#clock && this.#clock.hostMs + nowMs - this.#clock.receivedAtMs;
    return { endMs: this.#leaseEndMs || null, clockMs: clockMs && Math.round(clockMs) };
  }

  /**
   * Computes the end of a lease granted now, by the host's clock, and records it as granted.
   *
   * @param extensionMs time by which the lease is longer than usual, in ms.
   */
  extendLease(nowMs: number, extensionMs: number): number {
    if (this.#clock === null) {
      return 0;
    }
    const { hostMs, receivedAtMs } = this.#clock;
    const endMs = Math.floor(hostMs + (nowMs - receivedAtMs) + HOST_LEASE_MS + extensionMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
    return endMs;
  }

  /** Records the monotonic time by which leases that were granted in another way have expired, in ms. */
  recordOtherLeases(untilMs: number): void {
    this.#unknownLeasesUntilMs = Math.max(this.#unknownLeasesUntilMs, untilMs);
  }

  /** Returns the monotonic time by which all leases of this incarnation have expired, in ms. */
  getExpiredAtMs(): number {
    if (this.#clock === null || this.#leaseEndMs === 0) {
      return this.#unknownLeasesUntilMs;
    }
    const { hostMs, receivedAtMs } = this.#clock;
    const leftMs = Math.max(0, this.#leaseEndMs - hostMs) / (1 - MAX_CLOCK_DRIFT);
    return Math.max(this.#unknownLeasesUntilMs, receivedAtMs + leftMs + EXPIRY_MARGIN_MS);
  }
}
