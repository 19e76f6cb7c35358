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
  /** Base64, or `null` when the body is an object. */
  body: z.string().nullable(),
  object: z.string().nullable(),
});

const claimSchema = z.object({
  /** Distinguishes each write from all others. */
  writeId: z.string(),
  state: z.enum(ClaimState),
  team: z.string(),
  fingerprint: z.string(),
  /** Entry and incarnation that dispatches the work. */
  owner: z.string(),
  /** Wall-clock milliseconds. */
  deadlineAt: z.number(),
  /** Wall-clock milliseconds after which the row may be removed. */
  expiresAt: z.number(),
  result: z
    .object({ outcome: z.enum(Outcome), reason: z.string(), answer: answerSchema.nullable() })
    .nullable(),
});

/** What a row says of an idempotency key. */
export type Claim = z.infer<typeof claimSchema>;

/** A stored answer, with its body in the row or in an object. */
export type StoredAnswer = z.infer<typeof answerSchema>;

/** A claim with the version at which it stands. */
export type VersionedClaim = { readonly claim: Claim; readonly version: number };

/** Computes the row key of an idempotency key. */
export function buildRowKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('base64url');
}

/** Reads a claim from its row; `null` when the row is absent. */
export function parseClaim(row: Row | null): VersionedClaim | null {
  const { value, version } = row ?? { value: null, version: 0 };
  return value === null ? null : { claim: claimSchema.parse(value), version };
}

/** Writes a claim as the value of a row. */
export function formatClaim(claim: Claim): JsonValue {
  return claim;
}

/** True when a claim was made by the same request. */
export function isSameRequest(claim: Claim, { team, fingerprint }: KeyedCall): boolean {
  return claim.team === team && claim.fingerprint === fingerprint;
}
