import type { KeyedCall, KeyedResult, RetainedResult } from './BaobabwellIdempotency';
import type { AnswerStore } from './BaobabwellIdempotencyAnswers';
import type { GroupCommit } from './BaobabwellIdempotencyGroupCommit';
import type { Claim, VersionedClaim } from './BaobabwellIdempotencyRows';
import type { TableService } from '@baobabwell/platform';
import type { Clock, Random } from '@baobabwell/utils';

import { Outcome } from '@baobabwell/model';

import {
  CLAIM_TABLE,
  CLAIM_TIMEOUT_MS,
  FENCE_DELAY_MS,
  MAX_POLL_INTERVAL_MS,
  MAX_UNSTORED_OUTCOMES,
  MIN_POLL_INTERVAL_MS,
  OUTCOME_RETENTION_MS,
  RESOLVE_DELAY_MS,
  STORE_RETRY_INTERVAL_MS,
} from './BaobabwellIdempotencyConstants';
import { buildRowKey, ClaimState, isSameRequest, parseClaim } from './BaobabwellIdempotencyRows';

/** Reason of an unknown outcome whose owner has ended or has not stored it. */
export const OWNER_LOST = 'owner-lost';

/** Dependencies of {@link IdempotencyRegistry}. */
export type IdempotencyDependencies = {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TableService;
  readonly answers: AnswerStore;
  readonly commits: GroupCommit;
  /** Key of this entry and its incarnation. */
  readonly owner: string;
  /** Returns whether an entry with its incarnation is a member of the fleet. */
  readonly isMember: (owner: string) => boolean;
};

/** Request with an idempotency key that this entry is processing. */
type LocalCall = {
  readonly call: KeyedCall;
  readonly completion: Promise<RetainedResult | null>;
};

type ClaimAttempt =
  | { readonly kind: 'claimed'; readonly claim: Claim; readonly version: number }
  | { readonly kind: 'taken'; readonly current: VersionedClaim | null }
  | { readonly kind: 'unavailable' };

/** Runs the work of each idempotency key at most once across all entries of the fleet. */
export class IdempotencyRegistry {
  readonly #dependencies: IdempotencyDependencies;

  readonly #localCalls = new Map<string, LocalCall>();

  /** Time at which each owner was first found not to be a member. */
  readonly #nonMemberSince = new Map<string, number>();

  #writeCount = 0;

  #unstoredCount = 0;

  constructor(dependencies: IdempotencyDependencies) {
    this.#dependencies = dependencies;
  }

  /** Returns the number of outcomes and withdrawn claims that are not stored yet. */
  getUnstoredCount(): number {
    return this.#unstoredCount;
  }

  /**
   * Runs `execute` unless another request with the key already ran it.
   *
   * @param execute dispatches the work and returns its result; the outcome `NotRun` releases the
   *   key. Must not reject.
   */
  async run(
    call: KeyedCall,
    execute: () => Promise<RetainedResult>,
    signal: AbortSignal,
  ): Promise<KeyedResult> {
    const rowKey = buildRowKey(call.key);
    for (;;) {
      const local = this.#localCalls.get(rowKey);
      if (local === undefined) {
        return this.#runWithClaim(rowKey, call, execute, signal);
      }
      const ended = await this.#waitForLocal(local, call, signal);
      if (ended !== null) {
        return ended;
      }
    }
  }

  /** Waits for a request with the same key at this entry; returns `null` when it left no result. */
  async #waitForLocal(
    local: LocalCall,
    call: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedResult | null> {
    const { clock } = this.#dependencies;
    const expired = new AbortController();
    const timeout = clock
      .wait(
        Math.max(0, call.deadlineAt - clock.getNow()),
        AbortSignal.any([signal, expired.signal]),
      )
      .then(() => 'timeout' as const);
    const ended = await Promise.race([local.completion, timeout]);
    expired.abort();
    if (ended === 'timeout') {
      return { kind: 'in-progress' };
    }
    return ended === null ? null : this.#buildRepeatResult(local.call, call, ended);
  }

