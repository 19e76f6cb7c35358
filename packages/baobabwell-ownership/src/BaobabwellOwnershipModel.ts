import type { ownerRow } from './BaobabwellOwnershipRows';
import type { ClockReading } from '@baobabwell/utils';
import type { z } from 'zod';

/** The daemon that runs the control loops of the fleet, as its row names it. */
export type Owner = z.infer<typeof ownerRow>;

/** The daemon that seeks ownership. */
export type Candidate = {
  readonly name: string;
  readonly incarnation: string;
  readonly address: string;
  /**
   * CPU capacity of the machine relative to that of the largest known machine, 0 to 1; daemons on
   * larger machines take over first.
   */
  readonly fitness: number;
};

/** One period of ownership. */
export type Term = {
  readonly epoch: number;
  /** Version of the store at which the term began; former owners did not see rows written later. */
  readonly startVersion: number;
  /**
   * No other daemon can have acted as the owner just before: the previous owner released its
   * ownership, was this daemon, or did not exist.
   */
  readonly isHandover: boolean;
  /** True if the previous owner released its ownership; it renews leases on hosts for a while then. */
  readonly wasReleased?: boolean;
  /** Time by which leases of former owners on hosts may be longer than usual, in ms; 0 if absent. */
  readonly formerExtensionMs?: number;
};

/** A transaction that makes this daemon the owner, until its outcome is known. */
export type Attempt = {
  readonly owner: Owner;
  readonly before: Owner | null;
  readonly sentAt: ClockReading;
  /** Time at which the first transaction for the same epoch was sent: the store may have kept that one. */
  readonly firstSentAt: ClockReading;
  /** Monotonic time at which the latest renewal of the former owner was seen, in ms. */
  readonly renewalSeenAtMs: number;
  /** Extension of the leases on hosts that the transaction names, in ms. */
  readonly extensionMs: number;
};

/** Receives the start and the end of each term. */
export type TermListener = {
  /** Called when a takeover is sent: what needs no permission can be read while the store does not answer it. */
  readonly prepareTerm?: () => void;
  readonly startTerm: (term: Term) => void;
  readonly endTerm: (reason: string) => void;
  /** Receives the time in which the store confirmed a renewal, in ms. */
  readonly recordRenewal?: (answerMs: number) => void;
};
