/** Options shared by several commands. */
import type { Options } from 'yargs';

import { parseDuration } from '@baobabwell/settings';

const MAX_PORT = 65_535;
const OPERATOR_SECRET = 'BAOBABWELL_OPERATOR_SECRET';
const CALLER_KEY = 'BAOBABWELL_KEY';

/** The option `--json`, which prints JSON instead of text. */
export const JSON_OPTION = {
  type: 'boolean',
  default: false,
  describe: 'Print JSON',
} as const satisfies Options;

/** The option `--seed`, which makes random choices reproducible. */
export const SEED_OPTION = {
  type: 'number',
  default: 1,
  describe: 'Seed of the random number generator',
  coerce: (value: unknown): number => parseNumber(value, '--seed', { isWhole: true, atLeast: 0 }),
} as const satisfies Options;

/** The option `--address`, the operator address of an entry. */
export const ADDRESS_OPTION = {
  type: 'string',
  default: process.env['BAOBABWELL_ADDRESS'] ?? '127.0.0.1:8100',
  defaultDescription: 'BAOBABWELL_ADDRESS, or 127.0.0.1:8100',
  describe: 'Operator address of any entry, or its https:// URL',
} as const satisfies Options;

/** The option `--ca`, the certificate authority that signed the certificates of entries. */
export const CA_OPTION = {
  type: 'string',
  describe: 'PEM file of the certificate authority for https:// addresses',
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

/** Parses a number from the command line; throws an error with a message for the user. */
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

/** Builds an option that takes a duration and converts it to milliseconds. */
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

/** Returns the operator's secret from the environment; it is never passed on the command line. */
export function getOperatorSecret(): string {
  return process.env[OPERATOR_SECRET] ?? '';
}

/** Returns the caller's key from the environment, or `null` to call without a key. */
export function getCallerKey(): string | null {
  return process.env[CALLER_KEY] ?? null;
}
