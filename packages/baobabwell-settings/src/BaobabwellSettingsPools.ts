/** Settings of pools, their hosts, and the targets that run on them. */
import { z } from 'zod';

import { addressSchema, identifierSchema } from './BaobabwellSettingsStrings';
import { memorySchema } from './BaobabwellSettingsUnits';

const MAX_SLOTS = 64;
const DEFAULT_SLOTS = 8;

const hostSchema = z.strictObject({
  id: identifierSchema,
  rack: identifierSchema,
  dataCentre: identifierSchema,
  address: addressSchema,
  slots: z.number().int().min(1).max(MAX_SLOTS).default(DEFAULT_SLOTS),
  cores: z.number().int().positive(),
  memory: memorySchema,
  accelerators: z.number().int().nonnegative().default(0),
});

/** A pool with its availability budget and its hosts. */
export const poolSchema = z.strictObject({
  id: identifierSchema,
  minimumServing: z.number().int().nonnegative(),
  spare: z.boolean().default(false),
  selfRepair: z.boolean().default(true),
  hosts: z.array(hostSchema).default([]),
});

/** A service of a back end, and the pool whose hosts run it. */
export const targetSchema = z.strictObject({ id: identifierSchema, pool: identifierSchema });
