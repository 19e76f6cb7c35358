import { createHash } from 'node:crypto';

const UINT32_RANGE = 2 ** 32;

/** Returns a fraction from 0 to 1 that differs between candidates and from takeover to takeover. */
export function getSpread(name: string, ownerVersion: number): number {
  return (
    createHash('sha256').update(`${name} ${ownerVersion}`).digest().readUInt32BE() / UINT32_RANGE
  );
}
