import type { Work } from './BaobabwellDeferred';
import type { JsonValue } from '@baobabwell/platform';

import { z } from 'zod';

import { Outcome, PriorityClass } from '@baobabwell/model';

import { WorkState } from './BaobabwellDeferred';

const storedBodySchema = z.object({ inline: z.string().nullable(), object: z.string().nullable() });

const workSchema = z.object({
  id: z.string(),
  queue: z.string(),
  team: z.string(),
  contentType: z.string(),
  body: storedBodySchema,
  digest: z.string(),
  priority: z.enum(PriorityClass),
  isRepeatable: z.boolean(),
  acceptedAt: z.number(),
  deadlineAt: z.number(),
  notBefore: z.number(),
  state: z.enum(WorkState),
  owner: z.string().nullable(),
  attempts: z.number().int(),
  isCancelRequested: z.boolean(),
  endedAt: z.number().nullable(),
  result: z
    .object({
      outcome: z.enum(Outcome),
      reason: z.string(),
      status: z.number().int().nullable(),
      contentType: z.string().nullable(),
      body: storedBodySchema.nullable(),
    })
    .nullable(),
});

/** Parses a row of the work table; returns `null` for a removed row. */
export function parseWork(value: JsonValue): Work | null {
  return value === null ? null : workSchema.parse(value);
}

/** Formats a work item as a row of the work table. */
export function formatWork(work: Work): JsonValue {
  return work as unknown as JsonValue;
}
