import type { Logger } from '@baobabwell/logging';
import type { ChangePage, Row, RowCondition, RowWrite, TableError } from '@baobabwell/platform';
import type { WatchableTableService } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { z } from 'zod';

import { TableErrorKind } from '@baobabwell/platform';
import { createError, RetryDelay } from '@baobabwell/utils';

import {
  CANDIDATE_DELAY_MS,
  LEAST_TAKEOVER_MS,
  MAX_RETRY_MS,
  OWNER_GRACE_MS,
  OWNER_KEY,
  OWNER_LEASE_MS,
  OWNERSHIP_TABLE,
  OWNERSHIP_WAIT_MS,
  RENEW_MS,
  RENEWAL_KEY,
  RENEWAL_PATIENCE_MS,
  RETRY_MS,
} from './BaobabwellOwnershipConstants';

const ownerRow = z.object({
  name: z.string(),
  /** Distinguishes the lives of one daemon. */
  life: z.string(),
  address: z.string(),
  epoch: z.number().int(),
  isReleased: z.boolean(),
});

/** Who owns the fleet's duties. */
export type Owner = z.infer<typeof ownerRow>;

/** The daemon on whose behalf ownership is sought. */
export type Candidate = {
  readonly name: string;
  readonly life: string;
  readonly address: string;
  /** Processor share of the machine, 0 to 1; larger ones take over first. */
  readonly fitness: number;
};

/** One period of ownership. */
export type Term = {
  readonly epoch: number;
  /** Version of the store at which the term began; rows written later are news to all before. */
  readonly startVersion: number;
  /** No other daemon may have acted just before: it let go in good order, or there was none. */
  readonly isHandover: boolean;
};

/** Is told when a term begins and ends. */
export type TermListener = {
  readonly startTerm: (term: Term) => void;
  readonly endTerm: (reason: string) => void;
};

