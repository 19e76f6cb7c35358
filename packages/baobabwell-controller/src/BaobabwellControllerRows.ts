import type { JobRecord } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';

import { z } from 'zod';

const resources = z.object({ cpuMillis: z.number(), memoryMb: z.number(), gpus: z.number() });

const step = z.object({
  taskCount: z.number().int().positive(),
  need: resources,
  estimateMs: z.number(),
  after: z.array(z.number().int()),
  keepsCheckpoints: z.boolean(),
  isGang: z.boolean(),
  prefersOneRack: z.boolean(),
  hostLabel: z.string().nullable(),
  dataRack: z.string().nullable(),
  maxPerHost: z.number(),
  isSpeculative: z.boolean(),
  isLasting: z.boolean(),
  image: z.string(),
  tailTargetMs: z.number(),
  isFilling: z.boolean(),
  maxAway: z.number(),
});

const queueSettings = z.object({
  name: z.string(),
  httpHost: z.string(),
  pathPrefix: z.string(),
  pool: z.string(),
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  isOpen: z.boolean(),
  advice: z.object({ validMs: z.number(), decideMs: z.number(), perHostMs: z.number() }).nullable(),
});

const jobRecord = z.object({
  id: z.string(),
  queue: z.string(),
  route: queueSettings.optional(),
  organisation: z.string().nullable(),
  acceptedAtMs: z.number(),
  spec: z.object({
    payload: z.string(),
    steps: z.array(step).min(1),
    repeat: z
      .object({ count: z.number(), firstDueMs: z.number(), intervalMs: z.number() })
      .nullable(),
  }),
});

const hostRow = z.object({
  address: z.string(),
  pool: z.string(),
  bornMs: z.number().nullable(),
});

/** Parses the row of an accepted job; returns `null` when the value does not match. */
export function parseJobRecord(value: JsonValue): JobRecord | null {
  const parsed = jobRecord.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/** Parses the row of a host incarnation that an owner used; returns `null` when it does not match. */
export function parseHostRow(value: JsonValue): z.infer<typeof hostRow> | null {
  const parsed = hostRow.safeParse(value);
  return parsed.success ? parsed.data : null;
}
