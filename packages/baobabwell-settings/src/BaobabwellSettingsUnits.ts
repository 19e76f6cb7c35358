import { z } from 'zod';

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/;
const MEMORY = /^(\d+(?:\.\d+)?)(GB|TB)$/;
const GB_PER_TB = 1_024;

/** A text that must match a pattern; `allowed` is what a finding tells the reader to write. */
export function createPattern(pattern: RegExp, problem: string, allowed: string): z.ZodString {
  return z.string().refine((text) => pattern.test(text), { error: problem, params: { allowed } });
}

/** Parses a duration such as `800ms` into milliseconds, or `null` when it is not one. */
export function parseDuration(text: string): number | null {
  const [, amount, unit] = DURATION.exec(text) ?? [];
  return amount === undefined ? null : Number(amount) * (MS_PER_UNIT[unit ?? 'ms'] ?? 1);
}

/** A duration such as `800ms`, `2s` or `1.5h`; parsed into milliseconds. */
export const durationSchema = createPattern(
  DURATION,
  'is not a duration',
  '800ms, 2s, 5m, 1.5h, 7d',
).transform((text) => parseDuration(text) ?? 0);

/** An amount of memory such as `64GB`; parsed into gigabytes. */
export const memorySchema = createPattern(
  MEMORY,
  'is not an amount of memory',
  '64GB, 1TB',
).transform((text) => {
  const [, amount = '0', unit = 'GB'] = MEMORY.exec(text) ?? [];
  return Number(amount) * (unit === 'TB' ? GB_PER_TB : 1);
});
