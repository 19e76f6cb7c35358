import type { Attempt, Candidate, Owner, Term, TermListener } from './BaobabwellOwnershipModel';
import type { Logger } from '@baobabwell/logging';
import type { ChangePage, Row, RowCondition, RowWrite, TableError } from '@baobabwell/platform';
import type { WatchableTableService } from '@baobabwell/platform';
import type { Clock, ClockReading, Result } from '@baobabwell/utils';

import { TableErrorKind } from '@baobabwell/platform';
import { createError, getElapsedMs, readClocks, RetryDelay } from '@baobabwell/utils';

import {
  ACQUISITION_WATCH_MS,
  MAX_RETRY_DELAY_MS,
  MAX_WATCH_MS,
  MIN_RETRY_DELAY_MS,
  OWNER_GRACE_MS,
  OWNER_KEY,
  OWNER_LEASE_MS,
  OWNERSHIP_TABLE,
  RENEWAL_INTERVAL_MS,
  RENEWAL_KEY,
  RENEWAL_TIMEOUT_MS,
} from './BaobabwellOwnershipConstants';
import { LeaseExtension } from './BaobabwellOwnershipLeaseExtension';
import { createRenewalRow, mayBeStored, ownerRow, renewalRow } from './BaobabwellOwnershipRows';
import { isHandoverBetween, TakeoverTimer } from './BaobabwellOwnershipTakeoverDelay';

/** Acquires, renews and releases the ownership of the fleet's control loops. */
export class Ownership {
  readonly #store: WatchableTableService;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #candidate: Candidate;

  readonly #listener: TermListener;

  readonly #stopped = new AbortController();

  #owner: Owner | null = null;

  #ownerVersion = 0;

  #renewalVersion = 0;

  /**
   * Monotonic time from which the store has answered without showing a newer renewal, in ms. It is
   * reset when the store does not answer, because a renewal may then have been missed.
   */
  #renewalSeenAtMs = 0;

  /** Monotonic time of the store's last answer to the watch of the owner's rows, in ms. */
  #storeAnsweredAtMs = -Infinity;

  readonly #takeoverTimer: TakeoverTimer;

  /** Epoch of the latest term whose owner reported that it had loaded the stored state. */
  #loadedEpoch = 0;

  #term: Term | null = null;

  /** The takeover whose transaction is not answered, or `null`. */
  #acquisition: Promise<void> | null = null;

  /** The latest takeover of this daemon whose outcome is not known, or `null`. */
  #attempt: Attempt | null = null;

  readonly #maxLeaseExtensionMs: number;

  /** Extension of the leases on hosts in the present term, or in the last one. */
  #leaseExtension: LeaseExtension | null = null;

  /** Extension that the latest renewal seen names, in ms. */
  #seenExtensionMs = 0;

  /** Times at which the last successful renewal was sent, on both clocks, in ms. */
  #confirmedRenewalSentAt: ClockReading = { monotonicMs: 0, wallMs: 0 };

  #confirmedRenewalVersion = 0;

  /** Monotonic time at which the last renewal was sent, in ms. */
  #renewalSentAtMs = 0;

  /** Transactions without an answer, each with the monotonic time at which it was sent, in ms. */
  readonly #openTransactions = new Set<{ readonly sentAtMs: number }>();