/** Seeks, renews and releases the ownership of the fleet's duties. */
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

  /** Monotonic time at which the latest renewal was seen, with the store answering since. */
  #renewalSeenAtMs = 0;

  #term: Term | null = null;

  /** Sending times of the last successful renewal by both clocks, in ms. */
  #renewedAt = { steadyMs: 0, wallMs: 0 };

  #renewedVersion = 0;

  /** Monotonic time at which the last renewal was sent, in ms. */
  #renewalSentAtMs = 0;

  /** Transactions that are not answered, with the monotonic time at which each was sent, in ms. */
  readonly #open = new Set<{ readonly sentAtMs: number }>();

  constructor(options: {
    readonly store: WatchableTableService;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly candidate: Candidate;
    readonly listener: TermListener;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#candidate = options.candidate;
    this.#listener = options.listener;
  }

  /** The owner as last seen, which may have been replaced since; `null` while none is known. */
  getOwner(): Owner | null {
    return this.#owner?.isReleased === true ? null : this.#owner;
  }

  /** True while this daemon may act as the owner; looked at before each act. */
  canAct(): boolean {
    return this.#term !== null && this.getLeaseAgeMs() < OWNER_LEASE_MS;
  }

  /**
   * Finds the version of the store up to which accepted work may be started now; `null` when none may.
   * Past its lease an owner goes on with what it knew while it was the owner for certain: the next one
   * starts none of that before it has asked every host, and hosts that it asked obey nobody before it.
   */
  findStartBound(): number | null {
    if (this.canAct()) {
      return Infinity;
    }
    const isInGrace = this.#term !== null && this.getLeaseAgeMs() < OWNER_GRACE_MS;
    return isInGrace ? this.#renewedVersion : null;
  }

  /** Time since the last successful renewal was sent, in ms, by the clock that ran further. */
  getLeaseAgeMs(): number {
    const { steadyMs, wallMs } = this.#renewedAt;
    return Math.max(this.#clock.getNow() - steadyMs, this.#clock.getWallTime() - wallMs);
  }

  /** Watches the owner's rows and takes over when there is no owner, until stopped. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    const retry = new RetryDelay(RETRY_MS, MAX_RETRY_MS);
    let version: number | null = null;
    while (!signal.aborted) {
      version = version === null ? await this.#readRows() : await this.#watchRows(version);
      if (version === null) {
        this.#renewalSeenAtMs = this.#clock.getNow();
        await this.#clock.wait(retry.advance(), signal);
      } else {
        retry.reset();
        if (this.#term === null && this.#isVacant()) {
          await this.#acquire();
        }
      }
    }
  }

  /** Renews the ownership while it lasts, until stopped. */
  async runRenewals(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#clock.wait(RENEW_MS, signal);
      if (this.#term !== null && !signal.aborted && this.#isRenewalDue() && !this.#isBusy()) {
        // Not awaited: a silent store must not hold up the next renewal.
        void this.commit(this.#term, [], []);
      }
    }
  }

  /**
   * Commits writes of a term that fail once it is over. Where a renewal is due, it goes with them: all
   * rows of the owner share one part of the store, which takes transactions one by one.
   */
  async commit(
    term: Term,
    conditions: readonly RowCondition[],
    writes: readonly RowWrite[],
  ): Promise<Result<number, TableError>> {
    if (term !== this.#term) {
      const cause = 'the term is over';
      return createError({ kind: TableErrorKind.Unavailable, mayHaveCommitted: false, cause });
    }
    // The owner's row does not change while a term lasts.
    const fence = { table: OWNERSHIP_TABLE, key: OWNER_KEY, version: term.startVersion };
    const renewal = this.#isRenewalDue() ? this.#createRenewal(term) : null;
    const open = { sentAtMs: this.#clock.getNow() };
    this.#open.add(open);
    const reply = await this.#store.commit({
      conditions: [fence, ...conditions],
      writes: [...writes, ...(renewal?.writes ?? [])],
    });
    this.#open.delete(open);
    renewal?.settle(reply);
    if (!reply.ok && reply.error.kind === TableErrorKind.Conflict) {
      const fenced = reply.error.conflicts.find(
        ({ table, key, version }) =>
          table === fence.table && key === fence.key && version !== fence.version,
      );
      if (fenced !== undefined && term === this.#term) {
        this.endTerm('another daemon is the owner');
      } else if (fenced === undefined && renewal !== null) {
        // What else was in the transaction failed, not the ownership: the renewal goes alone.
        this.#renewalSentAtMs = -Infinity;
        void this.commit(term, [], []);
      }
    }
    return reply;
  }

  /** Ends the term at once: another owner was seen. */
  endTerm(reason: string): void {
    const term = this.#term;
    if (term !== null) {
      this.#term = null;
      this.#logger.recordWarning('ownership-lost', { epoch: term.epoch, reason });
      this.#listener.endTerm(reason);
    }
  }

  /** Stops seeking ownership, and lets go of it in good order. */
  async stop(): Promise<void> {
    this.#stopped.abort();
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
    const waitMs = this.#term === null ? this.#getPatienceMs() : OWNERSHIP_WAIT_MS;
    const reply = await this.#store.waitForChanges(
      OWNERSHIP_TABLE,
      version,
      Math.round(waitMs),
      this.#stopped.signal,
    );
    return this.#applyPage(reply.ok ? reply.value : null);
  }

  #applyPage(page: ChangePage | null): number | null {
    page?.rows.forEach((row) => this.#applyRow(row));
    return page?.version ?? null;
  }

  #applyRow({ key, value, version }: Row): void {
    if (key === RENEWAL_KEY && version > this.#renewalVersion) {
      this.#renewalVersion = version;
      this.#renewalSeenAtMs = this.#clock.getNow();
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
  }

  /**
   * The row names this daemon although it has no term: either an earlier life on the same machine,
   * which has ended for certain, or this life after an unclear answer.
   */
  #isOwnRow(): boolean {
    return this.#owner?.name === this.#candidate.name;
  }

  /** Time until this daemon may take over, in ms. */
  #getPatienceMs(): number {
    const delayMs = CANDIDATE_DELAY_MS * (1 - this.#candidate.fitness);
    const waitMs =
      this.#owner === null || this.#owner.isReleased || this.#isOwnRow() ? 0 : LEAST_TAKEOVER_MS;
    const seenForMs = this.#clock.getNow() - this.#renewalSeenAtMs;
    return Math.min(OWNERSHIP_WAIT_MS, Math.max(0, waitMs + delayMs - seenForMs));
  }

  #isVacant(): boolean {
    return this.#getPatienceMs() <= 0;
  }

  async #acquire(): Promise<void> {
    const { name, life, address } = this.#candidate;
    const before = this.#owner;
    const epoch = (before?.epoch ?? 0) + 1;
    const owner: Owner = { name, life, address, epoch, isReleased: false };
    const sentAt = { steadyMs: this.#clock.getNow(), wallMs: this.#clock.getWallTime() };
    const reply = await this.#store.commit({
      conditions: [
        { table: OWNERSHIP_TABLE, key: OWNER_KEY, version: this.#ownerVersion },
        { table: OWNERSHIP_TABLE, key: RENEWAL_KEY, version: this.#renewalVersion },
      ],
      writes: [
        { table: OWNERSHIP_TABLE, key: OWNER_KEY, value: owner },
        { table: OWNERSHIP_TABLE, key: RENEWAL_KEY, value: epoch },
      ],
    });
    if (!reply.ok) {
      // An unclear answer shows in the rows: the watch finds this life as the owner.
      this.#renewalSeenAtMs = this.#clock.getNow();
      this.#logger.recordInfo('ownership-not-acquired', { epoch, reason: reply.error.kind });
      return;
    }
    this.#owner = owner;
    this.#ownerVersion = reply.value;
    this.#renewalVersion = reply.value;
    this.#renewedAt = sentAt;
    this.#renewedVersion = reply.value;
    this.#renewalSentAtMs = sentAt.steadyMs;
    // A machine that owned the fleet before it restarted follows on itself.
    const isHandover = before === null || before.isReleased || before.name === name;
    this.#term = { epoch, startVersion: reply.value, isHandover };
    this.#logger.recordInfo('ownership-acquired', {
      epoch,
      isHandover,
      before: before?.name ?? null,
      version: reply.value,
    });
    this.#listener.startTerm(this.#term);
  }

  #isRenewalDue(): boolean {
    return this.#clock.getNow() - this.#renewalSentAtMs >= RENEW_MS;
  }

  /** A transaction is under way that the store may still answer. */
  #isBusy(): boolean {
    const nowMs = this.#clock.getNow();
    return [...this.#open].some(({ sentAtMs }) => nowMs - sentAtMs < RENEWAL_PATIENCE_MS);
  }

  /** Creates the write that renews the lease, and what to do with the answer. */
  #createRenewal(term: Term): {
    readonly writes: readonly RowWrite[];
    readonly settle: (reply: Result<number, TableError>) => void;
  } {
    const steadyMs = this.#clock.getNow();
    const sentAt = { steadyMs, wallMs: this.#clock.getWallTime() };
    this.#renewalSentAtMs = steadyMs;
    return {
      writes: [{ table: OWNERSHIP_TABLE, key: RENEWAL_KEY, value: term.epoch }],
      settle: (reply) => {
        if (this.#term === term) {
          this.#recordRenewal(sentAt, reply);
        }
      },
    };
  }

  #recordRenewal(
    sentAt: { readonly steadyMs: number; readonly wallMs: number },
    reply: Result<number, TableError>,
  ): void {
    const wasExpired = !this.canAct();
    if (!reply.ok) {
      this.#logger.recordWarning('ownership-not-renewed', {
        leaseAgeMs: Math.round(this.getLeaseAgeMs()),
        reason: reply.error.kind === TableErrorKind.Conflict ? 'conflict' : reply.error.cause,
      });
      return;
    }
    if (sentAt.steadyMs > this.#renewedAt.steadyMs) {
      this.#renewedAt = sentAt;
      this.#renewedVersion = Math.max(this.#renewedVersion, reply.value);
    }
    if (wasExpired) {
      this.#logger.recordInfo('ownership-resumed', { epoch: this.#term?.epoch ?? null });
    }
  }
}
