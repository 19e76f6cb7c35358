import type { Candidate, Owner } from './BaobabwellOwnershipModel';

import { createHash } from 'node:crypto';

import {
  MAX_FITNESS_DELAY_MS,
  MAX_REFUSED_DELAY_MS,
  MAX_SPREAD_DELAY_MS,
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

/**
 * Computes the time until a candidate may take over, in ms.
 *
 * @param takeover.minAgeMs age of the last renewal at which the first candidate may, in ms.
 * @param takeover.ageMs present age of that renewal, in ms.
 */
export function computeTakeoverDelayMs(takeover: {
  readonly candidate: Candidate;
  readonly ownerVersion: number;
  readonly wasRefused: boolean;
  readonly minAgeMs: number;
  readonly ageMs: number;
}): number {
  const { candidate, ownerVersion, wasRefused, minAgeMs, ageMs } = takeover;
  const maxFitnessDelayMs = MAX_FITNESS_DELAY_MS + (wasRefused ? MAX_REFUSED_DELAY_MS : 0);
  const delayMs =
    maxFitnessDelayMs * (1 - candidate.fitness) +
    MAX_SPREAD_DELAY_MS * getSpread(candidate.name, ownerVersion);
  return Math.min(MAX_WATCH_MS, Math.max(0, minAgeMs + delayMs - ageMs));
}
