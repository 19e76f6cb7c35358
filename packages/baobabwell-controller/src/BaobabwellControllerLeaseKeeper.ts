import type { Host } from './BaobabwellControllerHost';
import type { LeaseLog } from './BaobabwellControllerLeaseLog';
import type { Ownership } from '@baobabwell/ownership';
import type { HostOrders } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { OrderRefusal } from '@baobabwell/platform';

import { HOST_RETRY_MS, LEASE_KEEP_INTERVAL_MS } from './BaobabwellControllerConstants';
import { IncarnationState } from './BaobabwellControllerIncarnationState';

/**
 * Renews the leases on hosts while no session does: before a term is loaded, and after its ownership was
 * released. It applies nothing of the reports and acknowledges nothing.
 */
export class LeaseKeeper {
  readonly #clock: Clock;

  readonly #orders: HostOrders;

  readonly #epoch: number;

  readonly #canRenew: () => boolean;

  readonly #leaseLog: LeaseLog;

  readonly #ownership: Ownership;

  readonly #stopped = new AbortController();

  constructor(options: {
    readonly clock: Clock;
    readonly orders: HostOrders;
    readonly leaseLog: LeaseLog;
    readonly ownership: Ownership;
    readonly epoch: number;
    /** Returns false once the permission to renew has ended; it is asked before each call. */
    readonly canRenew: () => boolean;
  }) {
    this.#clock = options.clock;
    this.#orders = options.orders;
    this.#epoch = options.epoch;
    this.#canRenew = options.canRenew;
    this.#leaseLog = options.leaseLog;
    this.#ownership = options.ownership;
  }

  /** Ends all renewals; a call under way is still carried out. */
  stop(): void {
    this.#stopped.abort();
  }

  /** Renews the lease on a host while it has runs or ends and accepts the orders of the term. */
  async run(host: Host): Promise<void> {
    const { signal } = this.#stopped;
    // Before the host has reported to this owner, its row may name an earlier incarnation than the present one.
    const isKnown = host.isReconciled && host.hasClock;
    const state = isKnown ? host.state : new IncarnationState(this.#clock.getNow());
    let keptBornMs = isKnown ? host.bornMs : null;
    let hasAnswered = isKnown && host.isReachable;
    while (!signal.aborted) {
      // Before the permission is checked, so that a pause in between makes the lease no longer.
      const sentAtMs = this.#clock.getNow();
      if (!this.#canRenew()) {
        return;
      }
      // The lease of an unresponsive host is not extended, so that its runs expire eventually.
      const leaseEndMs =
        hasAnswered && state.hasClock
          ? state.extendLease(sentAtMs, this.#ownership.getLeaseExtensionMs())
          : null;
      host.state.recordOtherLeases(state.getExpiredAtMs());
      const reply = await this.#orders.hold(host.incarnation, {
        epoch: this.#epoch,
        acknowledgedPosition: 0,
        leaseEndMs,
        waitMs: 0,
        signal: new AbortController().signal,
      });
      if (signal.aborted) {
        return;
      }
      hasAnswered = reply.ok;
      if (!reply.ok) {
        const { kind } = reply.error;
        if (kind === OrderRefusal.Fenced || kind === OrderRefusal.OtherIncarnation) {
          return;
        }
        await this.#clock.wait(HOST_RETRY_MS, signal);
      } else {
        const { clockMs, bornMs, active, ended } = reply.value;
        if (bornMs !== null && keptBornMs !== null && bornMs !== keptBornMs) {
          // The runs of the incarnation that was kept have ended.
          return;
        }
        keptBornMs = bornMs;
        state.recordClock(clockMs, this.#clock.getNow());
        if (active.length === 0 && ended.length === 0) {
          return;
        }
        if (leaseEndMs !== null) {
          this.#leaseLog.recordRenewal(host, sentAtMs);
          await this.#clock.wait(LEASE_KEEP_INTERVAL_MS, signal);
        }
      }
    }
  }
}
