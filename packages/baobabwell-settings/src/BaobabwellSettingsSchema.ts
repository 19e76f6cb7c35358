/** Schema of the settings of a deployment; each section is defined in a separate module. */
import { z } from 'zod';

import { entrySchema, logSchema, peersSchema } from './BaobabwellSettingsEntries';
import { platformSchema } from './BaobabwellSettingsPlatform';
import { policiesSchema } from './BaobabwellSettingsPolicies';
import { poolSchema, targetSchema } from './BaobabwellSettingsPools';
import { queueSchema } from './BaobabwellSettingsQueues';
import { identifierSchema } from './BaobabwellSettingsStrings';
import {
  keySchema,
  operatorSchema,
  organisationSchema,
  teamSchema,
} from './BaobabwellSettingsTeams';
import { tlsSchema } from './BaobabwellSettingsTls';

const fleetSchema = z.strictObject({
  organisations: z.array(organisationSchema),
  teams: z.array(teamSchema),
  keys: z.array(keySchema).default([]),
  operators: z.array(operatorSchema),
  pools: z.array(poolSchema),
  targets: z.array(targetSchema),
  queues: z.array(queueSchema),
});

/** Schema of the settings of a deployment. */
export const settingsSchema = z.strictObject({
  name: identifierSchema,
  entries: z.array(entrySchema).min(1),
  platform: platformSchema,
  peers: peersSchema,
  tls: tlsSchema.default({ callers: null, operators: null }),
  log: logSchema.default({ level: 'info' }),
  policies: policiesSchema,
  fleet: fleetSchema,
});

/** The settings of a deployment; durations in milliseconds, memory in gigabytes. */
export type Settings = z.infer<typeof settingsSchema>;

/** The settings of one entry. */
export type EntrySettings = Settings['entries'][number];

/** The initial fleet, which is committed to an empty view log. */
export type FleetSettings = Settings['fleet'];
