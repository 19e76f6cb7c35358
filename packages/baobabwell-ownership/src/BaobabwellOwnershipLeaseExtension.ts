/**
 * A takeover waits for several answers of the store, one after the other. While the store is slow, leases on
 * hosts are therefore longer by a multiple of its answer time. A successor learns from the row of renewals how
 * much longer the leases of former owners may be; a lease is longer only by what every renewal names that the
 * store may show from now on.
 */
import {
  EXTENSION_ANSWERS,
  EXTENSION_MEMORY_MS,
  EXTENSION_STEP_MS,
  MIN_SLOW_ANSWER_MS,
} from './BaobabwellOwnershipConstants';

/** What a renewal without a definite answer names: the store may carry it out late. */
export type NamedExtension = { readonly extensionMs: number; readonly sentAtMs: number };

/** Decides by how much the leases on hosts are longer than usual during one term. */
export class LeaseExtension {
  readonly #maxExtensionMs: number;

  /** The latest two answer times of the store, in ms. */
  #answersMs: readonly number[];

  /** Extensions that leases may still have, each with the monotonic time up to which it is named, in ms. */
  #remembered: readonly { readonly extensionMs: number; readonly untilMs: number }[];

  readonly #undecided = new Set<NamedExtension>();

  /** What the confirmed renewal with the highest version names: the store may carry out others in another order. */
  #confirmed: { readonly extensionMs: number; readonly version: number };

  /**
   * @param acquisition what the acquisition of the term names: the extension of the leases of former owners.
   * @param answerMs time in which the store confirmed it, in ms.
   */
  constructor(maxExtensionMs: number, acquisition: NamedExtension, answerMs: number) {
    this.#maxExtensionMs = maxExtensionMs;
    const { extensionMs, sentAtMs } = acquisition;
    this.#confirmed = { extensionMs, version: 0 };
    this.#remembered = [{ extensionMs, untilMs: sentAtMs + answerMs + EXTENSION_MEMORY_MS }];
    this.#answersMs = [answerMs, answerMs];
  }

  /** Returns by how much a lease that is granted now may be longer than usual, in ms. */
  getExtensionMs(nowMs: number): number {
    const undecidedMs = [...this.#undecided]
      .filter(({ sentAtMs }) => nowMs - sentAtMs < EXTENSION_MEMORY_MS)
      .map(({ extensionMs }) => extensionMs);
    return Math.min(this.#getWantedMs(), this.#confirmed.extensionMs, ...undecidedMs);
  }

  /** Returns what a renewal that is sent now names; its reply is recorded later. */
  nameExtension(nowMs: number): NamedExtension {
    const wanted = { extensionMs: this.#getWantedMs(), untilMs: nowMs + EXTENSION_MEMORY_MS };
    this.#remembered = [
      ...this.#remembered.filter(
        ({ extensionMs, untilMs }) => untilMs > nowMs && extensionMs > wanted.extensionMs,
      ),
      wanted,
    ];
    const extensionMs = Math.max(...this.#remembered.map((remembered) => remembered.extensionMs));
    const named = { extensionMs, sentAtMs: nowMs };
    this.#undecided.add(named);
    return named;
  }

  /** Records that a renewal is stored with a version, and the time in which the store said so, in ms. */
  confirm(named: NamedExtension, version: number, answerMs: number): void {
    this.#undecided.delete(named);
    this.#answersMs = [...this.#answersMs.slice(-1), answerMs];
    if (version > this.#confirmed.version) {
      this.#confirmed = { extensionMs: named.extensionMs, version };
    }
  }

  /** Records that a renewal is not stored and never will be. */
  refute(named: NamedExtension): void {
    this.#undecided.delete(named);
  }

  #getWantedMs(): number {
    const answerMs = Math.min(...this.#answersMs);
    const wantedMs =
      Math.ceil((EXTENSION_ANSWERS * answerMs) / EXTENSION_STEP_MS) * EXTENSION_STEP_MS;
    return answerMs < MIN_SLOW_ANSWER_MS ? 0 : Math.min(wantedMs, this.#maxExtensionMs);
  }
}
