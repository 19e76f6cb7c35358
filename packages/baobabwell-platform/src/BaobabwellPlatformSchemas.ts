import type { JsonValue } from './BaobabwellPlatformTable';

import { z } from 'zod';

import { ListedHostState } from './BaobabwellPlatformServices';

const json: z.ZodType<JsonValue> = z.json();

const rowReference = z.object({
  table: z.string(),
  key: z.string(),
  version: z.number().int().nonnegative(),
});

/** Schema of a row in the protocol of the table service. */
export const rowSchema = z.object({
  key: z.string(),
  value: json,
  version: z.number().int().positive(),
});

/** Schema of a transaction request. */
export const transactionSchema = z.object({
  conditions: z.array(rowReference),
  writes: z.array(z.object({ table: z.string(), key: z.string(), value: json })),
});

/** Schema of the answer to a committed transaction. */
export const commitReplySchema = z.object({ version: z.number().int().positive() });

/** Schema of the answer to a transaction whose conditions were not met. */
export const conflictReplySchema = z.object({ conflicts: z.array(rowReference) });

/** Schema of the answer to a read of one row. */
export const readReplySchema = z.object({ row: rowSchema.nullable() });

/** Schema of the answer to a read of the rows after a version. */
export const pageReplySchema = z.object({
  rows: z.array(rowSchema),
  serviceVersion: z.number().int().nonnegative(),
});

/** Schema of the host list. */
export const hostListReplySchema = z.object({
  hosts: z.array(z.object({ id: z.string(), address: z.string(), state: z.enum(ListedHostState) })),
});
