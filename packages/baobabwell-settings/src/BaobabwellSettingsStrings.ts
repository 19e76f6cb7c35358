/** Schemas of formatted strings that several sections share. */
import { createPatternSchema, createStringSchema } from './BaobabwellSettingsUnits';

const IDENTIFIER = /^[a-z0-9][a-z0-9-]*$/;
const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const TIME_OF_DAY = /^(?:[01]\d|2[0-3]):[0-5]\d$/;
const DIGEST = /^[0-9a-f]{64}$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** Returns true for an IPv4 address and a port, such as `10.0.0.1:8000`. */
export function isAddress(text: string): boolean {
  const numbers = ADDRESS.exec(text)?.slice(1).map(Number);
  if (numbers === undefined) {
    return false;
  }
  const port = numbers.at(-1) ?? 0;
  return numbers.slice(0, -1).every((octet) => octet <= MAX_OCTET) && port > 0 && port <= MAX_PORT;
}

/** The identifier of an entity. */
export const identifierSchema = createPatternSchema(
  IDENTIFIER,
  'is not an identifier',
  'lower-case letters, digits and hyphens',
);

/** An IPv4 address and a port. */
export const addressSchema = createStringSchema(
  isAddress,
  'is not an address',
  'an IPv4 address and a port, such as 10.0.0.1:8000',
);

/** The SHA-256 digest of a secret. */
export const digestSchema = createPatternSchema(
  DIGEST,
  'is not a digest',
  '64 hexadecimal digits of SHA-256',
);

/** A time of day in UTC. */
export const timeOfDaySchema = createPatternSchema(
  TIME_OF_DAY,
  'is not a time of day',
  '00:00 to 23:59, in UTC',
);
