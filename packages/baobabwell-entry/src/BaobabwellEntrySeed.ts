import { createHash } from 'node:crypto';

/** Computes the seed of a random source from a text that differs for each process. */
export function buildSeed(text: string): number {
  return createHash('sha256').update(text).digest().readInt32LE();
}
