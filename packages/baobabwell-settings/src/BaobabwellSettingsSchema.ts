import { z } from 'zod';

import { OperatorRole, QueueAccess, QueueMode } from '@baobabwell/model';

import { policiesSchema } from './BaobabwellSettingsPolicies';
import { createPattern, durationSchema, memorySchema } from './BaobabwellSettingsUnits';

const MAX_SLOTS = 64;
const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/;
const IDENTIFIER = /^[a-z0-9][a-z0-9-]*$/;
const TIME_OF_DAY = /^(?:[01]\d|2[0-3]):[0-5]\d$/;
const DIGEST = /^[0-9a-f]{64}$/;

const identifier = createPattern(
  IDENTIFIER,
  'is not an identifier',
  'lower-case letters, digits and hyphens',
);
const address = createPattern(
  ADDRESS,
  'is not an address',
  'an IP number and a port, such as 10.0.0.1:8000',
);
const digest = createPattern(DIGEST, 'is not a digest', '64 hexadecimal digits of SHA-256');
const timeOfDay = createPattern(TIME_OF_DAY, 'is not a time of day', '00:00 to 23:59');

const entry = z.strictObject({
  id: identifier,
  dataCentre: identifier,
  callers: address,
  operators: address,
  peers: address,
});

const host = z.strictObject({
  id: identifier,
  rack: identifier,
  dataCentre: identifier,
  address,
  slots: z.number().int().min(1).max(MAX_SLOTS).default(8),
  cores: z.number().int().positive(),
  memory: memorySchema,
  accelerators: z.number().int().nonnegative().default(0),
});

const pool = z.strictObject({
  id: identifier,
  minimumServing: z.number().int().nonnegative(),
  spare: z.boolean().default(false),
  selfRepair: z.boolean().default(true),
  hosts: z.array(host).default([]),
});

const queue = z.strictObject({
  id: identifier,
  target: identifier,
  access: z.enum(QueueAccess).default(QueueAccess.Teams),
  teams: z.array(identifier).default([]),
  mode: z.enum(QueueMode).default(QueueMode.Immediate),
  deadline: durationSchema,
  window: z.strictObject({ opens: timeOfDay, closes: timeOfDay }).nullable().default(null),
});

const fleet = z.strictObject({
  organisations: z.array(z.strictObject({ id: identifier, share: z.number().positive() })),
  teams: z.array(
    z.strictObject({
      id: identifier,
      organisation: identifier,
      share: z.number().positive(),
      limit: z.number().int().positive(),
    }),
  ),
  keys: z.array(z.strictObject({ id: identifier, team: identifier, digest })).default([]),
  operators: z.array(z.strictObject({ id: identifier, role: z.enum(OperatorRole), digest })),
  pools: z.array(pool),
  targets: z.array(z.strictObject({ id: identifier, pool: identifier })),
  queues: z.array(queue),
});

/** The settings of a whole deployment. */
export const settingsSchema = z.strictObject({
  name: identifier,
  entries: z.array(entry).min(1),
  platform: z.strictObject({
    url: z.url(),
    timeout: durationSchema.default(800),
  }),
  peers: z.strictObject({ secret: z.string().min(16) }),
  log: z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') }),
  policies: policiesSchema,
  fleet,
});

/** The settings of a whole deployment; durations in milliseconds, memory in gigabytes. */
export type Settings = z.infer<typeof settingsSchema>;

/** The settings of one entry. */
export type EntrySettings = Settings['entries'][number];

/** The fleet with which an empty log begins. */
export type FleetSettings = Settings['fleet'];
