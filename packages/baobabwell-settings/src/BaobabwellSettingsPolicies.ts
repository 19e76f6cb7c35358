import { z } from 'zod';

/** How a team's upper limit is kept across the entries. */
export enum PermitPolicy {
  /** Each limit is divided evenly among the entries. */
  Static = 'static',
  /** A keeper of each team lends permits to the entries that need them. */
  Keeper = 'keeper',
}

/** How slots are divided among teams when all are taken. */
export enum SharePolicy {
  /** Each entry orders its own calls by the use that it saw itself. */
  Local = 'local',
  /** Entries exchange use and demand, and order their calls by the use of the whole fleet. */
  Fleet = 'fleet',
}

/** How calls are admitted when more come than can be run. */
export enum AdmissionPolicy {
  /** Calls wait until their deadline, as many as fit the queue. */
  Deadline = 'deadline',
  /** Calls that would wait beyond their deadline are refused on arrival. */
  ExpectedWait = 'expected-wait',
}

/** Policies of a deployment, each with a naive alternative. */
export const policiesSchema = z
  .strictObject({
    permits: z.enum(PermitPolicy).default(PermitPolicy.Keeper),
    shares: z.enum(SharePolicy).default(SharePolicy.Fleet),
    admission: z.enum(AdmissionPolicy).default(AdmissionPolicy.ExpectedWait),
  })
  .prefault({});

/** Policies of a deployment. */
export type PolicySettings = z.infer<typeof policiesSchema>;
