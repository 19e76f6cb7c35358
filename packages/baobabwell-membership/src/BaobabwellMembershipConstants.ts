import { START_TTL_MS, TASK_TTL_MS } from '@baobabwell/workers';

/** Time after a fence is in force until no work of the fenced incarnation still runs. */
export const FENCE_LEASE_MS = START_TTL_MS + TASK_TTL_MS;

/** Interval at which the monitor checks the members. */
export const MONITOR_INTERVAL_MS = 250;

/** Interval at which the monitor reads the heartbeat rows while a member is unreachable. */
export const HEARTBEAT_READ_INTERVAL_MS = 1_000;

/** Time for which a peer's report of the members that it cannot reach is valid. */
export const REPORT_TTL_MS = 2_000;

/** Time without a change of its heartbeat row after which a suspected member may be fenced. */
export const HEARTBEAT_TIMEOUT_MS = 3_500;

/** Additional time that each further member waits before it fences, to avoid concurrent fences. */
export const FENCE_STAGGER_MS = 1_000;

/** Time after which a host's absence from the host list proves that it was removed. */
export const MAX_HOST_LIST_LAG_MS = 30_000;

/** Interval at which the monitor reads the host list while a member is unreachable. */
export const HOST_LIST_READ_INTERVAL_MS = 2_000;

/** Interval between attempts to join. */
export const JOIN_RETRY_INTERVAL_MS = 100;

/** Time for which fences are retained. */
export const FENCE_RETENTION_MS = 7 * 24 * 60 * 60 * 1_000;