  #buildRepeatResult(first: KeyedCall, call: KeyedCall, result: RetainedResult): KeyedResult {
    if (first.team !== call.team) {
      return { kind: 'other-team' };
    }
    return first.fingerprint === call.fingerprint
      ? { kind: 'kept', result }
      : { kind: 'other-request' };
  }

  async #runWithClaim(
    rowKey: string,
    call: KeyedCall,
    execute: () => Promise<RetainedResult>,
    signal: AbortSignal,
  ): Promise<KeyedResult> {
    let complete = (_result: RetainedResult | null): void => {};
    const completion = new Promise<RetainedResult | null>((resolve) => {
      complete = resolve;
    });
    this.#localCalls.set(rowKey, { call, completion });
    let stored: Promise<void> = Promise.resolve();
    try {
      const claimed = await this.#acquireClaim(rowKey, call, signal);
      if (!('claim' in claimed)) {
        return claimed;
      }
      const result = await execute();
      const isRetained = result.outcome !== Outcome.NotRun;
      if (isRetained) {
        complete(result);
      }
      this.#unstoredCount += 1;
      stored = isRetained
        ? this.#storeOutcome(rowKey, claimed, result)
        : this.#withdraw(rowKey, claimed);
      void stored.then(() => {
        this.#unstoredCount -= 1;
      });
      return { kind: 'executed' };
    } finally {
      void stored.then(() => {
        this.#localCalls.delete(rowKey);
        // Waiting requests resume only after the removal, because they would find this call again.
        complete(null);
      });
    }
  }

  /** Claims the key; waits while another entry holds it. */
  async #acquireClaim(
    rowKey: string,
    call: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedResult | VersionedClaim> {
    const { clock } = this.#dependencies;
    let expectedVersion = 0;
    let pollMs = MIN_POLL_INTERVAL_MS;
    for (;;) {
      const claimed = await this.#writeClaim(rowKey, call, expectedVersion);
      if (claimed.kind === 'claimed') {
        return claimed;
      }
      if (claimed.kind === 'unavailable') {
        return { kind: 'unavailable' };
      }
      let { current } = claimed;
      while (current !== null) {
        const resolved = await this.#resolveClaim(rowKey, call, current);
        if (resolved !== null) {
          return resolved;
        }
        if (this.#canTakeOver(call, current.claim)) {
          break;
        }
        if (signal.aborted || clock.getNow() + pollMs >= call.deadlineAt) {
          return { kind: 'in-progress' };
        }
        await clock.wait(pollMs * (0.5 + this.#dependencies.random.getFraction()), signal);
        pollMs = Math.min(MAX_POLL_INTERVAL_MS, pollMs * 2);
        const read = await this.#dependencies.tables.read(CLAIM_TABLE, rowKey);
        current = read.ok ? parseClaim(read.value) : current;
      }
      expectedVersion = current?.version ?? 0;
    }
  }

  /**
   * Returns the result of a claim by another request, or `null` when it has not ended. An abandoned
   * claim whose work must not be repeated is first resolved as unknown.
   */
  async #resolveClaim(
    rowKey: string,
    call: KeyedCall,
    { claim, version }: VersionedClaim,
  ): Promise<KeyedResult | null> {
    if (!isSameRequest(claim, call)) {
      return { kind: claim.team === call.team ? 'other-request' : 'other-team' };
    }
    if (claim.result !== null) {
      const result = await this.#dependencies.answers.get(claim.result);
      return result === null ? { kind: 'unreadable' } : { kind: 'kept', result };
    }
    if (!this.#isAbandoned(claim) || call.isRepeatable) {
      return null;
    }
    const result = { outcome: Outcome.Unknown, reason: OWNER_LOST, answer: null };
    const resolvedClaim = this.#buildEnded(claim, result);
    const write = { rowKey, claim: resolvedClaim, expectedVersion: version };
    const written = await this.#dependencies.commits.write(write, CLAIM_TIMEOUT_MS);
    return written.kind === 'committed' ? { kind: 'kept', result } : null;
  }

  #canTakeOver(call: KeyedCall, claim: Claim): boolean {
    return call.isRepeatable && this.#isAbandoned(claim);
  }

  /** Returns whether the owner of a claim can no longer be running its work. */
  #isAbandoned({ owner, deadlineAt }: Claim): boolean {
    const { clock, isMember } = this.#dependencies;
    if (clock.getWallTime() > deadlineAt + RESOLVE_DELAY_MS) {
      return true;
    }
    if (isMember(owner)) {
      this.#nonMemberSince.delete(owner);
      return false;
    }
    const nonMemberSince = this.#nonMemberSince.get(owner) ?? clock.getNow();
    this.#nonMemberSince.set(owner, nonMemberSince);
    return clock.getNow() - nonMemberSince >= FENCE_DELAY_MS;
  }

  async #writeClaim(
    rowKey: string,
    call: KeyedCall,
    expectedVersion: number,
  ): Promise<ClaimAttempt> {
    const { clock, commits } = this.#dependencies;
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
      case 'unknown':
        void written.completion.then(async (result) => {
          if (result.kind === 'committed') {
            await this.#withdraw(rowKey, { claim, version: result.version });
          }
        });
        return { kind: 'unavailable' };
    }
  }

  #buildClaim({ team, fingerprint, deadlineAt }: KeyedCall): Claim {
    const { clock, owner } = this.#dependencies;
    const deadline = clock.getWallTime() + deadlineAt - clock.getNow();
    return {
      writeId: this.#createWriteId(),
      state: ClaimState.Claimed,
      team,
      fingerprint,
      owner,
      deadlineAt: deadline,
      expiresAt: deadline + OUTCOME_RETENTION_MS,
      result: null,
    };
  }

  #buildEnded(claim: Claim, result: Claim['result']): Claim {
    const expiresAt = this.#dependencies.clock.getWallTime() + OUTCOME_RETENTION_MS;
    const writeId = this.#createWriteId();
    return { ...claim, writeId, state: ClaimState.Ended, expiresAt, result };
  }

  #createWriteId(): string {
    this.#writeCount += 1;
    return `${this.#dependencies.owner}.${this.#writeCount}`;
  }

  /** Stores an outcome; retries for as long as the store is unavailable. */
  async #storeOutcome(
    rowKey: string,
    { claim, version }: VersionedClaim,
    retained: RetainedResult,
  ): Promise<void> {
    if (this.#unstoredCount > MAX_UNSTORED_OUTCOMES) {
      return;
    }
    const result = await this.#putAnswer(claim.writeId, retained);
    let expectedVersion = version;
    while (expectedVersion > 0) {
      const ended = this.#buildEnded(claim, result);
      expectedVersion = await this.#writeUntilResolved(rowKey, ended, expectedVersion);
    }
  }

  async #putAnswer(name: string, retained: RetainedResult): Promise<Claim['result']> {
    for (;;) {
      const result = await this.#dependencies.answers.put(name, retained);
      if (result !== null) {
        return result;
      }
      await this.#dependencies.clock.wait(STORE_RETRY_INTERVAL_MS);
    }
  }

  /** Removes the claim, so that a repeated request may run. */
  async #withdraw(rowKey: string, { version }: VersionedClaim): Promise<void> {
    await this.#writeUntilResolved(rowKey, null, version);
  }

  /**
   * Writes a row and retries until it is known whether the write took effect.
   *
   * @returns zero, or the version of a row that another entry has meanwhile resolved as unknown and
   *   that the actual outcome may replace.
   */
  async #writeUntilResolved(
    rowKey: string,
    claim: Claim | null,
    expectedVersion: number,
  ): Promise<number> {
    for (;;) {
      const bounded = await this.#dependencies.commits.write(
        { rowKey, claim, expectedVersion },
        CLAIM_TIMEOUT_MS,
      );
      const written = bounded.kind === 'unknown' ? await bounded.completion : bounded;
      if (written.kind === 'committed') {
        return 0;
      }
      if (written.kind === 'conflict') {
        const current = written.current?.claim;
        return claim !== null && current?.result?.reason === OWNER_LOST
          ? (written.current?.version ?? 0)
          : 0;
      }
      await this.#dependencies.clock.wait(STORE_RETRY_INTERVAL_MS);
    }
  }
}
