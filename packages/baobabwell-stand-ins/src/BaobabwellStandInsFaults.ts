import { z } from 'zod';

/** Schema of the faults of the platform's services. */
export const platformFaultsSchema = z.object({
  /** Every operation fails. */
  down: z.boolean().default(false),
  /** Delay before each operation, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Fraction of writes that take effect but get no answer. */
  loseAnswers: z.number().min(0).max(1).default(0),
});

/** Faults of the platform's services. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Schema of the faults of one worker. */
export const workerFaultsSchema = z.object({
  /** Closes the connection of every request. */
  down: z.boolean().default(false),
  /** Delay before each answer, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Keeps connections open but sends no answers. */
  silent: z.boolean().default(false),
  /** Runs the task, then closes the connection without an answer. */
  loseAnswers: z.boolean().default(false),
  /** Fails every task after running it. */
  failAll: z.boolean().default(false),
  /** Sends the answer of the previously completed task instead of the task's own. */
  crossAnswers: z.boolean().default(false),
  /** Truncates answers before their declared length. */
  cutAnswers: z.boolean().default(false),
});

/** Faults of one worker. */
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

/** Platform without faults. */
export const NO_PLATFORM_FAULTS: PlatformFaults = platformFaultsSchema.parse({});

/** Worker without faults. */
export const NO_WORKER_FAULTS: WorkerFaults = workerFaultsSchema.parse({});
