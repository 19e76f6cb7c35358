/** Window over which the load of the owner is measured, in ms. */
export const LOAD_WINDOW_MS = 500;

/** Share of a window for which the owner ran code from which its orders are carried. */
export const MIN_CARRIED_LOAD = 0.6;

/** Share below which they are sent directly again. */
export const MAX_DIRECT_LOAD = 0.35;

/** Shortest time for which orders are carried, in ms. */
export const MIN_CARRIAGE_MS = 3_000;

/** Window over which orders and their hosts are counted, in ms; longer than a hold call waits. */
export const ORDER_WINDOW_MS = 2_000;

/** Interval between two choices of the carriers, in ms. */
export const CHOICE_INTERVAL_MS = 100;

/** Number of hosts with calls from which their orders are carried. */
export const MIN_CARRIED_HOSTS = 16;

/** Number of orders per second for each carrier: more take it longer than they are valid. */
export const ORDERS_PER_CARRIER = 100;

export const MAX_CARRIERS = 8;

/** Time after its permission was asked until which a start may be written to its host, in ms. */
export const START_VALIDITY_MS = 200;

/** The same for stops and hold calls, which grant nothing more when they are late, in ms. */
export const VALIDITY_MS = 1_000;

/** Age of the last reply up to which the clock of a carrier is known well enough, in ms. */
export const MAX_CLOCK_AGE_MS = 1_000;

/** Largest fraction by which the clock of a carrier may run slower than that of the owner. */
export const MAX_CLOCK_DRIFT = 0.02;

/** Time for which a carrier gathers results before it answers, in ms. */
export const GATHERING_MS = 35;

/** Number of results at which a carrier answers at once. */
export const MAX_GATHERED_RESULTS = 40;

/** Time for which the owner gathers orders before each message, in ms. */
export const ORDER_GATHERING_MS = 2;

/** Maximum number of orders in a message; peers refuse messages beyond a size. */
export const MAX_MESSAGE_ORDERS = 100;

/** Maximum length of what a carried start brings to its host, in characters. */
export const MAX_CARRIED_LENGTH = 4_000;

/** Time after which a carrier that has not answered counts as lost, in ms. */
export const EXCHANGE_TIMEOUT_MS = 400;

/** Time for which a lost carrier gets no orders, in ms. */
export const CARRIER_BACKOFF_MS = 5_000;

/** Number of hosts that were silent for a carrier but answer the owner from which it counts as lost. */
export const MAX_CARRIER_FAULTS = 3;
