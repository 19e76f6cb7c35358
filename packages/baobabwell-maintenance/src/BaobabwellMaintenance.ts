import type { Mutation } from '@baobabwell/model';

/** Observations about the availability of a host that are not stored in the view. */
export type HostEvidence = {
  /** Whether the host list of the platform contains the host, or `null` if unknown. */
  readonly isListed: boolean | null;
  /** Whether the host answers probes, or `null` if it was not probed yet. */
  readonly isReachable: boolean | null;
  /** Number of tasks that ran on the host at the last successful probe, or `null` if unknown. */
  readonly running: number | null;
};

/** Returns the current evidence about a host. */
export type GetHostEvidence = (host: string) => HostEvidence;

/** Reason why a change to a host, wave or split is refused. */
export type MaintenanceRefusal = {
  readonly code: 'not-found' | 'conflict' | 'not-allowed';
  readonly message: string;
};

/** The mutations of an accepted change, and notes about it for the operator. */
export type MaintenanceDecision = {
  readonly mutations: readonly Mutation[];
  readonly notes: readonly string[];
};

/** Evidence about a host that was not observed yet. */
export const NO_EVIDENCE: HostEvidence = {
  isListed: null,
  isReachable: null,
  running: null,
};
