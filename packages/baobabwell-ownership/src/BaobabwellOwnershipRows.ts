import type { JsonValue, TableError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { z } from 'zod';

import { TableErrorKind } from '@baobabwell/platform';

/** The row that names the owner. */
export const ownerRow = z.object({
  name: z.string(),
  /** Distinguishes the incarnations of one daemon. */
  life: z.string(),
  address: z.string(),
  epoch: z.number().int(),
  isReleased: z.boolean(),
  /** Number of terms in a row before this one that ended before their state was loaded. */
  unloadedTerms: z.number().int().default(0),
});

/** The row that the owner renews. */
export const renewalRow = z.object({
  epoch: z.number().int(),
  isLoaded: z.boolean(),
  /** Time by which leases on hosts may be longer than usual, in ms. */
  leaseExtensionMs: z.number().default(0),
});

/** Creates the row that an owner renews; it names an extension of leases only if there is one. */
export function createRenewalRow(
  epoch: number,
  isLoaded: boolean,
  leaseExtensionMs: number,
): JsonValue {
  return leaseExtensionMs > 0 ? { epoch, isLoaded, leaseExtensionMs } : { epoch, isLoaded };
}

/** Returns true unless a transaction was not carried out and never will be. */
export function mayBeStored(reply: Result<number, TableError>): boolean {
  return (
    reply.ok || (reply.error.kind === TableErrorKind.Unavailable && reply.error.mayHaveCommitted)
  );
}
