import { START_TTL_MS } from '@baobabwell/workers';

/** Interval between two probes of a host. */
export const PROBE_INTERVAL_MS = 1_000;

/** Timeout of a probe or a reboot order. */
export const HOST_CONTROL_TIMEOUT_MS = 800;

/** Number of consecutive failed probes after which a host counts as unreachable. */
export const UNREACHABLE_PROBE_FAILURES = 2;

/** Interval between two reads of the host list. */
export const HOST_LIST_INTERVAL_MS = 2_000;

/** Age above which the host list is ignored. */
export const HOST_LIST_MAX_AGE_MS = 15_000;

/**
 * Delay after a drain is in force before the host may be marked as drained. After it, work that
 * was dispatched before the drain can no longer start, because the lease under which it was sent
 * allows starts only for {@link START_TTL_MS}.
 */
export const DRAIN_GRACE_MS = START_TTL_MS + 100;

/** Interval between two probes of a host that drains or reboots. */
export const HOST_POLL_INTERVAL_MS = 250;

/** Time without a successful probe after which a draining host is marked as failed. */
export const DRAIN_UNRESPONSIVE_TIMEOUT_MS = 20_000;

/** Time from the reboot order within which the host must answer probes again. */
export const REBOOT_TIMEOUT_MS = 300_000;

/** Number of consecutive successful probes before a rebooted host is returned to service. */
export const MIN_RETURN_PROBES = 2;

/** Delay before a step that was refused or failed is tried again. */
export const STEP_RETRY_DELAY_MS = 1_000;

/** Interval between two iterations of the controller while the view does not change. */
export const CONTROL_INTERVAL_MS = 500;

/** Delay per rank before an entry takes over maintenance, so that entries do not compete. */
export const TAKEOVER_DELAY_PER_RANK_MS = 300;

/** Time after which a wave stops if no host is out of service and none can be taken out. */
export const WAVE_STALL_TIMEOUT_MS = 60_000;

/** State reason of a host that returned from its reboot. It is stored, and waves compare it. */
export const REBOOTED_REASON = 'rebooted and answers';
