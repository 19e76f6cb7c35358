import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

/** What a host says of itself. */
export type HostStatus = {
  /** Tasks that run on it. */
  readonly running: number;
  /** Token of the last order to reboot that it carried out, zero for none. */
  readonly rebootToken: number;
};

/** Why a host did not answer or obey. */
export type HostControlError =
  | { readonly kind: 'unreachable'; readonly cause: string }
  /** The host has obeyed a later order already. */
  | { readonly kind: 'stale-token' };

/** Asks and orders the machine under a worker. Operations never reject. */
export abstract class HostControl {
  /** Asks a host how it is; a host that reboots does not answer. */
  abstract probe(host: Host): Promise<Result<HostStatus, HostControlError>>;

  /**
   * Orders a reboot. The same token again has no further effect, a lower one is refused.
   *
   * @param token fencing token of the order.
   */
  abstract reboot(host: Host, token: number): Promise<Result<null, HostControlError>>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
