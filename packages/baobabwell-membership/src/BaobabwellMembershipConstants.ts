import { START_TTL_MS, TASK_TTL_MS } from '@baobabwell/workers';

/** Time after a fence is in force until nothing that the fenced life started still runs. */
export const FENCE_LEASE_MS = START_TTL_MS + TASK_TTL_MS;

/** Time between two looks at the membership. */
export const MONITOR_INTERVAL_MS = 250;

/** Time between two reads of the heartbeat rows while a member is silent. */
export const ROW_READ_INTERVAL_MS = 1_000;

/** Time for which the report of a peer on whom it cannot reach counts. */
export const REPORT_KEPT_MS = 2_000;

/** Time for which the heartbeat row of a suspected member must stand still before its fence. */
export const ROW_SILENCE_MS = 3_500;

/** Time that each further member waits before it fences, so that they do not race. */
export const FENCE_TURN_MS = 1_000;

/** Time after which a host's absence from the host list proves that it is gone. */
export const HOST_LIST_LAG_MS = 30_000;

/** Time between two reads of the host list while a member is silent. */
export const HOST_LIST_INTERVAL_MS = 2_000;

/** Time between two attempts to join. */
export const JOIN_RETRY_MS = 100;

/** Time for which fences are kept. */
export const FENCE_KEPT_MS = 7 * 24 * 60 * 60 * 1_000;
