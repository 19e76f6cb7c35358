import type { KeptResult, KeyedCall, KeyedResult } from './BaobabwellIdempotency';
import type { AnswerStore } from './BaobabwellIdempotencyAnswers';
import type { GroupCommit } from './BaobabwellIdempotencyGroupCommit';
import type { Claim, VersionedClaim } from './BaobabwellIdempotencyRows';
import type { TableService } from '@baobabwell/platform';
import type { Clock, Random } from '@baobabwell/utils';

import { Outcome } from '@baobabwell/model';

import {
  CLAIM_TABLE,
  CLAIM_TIMEOUT_MS,
  FENCE_MS,
  FIRST_POLL_MS,
  LONGEST_POLL_MS,
  MAX_UNSTORED,
  RETENTION_MS,
  SETTLE_SLACK_MS,
  STORE_RETRY_MS,
} from './BaobabwellIdempotencyConstants';
import { buildRowKey, ClaimState, isSameRequest, parseClaim } from './BaobabwellIdempotencyRows';

/** Reason of a result that is unknown because its entry is gone or never told the end. */
export const OWNER_LOST = 'owner-lost';

/** What the registry works with. */
export type IdempotencyParts = {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TableService;
  readonly answers: AnswerStore;
  readonly commits: GroupCommit;
  /** This entry and its incarnation. */
  readonly owner: string;
  /** True while an entry with its incarnation is a member of the fleet. */
  readonly isMember: (owner: string) => boolean;
};

/** A request with its key that this entry is dealing with. */
type LocalCall = {
  readonly call: KeyedCall;
  readonly ended: Promise<KeptResult | null>;
};

type Claimed =
  | { readonly kind: 'claimed'; readonly claim: Claim; readonly version: number }
  | { readonly kind: 'taken'; readonly current: VersionedClaim | null }
  | { readonly kind: 'unavailable' };

/** Runs the work of each idempotency key at most once, whichever entries its requests reach. */
export class IdempotencyRegistry {
  readonly #parts: IdempotencyParts;

  readonly #local = new Map<string, LocalCall>();

  /** When an owner was first seen to be no member. */
  readonly #goneSince = new Map<string, number>();

  #writes = 0;

  #unstored = 0;

  constructor(parts: IdempotencyParts) {
    this.#parts = parts;
  }

  /** Number of outcomes and withdrawn claims that are not stored yet. */
  getUnstoredCount(): number {
    return this.#unstored;
  }

  /**
   * Runs `execute` if no other request with the key did.
   *
   * @param execute dispatches the work and gives its result; a result that is not run frees the
   *   key. Must not reject.
   */
  async run(
    call: KeyedCall,
    execute: () => Promise<KeptResult>,
    signal: AbortSignal,
  ): Promise<KeyedResult> {
    const rowKey = buildRowKey(call.key);
    for (;;) {
      const local = this.#local.get(rowKey);
      if (local === undefined) {
        return this.#lead(rowKey, call, execute, signal);
      }
      const ended = await this.#waitForLocal(local, call, signal);
      if (ended !== null) {
        return ended;
      }
    }
  }

  /** Waits for a request with the same key at this entry; `null` when it left no result. */
  async #waitForLocal(
    local: LocalCall,
    call: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedResult | null> {
    const { clock } = this.#parts;
    const expired = new AbortController();
    const timeout = clock
      .wait(
        Math.max(0, call.deadlineAt - clock.getNow()),
        AbortSignal.any([signal, expired.signal]),
      )
      .then(() => 'timeout' as const);
    const ended = await Promise.race([local.ended, timeout]);
    expired.abort();
    if (ended === 'timeout') {
      return { kind: 'in-progress' };
    }
    return ended === null ? null : this.#buildKept(local.call, call, ended);
  }

