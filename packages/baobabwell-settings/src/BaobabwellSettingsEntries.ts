/** Settings of the entries, of their peers' shared secret, and of the log. */
import { z } from 'zod';

import { addressSchema, identifierSchema } from './BaobabwellSettingsText';

const MIN_SECRET_CHARACTERS = 16;

/** One entry process and the addresses at which it listens. */
export const entrySchema = z.strictObject({
  id: identifierSchema,
  dataCentre: identifierSchema,
  callers: addressSchema,
  operators: addressSchema,
  peers: addressSchema,
});

/**
 * The secret that entries show each other, given here or in a file of its own; empty until the
 * file is read.
 */
export const peersSchema = z
  .strictObject({
    secret: z.string().min(MIN_SECRET_CHARACTERS).optional(),
    secretFile: z.string().min(1).optional(),
  })
  .refine(({ secret, secretFile }) => (secret === undefined) !== (secretFile === undefined), {
    error: 'needs exactly one of secret and secretFile',
    params: { allowed: `a secret of ${MIN_SECRET_CHARACTERS} characters or more, or a file of it` },
  })
  .transform(({ secret }) => ({ secret: secret ?? '' }));

/** What is logged. */
export const logSchema = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
