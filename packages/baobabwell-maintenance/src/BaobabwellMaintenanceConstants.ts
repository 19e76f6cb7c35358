import { START_TTL_MS } from '@baobabwell/workers';

/** Time between two probes of one host. */
export const PROBE_INTERVAL_MS = 1_000;

/** Longest time that a probe or an order to a host may take. */
export const CONTROL_TIMEOUT_MS = 800;

/** Probes that must fail in a row before a host counts as unreachable. */
export const PROBE_FAILURES = 2;

/** Time between two reads of the host list. */
export const HOST_LIST_INTERVAL_MS = 2_000;

/** Age above which the host list says nothing. */
export const HOST_LIST_MAX_AGE_MS = 15_000;

/**
 * Time after a drain is in force until nothing that was dispatched before can begin on the host:
 * the lease under which it was sent has lapsed for new work.
 */
export const DRAIN_SETTLE_MS = START_TTL_MS + 100;

/** Time between two looks at a host that drains or reboots. */
export const HOST_POLL_MS = 250;

/** Time without an answer after which a draining host counts as failed. */
export const HOST_LOST_MS = 20_000;

/** Longest time from the order to reboot until the host answers again. */
export const REBOOT_LIMIT_MS = 300_000;

/** Probes that must succeed in a row before a host is returned. */
export const RETURN_PROBES = 2;

/** Time between two attempts to take a step that the fleet does not allow yet. */
export const STEP_RETRY_MS = 1_000;

/** Time between two looks at the work of the controller when nothing changes. */
export const CONTROL_INTERVAL_MS = 500;

/** Delay of each later entry before it takes over the controller's work. */
export const TAKE_OVER_DELAY_MS = 300;

/** Time without any possible step after which a wave stops itself. */
export const WAVE_STALL_MS = 60_000;

/** Reason of the state of a host that came back from its reboot. */
export const REBOOTED_REASON = 'rebooted and answers';
