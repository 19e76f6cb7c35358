import { z } from 'zod';

/** How a team's upper limit is enforced across the entries. */
export enum PermitPolicy {
  /** Each limit is divided evenly among the entries. */
  Static = 'static',
  /** The keeper of each team lends permits to the entries that require them. */
  Keeper = 'keeper',
}

/** How slots are divided among teams when all slots are in use. */
export enum SharePolicy {
  /** Each entry orders its calls by the slot usage of its own calls only. */
  Local = 'local',
  /** Entries exchange usage and demand, and order their calls by the usage across the fleet. */
  Fleet = 'fleet',
}

/** How calls are admitted under overload. */
export enum AdmissionPolicy {
  /** Calls wait until their deadline; the length of the queue is bounded. */
  Deadline = 'deadline',
  /**
   * Calls whose expected wait exceeds a quarter of the time left until their deadline are refused
   * on arrival.
   */
  ExpectedWait = 'expected-wait',
}

/** Policies of a deployment; each has a simple baseline as its alternative. */
export const policiesSchema = z
  .strictObject({
    permits: z.enum(PermitPolicy).default(PermitPolicy.Keeper),
    shares: z.enum(SharePolicy).default(SharePolicy.Fleet),
    admission: z.enum(AdmissionPolicy).default(AdmissionPolicy.ExpectedWait),
  })
  .prefault({});

/** Policies of a deployment. */
export type PolicySettings = z.infer<typeof policiesSchema>;
