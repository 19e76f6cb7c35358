import type { KeyedCall } from './BaobabwellIdempotency';
import type { JsonValue, Row } from '@baobabwell/platform';

import { createHash } from 'node:crypto';
import { z } from 'zod';

import { Outcome } from '@baobabwell/model';

/** State of the work behind an idempotency key. */
export enum ClaimState {
  Claimed = 'claimed',
  Ended = 'ended',
}

const answerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Base64, or `null` when the body is in the object store. */
  body: z.string().nullable(),
  object: z.string().nullable(),
});

const claimSchema = z.object({
  /** Distinguishes each write from all others. */
  writeId: z.string(),
  state: z.enum(ClaimState),
  team: z.string(),
  fingerprint: z.string(),
  /** Key of the entry and incarnation that dispatches the work. */
  owner: z.string(),
  /** Wall-clock milliseconds. */
  deadlineAt: z.number(),
  /** Wall-clock milliseconds after which the row may be removed. */
  expiresAt: z.number(),
  result: z
    .object({ outcome: z.enum(Outcome), reason: z.string(), answer: answerSchema.nullable() })
    .nullable(),
});

/** Claim of an idempotency key, as stored in its row. */
export type Claim = z.infer<typeof claimSchema>;

/** Stored answer, with its body in the row or in the object store. */
export type StoredAnswer = z.infer<typeof answerSchema>;

/** Claim with the version of its row. */
export type VersionedClaim = { readonly claim: Claim; readonly version: number };

/** Computes the row key of an idempotency key. */
export function buildRowKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('base64url');
}

/** Parses the claim in a row; returns `null` when the row does not exist. */
export function parseClaim(row: Row | null): VersionedClaim | null {
  const { value, version } = row ?? { value: null, version: 0 };
  return value === null ? null : { claim: claimSchema.parse(value), version };
}

/** Formats a claim as the value of a row. */
export function formatClaim(claim: Claim): JsonValue {
  return claim;
}

/** Returns whether a claim was made by the same request. */
export function isSameRequest(claim: Claim, { team, fingerprint }: KeyedCall): boolean {
  return claim.team === team && claim.fingerprint === fingerprint;
}
