import type { Mutation } from '@baobabwell/model';

/** What is known of a host besides the view. */
export type HostEvidence = {
  /** Whether the platform's host list shows it, or `null` when that is not known. */
  readonly isListed: boolean | null;
  /** Whether its last probe succeeded, or `null` when that is not known. */
  readonly isReachable: boolean | null;
  /** Tasks that ran on it at the last answered probe, or `null` when that is not known. */
  readonly running: number | null;
};

/** Gives what is known of a host besides the view. */
export type GetHostEvidence = (host: string) => HostEvidence;

/** Why a host cannot be taken out, moved or returned. */
export type MaintenanceRefusal = {
  readonly code: 'not-found' | 'conflict' | 'not-allowed';
  readonly message: string;
};

/** A decided change and what is told about it. */
export type MaintenanceDecision = {
  readonly mutations: readonly Mutation[];
  readonly notes: readonly string[];
};

/** A host of which nothing is known besides the view. */
export const NO_EVIDENCE: HostEvidence = {
  isListed: null,
  isReachable: null,
  running: null,
};
