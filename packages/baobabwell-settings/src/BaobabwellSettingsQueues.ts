/** Settings of queues and their service-level objectives. */
import { z } from 'zod';

import { QueueAccess, QueueMode } from '@baobabwell/model';

import { identifierSchema, timeOfDaySchema } from './BaobabwellSettingsStrings';
import { durationSchema, percentageSchema } from './BaobabwellSettingsUnits';

const DEFAULT_OBJECTIVE_WINDOW_MS = 30 * 86_400_000;

/** The minimum fraction of calls to answer within a latency, measured over a window. */
const objectiveSchema = z.strictObject({
  success: percentageSchema.refine((success) => success < 1, {
    error: 'leaves no error budget',
    params: { allowed: 'less than 100%' },
  }),
  latency: durationSchema,
  window: durationSchema.default(DEFAULT_OBJECTIVE_WINDOW_MS),
});

const windowSchema = z
  .strictObject({ opens: timeOfDaySchema, closes: timeOfDaySchema })
  .refine(({ opens, closes }) => opens !== closes, {
    error: 'has the same opening and closing time',
    params: { allowed: 'two different times of day' },
  });

/** A queue: its target, which teams may call it, and when its work runs. */
export const queueSchema = z.strictObject({
  id: identifierSchema,
  target: identifierSchema,
  access: z.enum(QueueAccess).default(QueueAccess.Teams),
  teams: z.array(identifierSchema).default([]),
  mode: z.enum(QueueMode).default(QueueMode.Immediate),
  deadline: durationSchema,
  window: windowSchema.nullable().default(null),
  objective: objectiveSchema.nullable().default(null),
});

/** The service-level objective of a queue; durations in milliseconds, success as a fraction. */
export type Objective = z.infer<typeof objectiveSchema>;
