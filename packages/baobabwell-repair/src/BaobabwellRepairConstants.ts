/** Score at which a host counts as failed. */
export const FAILED_SCORE = 3;

/** Score of a host that answers no probe. */
export const UNREACHABLE_SCORE = 2;

/** Score of a host that the host list does not show. */
export const UNLISTED_SCORE = 2;

/** Score of a host whose tasks all fail here. */
export const BAD_RESULTS_SCORE = 2;

/** Score added once what is wrong with a host has lasted for {@link LONG_FAULT_MS}. */
export const LONG_FAULT_SCORE = 1;

/** Time that a fault must last before it counts. */
export const SHORT_FAULT_MS = 5_000;

/** Time after which one kind of evidence is enough. */
export const LONG_FAULT_MS = 30_000;

/** Fraction of the fleet that may look failed before this entry's own sight is doubted. */
export const DOUBT_FRACTION = 0.5;

/** Time after which nothing runs on a failed host any more: no entry starts work, leases lapse. */
export const FAILED_SETTLE_MS = 15_000;

/** Time that a failed host must answer before it is rebooted. */
export const RECOVERY_MS = 10_000;

/** Time between two attempts to bring a failed host back. */
export const RECOVERY_RETRY_MS = 600_000;

/** Mark of hosts that self-repair took out. */
export const REPAIR_REASON = 'self-repair';

/** Gap between two looks after which what was seen before is forgotten. */
export const MEMORY_MS = 5_000;