  constructor(options: {
    readonly store: WatchableTableService;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly candidate: Candidate;
    readonly listener: TermListener;
    /** Longest time by which leases on hosts may be longer than usual, in ms; none by default. */
    readonly maxLeaseExtensionMs?: number;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#candidate = options.candidate;
    this.#listener = options.listener;
    this.#maxLeaseExtensionMs = options.maxLeaseExtensionMs ?? 0;
    this.#takeoverTimer = new TakeoverTimer(options.clock, options.candidate, () => ({
      owner: this.#owner,
      ownerVersion: this.#ownerVersion,
      loadedEpoch: this.#loadedEpoch,
      renewalSeenAtMs: this.#renewalSeenAtMs,
    }));
  }

  /**
   * Returns the owner as last observed, which may have been replaced since; `null` if there was none.
   */
  getOwner(): Owner | null {
    return this.#owner?.isReleased === true ? null : this.#owner;
  }

  /** Returns true while this daemon may act as the owner; it is checked before each action. */
  canAct(): boolean {
    return this.#term !== null && this.getLeaseAgeMs() < OWNER_LEASE_MS;
  }

  /**
   * Returns the version of the store up to which accepted jobs may be started now; `null` if none
   * may. After its lease expired, an owner still starts jobs that were accepted before its last
   * successful renewal. This is safe: the next owner starts none of these jobs until every host of
   * their pool has reported to it or can no longer hold runs of former owners, and a host that has
   * reported to an owner accepts no orders from former owners.
   */
  findMaxStartableVersion(): number | null {
    if (this.canAct()) {
      return Infinity;
    }
    const isInGrace = this.#term !== null && this.getLeaseAgeMs() < OWNER_GRACE_MS;
    return isInGrace ? this.#confirmedRenewalVersion : null;
  }

  /**
   * Returns the time since the last successful renewal was sent, in ms, by the clock that ran
   * further.
   */
  getLeaseAgeMs(): number {
    return getElapsedMs(this.#clock, this.#confirmedRenewalSentAt);
  }

  /** Returns the time by which a lease on a host that is granted now is longer than usual, in ms. */
  getLeaseExtensionMs(): number {
    return this.#leaseExtension?.getExtensionMs(this.#clock.getNow()) ?? 0;
  }

  /** Returns the time since the store last answered this daemon's watch of the owner's rows, in ms. */
  getStoreAnswerAgeMs(): number {
    return this.#clock.getNow() - this.#storeAnsweredAtMs;
  }

  /** Watches the owner's rows and takes over if there is no owner, until {@link stop} is called. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    const retry = new RetryDelay(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    let version: number | null = null;
    while (!signal.aborted) {
      version = version === null ? await this.#readRows() : await this.#watchRows(version);
      if (version === null) {
        this.#renewalSeenAtMs = this.#clock.getNow();
        await this.#clock.wait(retry.advance(), signal);
      } else {
        retry.reset();
        this.#storeAnsweredAtMs = this.#clock.getNow();
        const isCandidate = this.#term === null && this.#acquisition === null;
        if (isCandidate && (await this.#takeoverTimer.waitUntilDue(signal))) {
          this.#acquisition = this.#acquire().finally(() => {
            this.#acquisition = null;
          });
          // A slow store may show the row of the new owner before it answers the transaction.
          await Promise.race([this.#acquisition, this.#clock.wait(ACQUISITION_WATCH_MS, signal)]);
        }
      }
    }
  }

  /** Renews the ownership during each term, until {@link stop} is called. */
  async runRenewals(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#clock.wait(RENEWAL_INTERVAL_MS, signal);
      if (
        this.#term !== null &&
        !signal.aborted &&
        this.#isRenewalDue() &&
        !this.#hasOpenTransaction()
      ) {
        // Not awaited: an unresponsive store must not delay the next renewal.
        void this.commit(this.#term, [], []);
      }
    }
  }

  /**
   * Commits writes of a term; they fail once the term has ended. A renewal that is due is added to
   * the transaction, because all rows of the owner share one partition of the store, which
   * processes transactions one by one.
   */
  async commit(
    term: Term,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<Result<number, TableError>> {
    if (term !== this.#term) {
      const cause = 'the ownership term has ended';
      return createError({ kind: TableErrorKind.Unavailable, mayHaveCommitted: false, cause });
    }
    // The owner's row does not change during a term.
    const fence = { table: OWNERSHIP_TABLE, key: OWNER_KEY, version: term.startVersion };
    const renewal = this.#isRenewalDue() ? this.#createRenewal(term) : null;
    const open = { sentAtMs: this.#clock.getNow() };
    this.#openTransactions.add(open);
    const reply = await this.#store.commit({
      conditions: [fence, ...conditions],
      writes: [...writes, ...(renewal?.writes ?? [])],
    });
    this.#openTransactions.delete(open);
    renewal?.handleReply(reply);
    if (!reply.ok && reply.error.kind === TableErrorKind.Conflict) {
      const fenceConflict = reply.error.conflicts.find(
        ({ table, key, version }) =>
          table === fence.table && key === fence.key && version !== fence.version,
      );
      if (fenceConflict !== undefined && term === this.#term) {
        this.endTerm('another daemon is the owner');
      } else if (fenceConflict === undefined && renewal !== null) {
        // Another condition of the transaction failed, not the fence: the renewal is sent alone.
        this.#renewalSentAtMs = -Infinity;
        void this.commit(term, [], []);
      }
    }
    return reply;
  }

  /** Records that the owner of a term has loaded the stored state; the next renewal reports it. */
  recordLoaded({ epoch }: Term): void {
    this.#loadedEpoch = Math.max(this.#loadedEpoch, epoch);
  }

  /** Ends the term at once, without a release: another daemon is the owner. */
  endTerm(reason: string): void {
    const term = this.#term;
    if (term !== null) {
      this.#term = null;
      this.#logger.recordWarning('ownership-lost', { epoch: term.epoch, reason });
      this.#listener.endTerm(reason);
    }
  }

  /** Stops seeking ownership, and releases it if this daemon is the owner. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    if (this.#term === null) {
      // A takeover that is stored makes this daemon the owner, also while it stops.
      await this.#acquisition;
    }
    const term = this.#term;
    if (term === null || this.#owner === null) {
      return;
    }
    const released = await this.commit(
      term,
      [],
      [{ table: OWNERSHIP_TABLE, key: OWNER_KEY, value: { ...this.#owner, isReleased: true } }],
    );
    this.#term = null;
    this.#logger.recordInfo('ownership-released', { epoch: term.epoch, isStored: released.ok });
  }

  async #readRows(): Promise<number | null> {
    const reply = await this.#store.list({ table: OWNERSHIP_TABLE });
    return this.#applyPage(reply.ok ? reply.value : null);
  }

  async #watchRows(version: number): Promise<number | null> {
    const waitMs = Math.round(this.#getWatchMs());
    const sentAtMs = this.#clock.getNow();
    const reply = await this.#store.waitForChanges(
      OWNERSHIP_TABLE,
      version,
      waitMs,
      this.#stopped.signal,
    );
    if (reply.ok) {
      const hasChanges = reply.value.rows.length > 0;
      this.#takeoverTimer.recordWatch({ sentAtMs, waitMs, hasChanges });
    }
    return this.#applyPage(reply.ok ? reply.value : null);
  }

  #applyPage(page: ChangePage | null): number | null {
    page?.rows.forEach((row) => this.#applyRow(row));
    return page?.version ?? null;
  }

  #applyRow({ key, value, version }: Row): void {
    if (key === RENEWAL_KEY && version > this.#renewalVersion) {
      this.#takeoverTimer.wasRefused = false;
      this.#renewalVersion = version;
      this.#renewalSeenAtMs = this.#clock.getNow();
      const { data } = renewalRow.safeParse(value);
      this.#seenExtensionMs = data?.leaseExtensionMs ?? 0;
      if (data?.isLoaded === true) {
        this.#loadedEpoch = Math.max(this.#loadedEpoch, data.epoch);
      }
    }
    if (key !== OWNER_KEY || version <= this.#ownerVersion) {
      return;
    }
    const parsed = ownerRow.safeParse(value);
    this.#ownerVersion = version;
    this.#owner = parsed.success ? parsed.data : null;
    this.#renewalSeenAtMs = this.#clock.getNow();
    if (this.#owner !== null) {
      const { name, epoch, isReleased } = this.#owner;
      this.#logger.recordInfo('owner-seen', { name, epoch, isReleased, version });
    }
    if (this.#term !== null && this.#owner?.epoch !== this.#term.epoch) {
      this.endTerm('another daemon is the owner');
    }
    this.#applyAttempt(version);
  }

  /**
   * Begins the term of a takeover whose transaction is not answered but whose row the store shows. Only this
   * incarnation can have written it.
   */
  #applyAttempt(version: number): void {
    const attempt = this.#attempt;
    if (attempt === null || (this.#owner?.epoch ?? 0) < attempt.owner.epoch) {
      return;
    }
    const { firstSentAt, owner } = attempt;
    const isShown =
      this.#isOwnRow() && this.#owner?.life === owner.life && this.#owner.epoch === owner.epoch;
    if (isShown && getElapsedMs(this.#clock, firstSentAt) < OWNER_LEASE_MS) {
      this.#startTerm({ ...attempt, sentAt: firstSentAt }, version);
    } else {
      this.#attempt = null;
    }
  }

  /**
   * Returns true if the row names this daemon. If this daemon has no term, the row was written
   * either by an earlier incarnation on the same machine, which has ended for certain, or by this
   * incarnation in a transaction whose outcome was unknown.
   */
  #isOwnRow(): boolean {
    return this.#owner?.name === this.#candidate.name;
  }

  /** Returns how long the next watch may wait for a change, in ms. */
  #getWatchMs(): number {
    if (this.#acquisition !== null) {
      return ACQUISITION_WATCH_MS;
    }
    return this.#term === null ? this.#takeoverTimer.getWatchMs() : MAX_WATCH_MS;
  }

  async #acquire(): Promise<void> {
    const { name, incarnation, address } = this.#candidate;
    const before = this.#owner;
    const epoch = (before?.epoch ?? 0) + 1;
    const wasLoaded = before === null || before.isReleased || before.epoch <= this.#loadedEpoch;
    const unloadedTerms = wasLoaded ? 0 : before.unloadedTerms + 1;
    const owner: Owner = {
      name,
      life: incarnation,
      address,
      epoch,
      isReleased: false,
      unloadedTerms,
    };
    const sentAt = readClocks(this.#clock);
    const former = this.#attempt?.owner.epoch === epoch ? this.#attempt : null;
    const attempt: Attempt = {
      owner,
      before,
      sentAt,
      firstSentAt: former?.firstSentAt ?? sentAt,
      renewalSeenAtMs: this.#renewalSeenAtMs,
      // The takeover names the extension of the very renewal that it replaces.
      extensionMs: this.#seenExtensionMs,
    };
    this.#attempt = attempt;
    this.#listener.prepareTerm?.();
    const renewal = createRenewalRow(epoch, false, attempt.extensionMs);
    const reply = await this.#store.commit({
      conditions: [
        { table: OWNERSHIP_TABLE, key: OWNER_KEY, version: this.#ownerVersion },
        { table: OWNERSHIP_TABLE, key: RENEWAL_KEY, version: this.#renewalVersion },
      ],
      writes: [
        { table: OWNERSHIP_TABLE, key: OWNER_KEY, value: owner },
        { table: OWNERSHIP_TABLE, key: RENEWAL_KEY, value: renewal },
      ],
    });
    if (this.#attempt !== attempt) {
      // The watch has shown its row, or that of a later owner, before.
      return;
    }
    if (!reply.ok) {
      // If the outcome is unknown, the watch shows the row if this daemon is the owner.
      const { kind } = reply.error;
      this.#attempt = former !== null || mayBeStored(reply) ? attempt : null;
      this.#renewalSeenAtMs = this.#clock.getNow();
      this.#takeoverTimer.wasRefused = kind === TableErrorKind.Unavailable;
      this.#logger.recordInfo('ownership-not-acquired', { epoch, reason: kind });
      return;
    }
    this.#startTerm(attempt, reply.value);
  }

  /** Starts the term of a takeover that is stored. */
  #startTerm(
    { owner, before, sentAt, renewalSeenAtMs, extensionMs }: Attempt,
    version: number,
  ): void {
    const { epoch, unloadedTerms } = owner;
    this.#attempt = null;
    this.#owner = owner;
    this.#ownerVersion = version;
    this.#renewalVersion = Math.max(this.#renewalVersion, version);
    this.#confirmedRenewalSentAt = sentAt;
    this.#confirmedRenewalVersion = version;
    this.#renewalSentAtMs = sentAt.monotonicMs;
    const isHandover = isHandoverBetween(before, owner);
    this.#leaseExtension = new LeaseExtension(
      this.#maxLeaseExtensionMs,
      { extensionMs, sentAtMs: sentAt.monotonicMs },
      this.#clock.getNow() - sentAt.monotonicMs,
    );
    this.#term = {
      epoch,
      startVersion: version,
      isHandover,
      wasReleased: before?.isReleased === true,
      formerExtensionMs: extensionMs,
    };
    this.#logger.recordInfo('ownership-acquired', {
      epoch,
      isHandover,
      before: before?.name ?? null,
      renewalAgeMs: Math.round(sentAt.monotonicMs - renewalSeenAtMs),
      unloadedTerms,
      version,
    });
    if (!this.#stopped.signal.aborted) {
      this.#listener.startTerm(this.#term);
    }
  }

  #isRenewalDue(): boolean {
    return this.#clock.getNow() - this.#renewalSentAtMs >= RENEWAL_INTERVAL_MS;
  }

  /** Returns true if a transaction is open that the store may still answer. */
  #hasOpenTransaction(): boolean {
    const nowMs = this.#clock.getNow();
    return [...this.#openTransactions].some(
      ({ sentAtMs }) => nowMs - sentAtMs < RENEWAL_TIMEOUT_MS,
    );
  }

  /** Creates the write that renews the lease, and the function that handles the reply to it. */
  #createRenewal(term: Term): {
    readonly writes: readonly RowWrite[];
    readonly handleReply: (reply: Result<number, TableError>) => void;
  } {
    const sentAt = readClocks(this.#clock);
    this.#renewalSentAtMs = sentAt.monotonicMs;
    const extension = this.#leaseExtension;
    const named = extension?.nameExtension(sentAt.monotonicMs) ?? null;
    const isLoaded = term.epoch <= this.#loadedEpoch;
    const value = createRenewalRow(term.epoch, isLoaded, named?.extensionMs ?? 0);
    return {
      writes: [{ table: OWNERSHIP_TABLE, key: RENEWAL_KEY, value }],
      handleReply: (reply) => {
        if (named !== null && reply.ok) {
          extension?.confirm(named, reply.value, this.#clock.getNow() - sentAt.monotonicMs);
        } else if (named !== null && !mayBeStored(reply)) {
          extension?.refute(named);
        }
        if (this.#term === term) {
          this.#recordRenewal(sentAt, reply);
        }
      },
    };
  }

  #recordRenewal(sentAt: ClockReading, reply: Result<number, TableError>): void {
    const wasExpired = !this.canAct();
    if (!reply.ok) {
      this.#logger.recordWarning('ownership-not-renewed', {
        leaseAgeMs: Math.round(this.getLeaseAgeMs()),
        reason: reply.error.kind === TableErrorKind.Conflict ? 'conflict' : reply.error.cause,
      });
      return;
    }
    this.#listener.recordRenewal?.(this.#clock.getNow() - sentAt.monotonicMs);
    if (sentAt.monotonicMs > this.#confirmedRenewalSentAt.monotonicMs) {
      this.#confirmedRenewalSentAt = sentAt;
      this.#confirmedRenewalVersion = Math.max(this.#confirmedRenewalVersion, reply.value);
    }
    if (wasExpired) {
      this.#logger.recordInfo('ownership-resumed', { epoch: this.#term?.epoch ?? null });
    }
  }
}