  #buildKept(first: KeyedCall, call: KeyedCall, result: KeptResult): KeyedResult {
    if (first.team !== call.team) {
      return { kind: 'other-team' };
    }
    return first.fingerprint === call.fingerprint
      ? { kind: 'kept', result }
      : { kind: 'other-request' };
  }

  async #lead(
    rowKey: string,
    call: KeyedCall,
    execute: () => Promise<KeptResult>,
    signal: AbortSignal,
  ): Promise<KeyedResult> {
    let end = (_result: KeptResult | null): void => {};
    const ended = new Promise<KeptResult | null>((resolve) => {
      end = resolve;
    });
    this.#local.set(rowKey, { call, ended });
    let stored: Promise<void> = Promise.resolve();
    try {
      const claimed = await this.#acquire(rowKey, call, signal);
      if (!('claim' in claimed)) {
        return claimed;
      }
      const result = await execute();
      const isKept = result.outcome !== Outcome.NotRun;
      if (isKept) {
        end(result);
      }
      this.#unstored += 1;
      stored = isKept ? this.#store(rowKey, claimed, result) : this.#withdraw(rowKey, claimed);
      void stored.then(() => {
        this.#unstored -= 1;
      });
      return { kind: 'executed' };
    } finally {
      void stored.then(() => {
        this.#local.delete(rowKey);
        // Those who wait go on only now: they would find this call again before.
        end(null);
      });
    }
  }

  /** Claims the key, waiting while another entry holds it. */
  async #acquire(
    rowKey: string,
    call: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedResult | VersionedClaim> {
    const { clock } = this.#parts;
    let expectedVersion = 0;
    let pollMs = FIRST_POLL_MS;
    for (;;) {
      const claimed = await this.#claim(rowKey, call, expectedVersion);
      if (claimed.kind === 'claimed') {
        return claimed;
      }
      if (claimed.kind === 'unavailable') {
        return { kind: 'unavailable' };
      }
      let { current } = claimed;
      while (current !== null) {
        const told = await this.#tell(rowKey, call, current);
        if (told !== null) {
          return told;
        }
        if (this.#mayTakeOver(call, current.claim)) {
          break;
        }
        if (signal.aborted || clock.getNow() + pollMs >= call.deadlineAt) {
          return { kind: 'in-progress' };
        }
        await clock.wait(pollMs * (0.5 + this.#parts.random.getFraction()), signal);
        pollMs = Math.min(LONGEST_POLL_MS, pollMs * 2);
        const read = await this.#parts.tables.read(CLAIM_TABLE, rowKey);
        current = read.ok ? parseClaim(read.value) : current;
      }
      expectedVersion = current?.version ?? 0;
    }
  }

  /** What a claim by another request tells, or `null` when it has not ended. */
  async #tell(
    rowKey: string,
    call: KeyedCall,
    { claim, version }: VersionedClaim,
  ): Promise<KeyedResult | null> {
    if (!isSameRequest(claim, call)) {
      return { kind: claim.team === call.team ? 'other-request' : 'other-team' };
    }
    if (claim.result !== null) {
      const result = await this.#parts.answers.get(claim.result);
      return result === null ? { kind: 'unreadable' } : { kind: 'kept', result };
    }
    if (!this.#isAbandoned(claim) || call.isRepeatable) {
      return null;
    }
    const result = { outcome: Outcome.Unknown, reason: OWNER_LOST, answer: null };
    const settled = this.#buildEnded(claim, result);
    const write = { rowKey, claim: settled, expectedVersion: version };
    const written = await this.#parts.commits.write(write, CLAIM_TIMEOUT_MS);
    return written.kind === 'committed' ? { kind: 'kept', result } : null;
  }

  #mayTakeOver(call: KeyedCall, claim: Claim): boolean {
    return call.isRepeatable && this.#isAbandoned(claim);
  }

  /** True when the owner of a claim can no longer be running its work. */
  #isAbandoned({ owner, deadlineAt }: Claim): boolean {
    const { clock, isMember } = this.#parts;
    if (clock.getWallTime() > deadlineAt + SETTLE_SLACK_MS) {
      return true;
    }
    if (isMember(owner)) {
      this.#goneSince.delete(owner);
      return false;
    }
    const goneSince = this.#goneSince.get(owner) ?? clock.getNow();
    this.#goneSince.set(owner, goneSince);
    return clock.getNow() - goneSince >= FENCE_MS;
  }

  async #claim(rowKey: string, call: KeyedCall, expectedVersion: number): Promise<Claimed> {
    const { clock, commits } = this.#parts;
    const claim = this.#buildClaim(call);
    const timeoutMs = Math.min(CLAIM_TIMEOUT_MS, call.deadlineAt - clock.getNow());
    const written = await commits.write({ rowKey, claim, expectedVersion }, timeoutMs);
    switch (written.kind) {
      case 'committed':
        return { kind: 'claimed', claim, version: written.version };
      case 'conflict':
        return { kind: 'taken', current: written.current };
      case 'unavailable':
        return { kind: 'unavailable' };
      case 'unclear':
        void written.settled.then(async (settled) => {
          if (settled.kind === 'committed') {
            await this.#withdraw(rowKey, { claim, version: settled.version });
          }
        });
        return { kind: 'unavailable' };
    }
  }

  #buildClaim({ team, fingerprint, deadlineAt }: KeyedCall): Claim {
    const { clock, owner } = this.#parts;
    const deadline = clock.getWallTime() + deadlineAt - clock.getNow();
    return {
      writeId: this.#createWriteId(),
      state: ClaimState.Claimed,
      team,
      fingerprint,
      owner,
      deadlineAt: deadline,
      expiresAt: deadline + RETENTION_MS,
      result: null,
    };
  }

  #buildEnded(claim: Claim, result: Claim['result']): Claim {
    const expiresAt = this.#parts.clock.getWallTime() + RETENTION_MS;
    const writeId = this.#createWriteId();
    return { ...claim, writeId, state: ClaimState.Ended, expiresAt, result };
  }

  #createWriteId(): string {
    this.#writes += 1;
    return `${this.#parts.owner}.${this.#writes}`;
  }

  /** Stores an outcome, however long the services are down. */
  async #store(
    rowKey: string,
    { claim, version }: VersionedClaim,
    kept: KeptResult,
  ): Promise<void> {
    if (this.#unstored > MAX_UNSTORED) {
      return;
    }
    const result = await this.#putAnswer(claim.writeId, kept);
    let expectedVersion = version;
    while (expectedVersion > 0) {
      const ended = this.#buildEnded(claim, result);
      expectedVersion = await this.#writeUntilSettled(rowKey, ended, expectedVersion);
    }
  }

  async #putAnswer(name: string, kept: KeptResult): Promise<Claim['result']> {
    for (;;) {
      const result = await this.#parts.answers.put(name, kept);
      if (result !== null) {
        return result;
      }
      await this.#parts.clock.wait(STORE_RETRY_MS);
    }
  }

  /** Gives the key back, so that a repeat may run. */
  async #withdraw(rowKey: string, { version }: VersionedClaim): Promise<void> {
    await this.#writeUntilSettled(rowKey, null, version);
  }

  /**
   * Writes a row until it is known whether that took effect.
   *
   * @returns zero, or the version of a row that another entry settled meanwhile as unknown and
   *   that the true outcome may replace.
   */
  async #writeUntilSettled(
    rowKey: string,
    claim: Claim | null,
    expectedVersion: number,
  ): Promise<number> {
    for (;;) {
      const bounded = await this.#parts.commits.write(
        { rowKey, claim, expectedVersion },
        CLAIM_TIMEOUT_MS,
      );
      const written = bounded.kind === 'unclear' ? await bounded.settled : bounded;
      if (written.kind === 'committed') {
        return 0;
      }
      if (written.kind === 'conflict') {
        const current = written.current?.claim;
        return claim !== null && current?.result?.reason === OWNER_LOST
          ? (written.current?.version ?? 0)
          : 0;
      }
      await this.#parts.clock.wait(STORE_RETRY_MS);
    }
  }
}
