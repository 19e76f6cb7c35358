/** Settings of organisations, teams, keys and operators. */
import { z } from 'zod';

import { OperatorRole } from '@baobabwell/model';

import { digestSchema, identifierSchema } from './BaobabwellSettingsStrings';

/** An organisation and its weight relative to other organisations. */
export const organisationSchema = z.strictObject({
  id: identifierSchema,
  share: z.number().positive(),
});

/** A team, its weight within its organisation and its upper limit across the fleet. */
export const teamSchema = z.strictObject({
  id: identifierSchema,
  organisation: identifierSchema,
  share: z.number().positive(),
  limit: z.number().int().positive(),
});

/** A key of a team; only its digest is stored. */
export const keySchema = z.strictObject({
  id: identifierSchema,
  team: identifierSchema,
  digest: digestSchema,
});

/** An operator, identified by the digest of a secret, and the role that determines its permissions. */
export const operatorSchema = z.strictObject({
  id: identifierSchema,
  role: z.enum(OperatorRole),
  digest: digestSchema,
});
