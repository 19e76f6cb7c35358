/** Settings of the entries, of the secret shared between them, and of the log. */
import { z } from 'zod';

import { addressSchema, identifierSchema } from './BaobabwellSettingsStrings';

const MIN_SECRET_CHARACTERS = 16;

/** One entry process and the addresses on which it listens. */
export const entrySchema = z.strictObject({
  id: identifierSchema,
  dataCentre: identifierSchema,
  callers: addressSchema,
  operators: addressSchema,
  peers: addressSchema,
});

/**
 * The secret with which entries authenticate to each other, given inline or in a separate file.
 * With a file, the parsed secret is empty until `parseSettings` sets it.
 */
export const peersSchema = z
  .strictObject({
    secret: z.string().min(MIN_SECRET_CHARACTERS).optional(),
    secretFile: z.string().min(1).optional(),
  })
  .refine(({ secret, secretFile }) => (secret === undefined) !== (secretFile === undefined), {
    error: 'requires exactly one of secret and secretFile',
    params: {
      allowed: `a secret of ${MIN_SECRET_CHARACTERS} characters or more, or a file that contains it`,
    },
  })
  .transform(({ secret }) => ({ secret: secret ?? '' }));

/** The log level. */
export const logSchema = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
