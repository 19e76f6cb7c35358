import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

/** Status that a host reports in reply to a probe. */
export type HostStatus = {
  /** Number of tasks that run on the host. */
  readonly running: number;
  /** Token of the last reboot order that the host carried out, or zero. */
  readonly rebootToken: number;
};

/** Reason why a probe or a reboot order failed. */
export type HostControlError =
  | { readonly kind: 'unreachable'; readonly cause: string }
  /** The host has already accepted an order with a higher token. */
  | { readonly kind: 'stale-token' };

/** Probes and reboots the machine on which a worker runs. The methods never reject. */
export abstract class HostControl {
  /** Requests the status of a host; a rebooting host does not answer. */
  abstract probe(host: Host): Promise<Result<HostStatus, HostControlError>>;

  /**
   * Orders a reboot. Repeating a token has no further effect; a lower token is refused.
   *
   * @param token fencing token of the order.
   */
  abstract reboot(host: Host, token: number): Promise<Result<null, HostControlError>>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
