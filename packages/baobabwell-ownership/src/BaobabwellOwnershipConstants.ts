/** Table of the owner's rows. */
export const OWNERSHIP_TABLE = 'ownership';

/** Key of the row that names the owner; a new owner always has a new epoch. */
export const OWNER_KEY = 'owner';

/** Key of the row that the owner renews. */
export const RENEWAL_KEY = 'renewal';

/** Time for which an owner may act after a renewal, in ms; it covers two lost renewals. */
export const OWNER_LEASE_MS = 1_500;

/** Interval between renewals, in ms. */
export const RENEWAL_INTERVAL_MS = 350;

/**
 * Time that another daemon waits after the end of the lease before it takes over, in ms. It covers
 * the drift of two clocks over one lease and the delay of a timer.
 */
export const TAKEOVER_MARGIN_MS = 200;

/**
 * Time after a takeover for which the former owner may still start jobs, in ms, counted from the
 * end of its lease. An outage of the store that stops every owner lasts a few seconds. The next
 * owner waits at least as long for hosts that do not answer it.
 */
export const FORMER_OWNER_GRACE_MS = 3_500;

/**
 * Time for which an owner that cannot renew may start jobs accepted before its last renewal, in ms.
 * No daemon takes over within the lease and `TAKEOVER_MARGIN_MS`; the margin is not used here and
 * remains as a reserve for delays.
 */
export const OWNER_GRACE_MS = OWNER_LEASE_MS + FORMER_OWNER_GRACE_MS;

/**
 * Time without an answer after which a renewal no longer waits for the transaction before it, in
 * ms. A slow store processes the owner's transactions one by one, so a renewal waits for the one
 * before it; an unresponsive store must not block all later renewals.
 */
export const RENEWAL_TIMEOUT_MS = 700;

/** Maximum delay of a candidate for its processor, in ms: daemons on larger machines take over first. */
export const MAX_FITNESS_DELAY_MS = 200;

/**
 * Maximum further delay of a candidate for its processor once the store took no write of its takeover, in
 * ms: longer than most outages of the store, so that a small machine is not the first to try after one.
 */
export const MAX_REFUSED_DELAY_MS = 5_000;

/**
 * Maximum delay that spreads candidates on equal machines, in ms. A candidate that is a few round-trip
 * times ahead of the others completes its takeover before they attempt theirs.
 */
export const MAX_SPREAD_DELAY_MS = 250;

/**
 * Maximum number of times that the wait before a takeover doubles, once for each term in a row that ended
 * before its owner had loaded the stored state.
 */
export const MAX_WAIT_DOUBLINGS = 3;

/** Minimum age of a lease at which another daemon takes over, in ms. */
export const MIN_TAKEOVER_MS = OWNER_LEASE_MS + TAKEOVER_MARGIN_MS;

/**
 * Maximum time of one watch for a change of the owner's rows, in ms; longer than a renewal takes.
 */
export const MAX_WATCH_MS = 1_000;

/**
 * Maximum time before a takeover in which the owner's rows are not watched, because the store answers late, in
 * ms. It is shorter than the lease of an owner, so that a watch was answered since its latest renewal was seen.
 */
export const MAX_UNWATCHED_MS = 600;

/**
 * Time for which the transaction of a takeover is waited for before the owner's rows are watched again, and
 * maximum time of one such watch, in ms.
 */
export const ACQUISITION_WATCH_MS = 250;

/** Delay before the first retry after a failed read of the store, in ms. */
export const MIN_RETRY_DELAY_MS = 100;

/**
 * Maximum delay between retries, in ms: every process retries, and they share the rate limits of
 * the store.
 */
export const MAX_RETRY_DELAY_MS = 400;

/** Answer time of the store from which leases on hosts are longer, in ms. */
export const MIN_SLOW_ANSWER_MS = 80;

/**
 * Number of answers of the store by which leases on hosts are longer while it is slow: those for which a
 * takeover waits, from the last renewal that is seen to the stored hosts, and one more.
 */
export const EXTENSION_ANSWERS = 6;

/** Multiple to which the extension of leases is rounded up, in ms: it changes seldom. */
export const EXTENSION_STEP_MS = 100;

/**
 * Time for which renewals name an extension after it was last wanted, in ms: longer than leases on hosts last
 * beyond a takeover, and than a transaction without an answer takes to be carried out.
 */
export const EXTENSION_MEMORY_MS = 20_000;
