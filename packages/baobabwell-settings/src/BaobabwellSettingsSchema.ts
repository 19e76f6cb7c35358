/** The settings of a whole deployment; each section has a module of its own. */
import { z } from 'zod';

import { entrySchema, logSchema, peersSchema } from './BaobabwellSettingsEntries';
import { platformSchema } from './BaobabwellSettingsPlatform';
import { policiesSchema } from './BaobabwellSettingsPolicies';
import { poolSchema, targetSchema } from './BaobabwellSettingsPools';
import { queueSchema } from './BaobabwellSettingsQueues';
import {
  keySchema,
  operatorSchema,
  organisationSchema,
  teamSchema,
} from './BaobabwellSettingsTeams';
import { identifierSchema } from './BaobabwellSettingsText';
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

/** The settings of a whole deployment. */
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

/** The settings of a whole deployment; durations in milliseconds, memory in gigabytes. */
export type Settings = z.infer<typeof settingsSchema>;

/** The settings of one entry. */
export type EntrySettings = Settings['entries'][number];

/** The fleet with which an empty log begins. */
export type FleetSettings = Settings['fleet'];
