/** Parsers and schemas of quantities with a unit. */
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
const PERCENTAGE = /^(\d+(?:\.\d+)?)%$/;
const GB_PER_TB = 1_024;
const PERCENT = 100;

/** Creates a schema of strings that pass a check; findings show `allowed` as the valid values. */
export function createStringSchema(
  isValid: (text: string) => boolean,
  problem: string,
  allowed: string,
): z.ZodCustom<string, string> {
  return z.custom<string>((value) => typeof value === 'string' && isValid(value), {
    error: problem,
    params: { allowed },
  });
}

/** Creates a schema of strings that match a pattern. */
export function createPatternSchema(
  pattern: RegExp,
  problem: string,
  allowed: string,
): z.ZodCustom<string, string> {
  return createStringSchema((text) => pattern.test(text), problem, allowed);
}

/** Parses a duration such as `800ms` into milliseconds; returns `null` when it is invalid. */
export function parseDuration(text: string): number | null {
  const [, amount, unit] = DURATION.exec(text) ?? [];
  return amount === undefined ? null : Number(amount) * (MS_PER_UNIT[unit ?? 'ms'] ?? 1);
}

/** Parses an amount of memory such as `64GB` into gigabytes; returns `null` when it is invalid. */
export function parseMemory(text: string): number | null {
  const [, amount, unit] = MEMORY.exec(text) ?? [];
  return amount === undefined ? null : Number(amount) * (unit === 'TB' ? GB_PER_TB : 1);
}

/** Parses a percentage such as `99.9%` into a fraction; returns `null` when it is invalid. */
export function parsePercentage(text: string): number | null {
  const [, amount] = PERCENTAGE.exec(text) ?? [];
  const percent = Number(amount);
  return amount === undefined || percent > PERCENT ? null : percent / PERCENT;
}

/** A duration such as `800ms`, `2s` or `1.5h`; parsed into milliseconds. */
export const durationSchema = createPatternSchema(
  DURATION,
  'is not a duration with a unit',
  '800ms, 2s, 5m, 1.5h, 7d',
).transform((text) => parseDuration(text) ?? 0);

/** An amount of memory such as `64GB`; parsed into gigabytes. */
export const memorySchema = createPatternSchema(
  MEMORY,
  'is not an amount of memory with a unit',
  '64GB, 1TB',
).transform((text) => parseMemory(text) ?? 0);

/** A percentage such as `99.9%`; parsed into a fraction. */
export const percentageSchema = createStringSchema(
  (text) => parsePercentage(text) !== null,
  'is not a percentage',
  '0% to 100%, such as 99.9%',
).transform((text) => parsePercentage(text) ?? 0);
