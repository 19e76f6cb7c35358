import type { Resources } from '@baobabwell/jobs';
import type { Result } from '@baobabwell/utils';

/** State of a machine in the cloud interface. */
export enum CloudHostState {
  Up = 'up',
  Moving = 'moving',
  Maintenance = 'upkeep',
  Down = 'down',
}

/** One machine, independent of the incarnation of the worker that runs on it. */
export type CloudHost = {
  readonly machine: string;
  readonly pool: string;
  readonly state: CloudHostState;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Incarnation of the worker on the machine; `null` if no worker runs on it. */
  readonly hostId: string | null;
};

/** Machine of an order to the cloud interface, and the lease holder and epoch under which it is sent. */
export type CloudOrder = {
  readonly machine: string;
  readonly holder: string;
  readonly epoch: number;
  /** Returns false once the lease no longer allows the order; asked at the moment at which it is sent. */
  readonly isAllowed: () => boolean;
};

/** Reason why the cloud interface did not confirm a call. */
export enum CloudRefusal {
  Fenced = 'fenced',
  /** The machine is not up, or is leaving. */
  Busy = 'busy',
  /** The machine is not part of the maintenance wave. */
  NotInWave = 'not-in-wave',
  BadOrder = 'bad-order',
  /** The call had no effect: too many calls, or the interface is unavailable. */
  Unavailable = 'unavailable',
  /** No answer arrived: the order may have been executed. */
  Unanswered = 'unanswered',
}

/** Failure of an order or a query. */
export type CloudError = { readonly kind: CloudRefusal; readonly cause: string };

/** Cloud interface that lists machines, moves them between pools and maintains them. Its promises never reject. */
export abstract class CloudControl {
  /** Lists all machines. */
  abstract list(): Promise<Result<readonly CloudHost[], CloudError>>;

  /** Moves a machine to another pool; all runs on it end immediately. */
  abstract move(order: CloudOrder, pool: string): Promise<Result<null, CloudError>>;

  /** Starts the maintenance of a machine in a wave; all runs on it end immediately. */
  abstract startMaintenance(order: CloudOrder, wave: number): Promise<Result<null, CloudError>>;
}
