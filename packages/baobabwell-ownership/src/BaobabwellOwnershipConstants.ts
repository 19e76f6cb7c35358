/** Table of the owner's rows. */
export const OWNERSHIP_TABLE = 'ownership';

/** Row that names the owner; changes hands only with the epoch. */
export const OWNER_KEY = 'owner';

/** Row that the owner renews. */
export const RENEWAL_KEY = 'renewal';

/** Time for which a renewal lets its owner act, in ms; covers two lost renewals. */
export const OWNER_LEASE_MS = 1_500;

/** Pause between renewals, in ms. */
export const RENEW_MS = 350;

/**
 * Time beyond the lease that another daemon waits before it takes over, in ms: the drift of two
 * clocks over one lease, and the delay of a timer.
 */
export const TAKEOVER_MARGIN_MS = 200;

/**
 * Time after a takeover for which the former owner may still start work, in ms: an outage of the store
 * that stops every owner lasts a few seconds. The next owner waits as long for hosts that it cannot ask.
 */
export const FORMER_OWNER_MS = 3_500;

/**
 * Time for which an owner that cannot renew may start work that it knew before, in ms. Nobody takes
 * over within the lease and its margin; the margin is kept back again for delays.
 */
export const OWNER_GRACE_MS = OWNER_LEASE_MS + FORMER_OWNER_MS;

/**
 * Time without an answer after which a renewal no longer waits for the transaction before it, in ms:
 * a slow store takes the owner's transactions one by one, a silent one must not hold up all of them.
 */
export const RENEWAL_PATIENCE_MS = 700;

/** Longest delay by which smaller daemons let larger ones take over first, in ms. */
export const CANDIDATE_DELAY_MS = 150;

/** Least age of a lease at which another daemon takes over, in ms. */
export const LEAST_TAKEOVER_MS = OWNER_LEASE_MS + TAKEOVER_MARGIN_MS;

/** Longest wait for a change of the owner's rows, in ms; longer than a renewal takes. */
export const OWNERSHIP_WAIT_MS = 1_000;

/** Pause before the store is asked again after a first failure, in ms. */
export const RETRY_MS = 100;

/** Longest pause before the store is asked again, in ms: every process asks, and its rates are shared. */
export const MAX_RETRY_MS = 400;
