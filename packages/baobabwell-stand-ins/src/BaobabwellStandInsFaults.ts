import { z } from 'zod';

/** Faults of the platform's services. */
export const platformFaultsSchema = z.object({
  /** Every operation fails. */
  down: z.boolean().default(false),
  /** Delay before each operation, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Fraction of writes that take effect and are then not answered. */
  loseAnswers: z.number().min(0).max(1).default(0),
});

/** Faults of the platform's services. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Faults of one worker. */
export const workerFaultsSchema = z.object({
  /** Refuses every connection's requests by closing it. */
  down: z.boolean().default(false),
  /** Delay before each answer, in milliseconds. */
  slowMs: z.number().nonnegative().default(0),
  /** Connections stay open and nothing is answered on them. */
  silent: z.boolean().default(false),
  /** Runs the work and closes the connection without an answer. */
  loseAnswers: z.boolean().default(false),
  /** Every task that it starts fails. */
  failAll: z.boolean().default(false),
  /** Answers carry the body of another task. */
  crossAnswers: z.boolean().default(false),
  /** Answers end before their declared length. */
  cutAnswers: z.boolean().default(false),
});

/** Faults of one worker. */
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;

/** No faults of the platform. */
export const NO_PLATFORM_FAULTS: PlatformFaults = platformFaultsSchema.parse({});

/** No faults of a worker. */
export const NO_WORKER_FAULTS: WorkerFaults = workerFaultsSchema.parse({});
