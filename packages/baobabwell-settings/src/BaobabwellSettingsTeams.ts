/** Settings of organisations, teams, keys and operators. */
import { z } from 'zod';

import { OperatorRole } from '@baobabwell/model';

import { digestSchema, identifierSchema } from './BaobabwellSettingsText';

/** An organisation and its weight against others. */
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

/** A key of a team, known by its digest only. */
export const keySchema = z.strictObject({
  id: identifierSchema,
  team: identifierSchema,
  digest: digestSchema,
});

/** Someone who may ask and order, known by the digest of a secret. */
export const operatorSchema = z.strictObject({
  id: identifierSchema,
  role: z.enum(OperatorRole),
  digest: digestSchema,
});
