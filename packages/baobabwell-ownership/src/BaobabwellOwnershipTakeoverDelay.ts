import type { Owner } from './BaobabwellOwnershipModel';

import { createHash } from 'node:crypto';

import { MAX_WAIT_DOUBLINGS, MIN_TAKEOVER_MS } from './BaobabwellOwnershipConstants';

const UINT32_RANGE = 2 ** 32;

/** Returns a fraction from 0 to 1 that differs between candidates and from takeover to takeover. */
export function getSpread(name: string, ownerVersion: number): number {
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
