/** Options that several commands take. */
import type { Options } from 'yargs';

import { parseDuration } from '@baobabwell/settings';

const MAX_PORT = 65_535;
const OPERATOR_SECRET = 'BAOBABWELL_OPERATOR_SECRET';
const CALLER_KEY = 'BAOBABWELL_KEY';

/** Prints JSON in place of text. */
export const JSON_OPTION = {
  type: 'boolean',
  default: false,
  describe: 'Print JSON',
} as const satisfies Options;

/** Makes random choices repeatable. */
export const SEED_OPTION = {
  type: 'number',
  default: 1,
  describe: 'Seed of random choices',
  coerce: (value: unknown): number => parseNumber(value, '--seed', { isWhole: true, atLeast: 0 }),
} as const satisfies Options;

/** Where operators reach the fleet. */
export const ADDRESS_OPTION = {
  type: 'string',
  default: process.env['BAOBABWELL_ADDRESS'] ?? '127.0.0.1:8100',
  defaultDescription: 'BAOBABWELL_ADDRESS, else 127.0.0.1:8100',
  describe: 'Operator address of any entry, or its https:// URL',
} as const satisfies Options;

/** Certificate authority that signed the certificates of entries. */
export const CA_OPTION = {
  type: 'string',
  describe: 'File with the certificate authority of https:// addresses',
} as const satisfies Options;

/** Bounds of a number on the command line. */
export type NumberBounds = {
  readonly isWhole?: boolean;
  readonly atLeast?: number;
  readonly moreThan?: number;
  readonly atMost?: number;
};

function formatBounds({ isWhole, atLeast, moreThan, atMost }: NumberBounds): string {
  const bounds = [
    ...(atLeast === undefined ? [] : [`at least ${atLeast}`]),
    ...(moreThan === undefined ? [] : [`more than ${moreThan}`]),
    ...(atMost === undefined ? [] : [`at most ${atMost}`]),
  ];
  return [isWhole === true ? 'a whole number' : 'a number', ...bounds].join(', ');
}

/** Checks a number of the command line; throws what the user is to be told. */
export function parseNumber(value: unknown, name: string, bounds: NumberBounds): number {
  const number = Number(value);
  const isValid =
    Number.isFinite(number) &&
    (bounds.isWhole !== true || Number.isInteger(number)) &&
    number >= (bounds.atLeast ?? number) &&
    number > (bounds.moreThan ?? Number.NEGATIVE_INFINITY) &&
    number <= (bounds.atMost ?? number);
  if (!isValid) {
    throw new Error(`${name} takes ${formatBounds(bounds)}`);
  }
  return number;
}

/** Builds an option that takes a number within bounds. */
export function createNumberOption(
  name: string,
  describe: string,
  bounds: NumberBounds,
): { type: 'number'; describe: string; coerce: (value: unknown) => number } {
  return { type: 'number', describe, coerce: (value) => parseNumber(value, `--${name}`, bounds) };
}

/** Builds an option that takes a port. */
export function createPortOption(describe: string): ReturnType<typeof createNumberOption> {
  return createNumberOption('port', describe, { isWhole: true, atLeast: 1, atMost: MAX_PORT });
}

/** Builds an option that takes a duration and gives milliseconds. */
export function createDurationOption(
  name: string,
  describe: string,
  defaultText: string,
): { type: 'string'; default: string; describe: string; coerce: (value: string) => number } {
  return {
    type: 'string',
    default: defaultText,
    describe,
    coerce: (value) => {
      const durationMs = parseDuration(value);
      if (durationMs === null) {
        throw new Error(`--${name} takes a duration such as 800ms or 5s`);
      }
      return durationMs;
    },
  };
}

/** Gets the operator's secret, which is never given on the command line. */
export function getOperatorSecret(): string {
  return process.env[OPERATOR_SECRET] ?? '';
}

/** Gets the key of a caller, or `null` to call without one. */
export function getCallerKey(): string | null {
  return process.env[CALLER_KEY] ?? null;
}
