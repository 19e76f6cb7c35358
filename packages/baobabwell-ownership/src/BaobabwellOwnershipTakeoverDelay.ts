import type { Candidate, Owner } from './BaobabwellOwnershipModel';
import type { Clock } from '@baobabwell/utils';

import { createHash } from 'node:crypto';

import {
  MAX_FITNESS_DELAY_MS,
  MAX_REFUSED_DELAY_MS,
  MAX_SPREAD_DELAY_MS,
  MAX_UNWATCHED_MS,
  MAX_WAIT_DOUBLINGS,
  MAX_WATCH_MS,
  MIN_TAKEOVER_MS,
} from './BaobabwellOwnershipConstants';

const UINT32_RANGE = 2 ** 32;

/** Returns a fraction from 0 to 1 that differs between candidates and from takeover to takeover. */
function getSpread(name: string, ownerVersion: number): number {
  return (
    createHash('sha256').update(`${name} ${ownerVersion}`).digest().readUInt32BE() / UINT32_RANGE
  );
}

/**
 * Returns the age of the last renewal at which a daemon takes over from another one, in ms. The wait doubles
 * with each term in a row that was never loaded: where processors are short, a loading owner renews late, and a
 * takeover would only make the next owner start to load anew.
 */
export function getMinTakeoverAgeMs(owner: Owner | null, loadedEpoch: number): number {
  if (owner === null || owner.isReleased) {
    return 0;
  }
  const isLoaded = owner.epoch <= loadedEpoch;
  return MIN_TAKEOVER_MS * 2 ** (isLoaded ? 0 : Math.min(MAX_WAIT_DOUBLINGS, owner.unloadedTerms));
}

/** Returns true if no other daemon can have acted as the owner just before a takeover. */
export function isHandoverBetween(before: Owner | null, owner: Owner): boolean {
  // An owner that restarted on the same machine succeeds itself: no other daemon was the owner.
  const isOwnRestart = before?.name === owner.name && before.life !== owner.life;
  return before === null || before.isReleased || isOwnRestart;
}

/** What a candidate knows of the present owner. */
export type ObservedOwner = {
  readonly owner: Owner | null;
  readonly ownerVersion: number;
  readonly loadedEpoch: number;
  readonly renewalSeenAtMs: number;
};

/** Decides when a candidate takes over, and how long it watches the owner's rows until then. */
export class TakeoverTimer {
  readonly #clock: Clock;

  readonly #candidate: Candidate;

  readonly #getObserved: () => ObservedOwner;

  /** Time by which the store answered the latest watch late, in ms; 0 if that showed changes. */
  #watchLagMs = 0;

  /** True while the store took no write of this daemon's last takeover and has shown no other since. */
  wasRefused = false;

  constructor(clock: Clock, candidate: Candidate, getObserved: () => ObservedOwner) {
    this.#clock = clock;
    this.#candidate = candidate;
    this.#getObserved = getObserved;
  }

  /** Records that the store answered a watch. */
  recordWatch(watch: {
    readonly sentAtMs: number;
    readonly waitMs: number;
    readonly hasChanges: boolean;
  }): void {
    const lagMs = this.#clock.getNow() - watch.sentAtMs - watch.waitMs;
    this.#watchLagMs = watch.hasChanges ? 0 : Math.max(0, lagMs);
  }

  /** Returns how long the next watch of the owner's rows waits for a change, in ms. */
  getWatchMs(): number {
    return Math.min(MAX_WATCH_MS, Math.max(0, this.#getDelayMs() - this.#getUnwatchedMs()));
  }

  /**
   * Returns true once a takeover is due. The last part of the wait is not watched: a takeover fails if the store
   * holds a newer renewal than the one that was seen.
   */
  async waitUntilDue(signal: AbortSignal): Promise<boolean> {
    let delayMs = this.#getDelayMs();
    if (delayMs > this.#getUnwatchedMs()) {
      return false;
    }
    while (delayMs > 0 && !signal.aborted) {
      await this.#clock.wait(Math.ceil(delayMs), signal);
      delayMs = this.#getDelayMs();
    }
    return !signal.aborted;
  }

  /** Returns the time until the takeover, in ms. */
  #getDelayMs(): number {
    const { owner, loadedEpoch, renewalSeenAtMs } = this.#getObserved();
    const isOwnRow = owner?.name === this.#candidate.name;
    const minAgeMs = isOwnRow ? 0 : getMinTakeoverAgeMs(owner, loadedEpoch);
    const ageMs = this.#clock.getNow() - renewalSeenAtMs;
    return Math.max(0, minAgeMs + this.#getCandidateDelayMs() - ageMs);
  }

  /** Returns the time by which the candidate takes over later than the first one may, in ms. */
  #getCandidateDelayMs(): number {
    const { name, fitness } = this.#candidate;
    const maxFitnessDelayMs = MAX_FITNESS_DELAY_MS + (this.wasRefused ? MAX_REFUSED_DELAY_MS : 0);
    return (
      maxFitnessDelayMs * (1 - fitness) +
      MAX_SPREAD_DELAY_MS * getSpread(name, this.#getObserved().ownerVersion)
    );
  }

  /**
   * Returns for how long before its takeover the candidate does not watch, in ms. The later its turn, the longer
   * it watches, so that most candidates see the takeover of an earlier one.
   */
  #getUnwatchedMs(): number {
    const unwatchedMs = Math.max(0, this.#watchLagMs - this.#getCandidateDelayMs());
    return Math.min(MAX_UNWATCHED_MS, unwatchedMs);
  }
}
