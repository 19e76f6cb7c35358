import { createHash } from 'node:crypto';

/** Builds the seed of a random number generator from a text that is unique to the process. */
export function buildSeed(text: string): number {
  return createHash('sha256').update(text).digest().readInt32LE();
}
