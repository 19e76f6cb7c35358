import type { RunEnd } from '@baobabwell/jobs';
import type { Result } from '@baobabwell/utils';

/** One incarnation of the worker process on a host. */
export type HostIncarnation = {
  readonly id: string;
  readonly address: string;
};

/** Order to start a run of a task on a host. */
export type StartOrder = {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** End of the lease of all runs on the host, in ms on the host's clock. */
  readonly leaseEndMs: number;
  /** Epoch of the owner; the host refuses orders with a lower epoch than the highest it has received. */
  readonly epoch: number;
  /** Checkpoint to resume from; empty for none. */
  readonly checkpoint: string;
  /** Ticket of the placement advisor; `null` if the queue does not require one. */
  readonly ticket: string | null;
  /** Asked when the order is about to be written, which may be long after it was given. */
  readonly isAllowed: () => boolean;
};

/** Order to stop a run. The host refuses that run and lower ones of the task from then on. */
export type StopOrder = { readonly task: string; readonly run: number; readonly epoch: number };

/** Order to limit the CPU time of a run to a percentage. */
export type CpuLimitOrder = StopOrder & { readonly percent: number };

/** Order to renew the leases of all runs on a host and to report their state. */
export type HoldOrder = {
  readonly epoch: number;
  /** Position up to which the owner has stored the ended runs; the host may discard them. */
  readonly acknowledgedPosition: number;
  /** New end of the lease, in ms on the host's clock; `null` does not renew the lease. */
  readonly leaseEndMs: number | null;
  /** Maximum time for which the host delays its answer until a run ends, in ms. */
  readonly waitMs: number;
  /** Aborts the call, which then counts as unanswered. */
  readonly signal: AbortSignal;
};

/** A run that is active on a host. */
export type ActiveRun = {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly progressPercent: number;
  /** Tail latency of a serving task in ms; for other tasks, CPU use in thousandths of a core. */
  readonly reading: number | null;
};

/** A run that ended on a host. */
export type EndedRun = {
  /** Position in the host's list of ended runs; starts at 1 in each incarnation. */
  readonly position: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
};

/** State of the runs on a host, as the host reports it. */
export type HostReport = {
  /** Time on the host's monotonic clock, in ms. */
  readonly clockMs: number;
  /** Start of this incarnation, in ms since 1970; `null` if the host does not report it. */
  readonly bornMs: number | null;
  readonly active: readonly ActiveRun[];
  /** Ends that were not acknowledged, in the order of their positions. */
  readonly ended: readonly EndedRun[];
  /** True when the report has no room for further ends; a later report contains them. */
  readonly isPartial: boolean;
};

/** Reason why a host did not confirm an order. */
export enum OrderRefusal {
  /** The host has received orders from a later owner. */
  Fenced = 'fenced',
  /** The run, or a later one of the task, has ended or was stopped on the host. */
  Superseded = 'superseded',
  /** The lease in the order had already expired. */
  LeaseExpired = 'late',
  NoCapacity = 'no-room',
  NoTicket = 'no-ticket',
  /** The host cannot process the order. */
  BadOrder = 'bad-order',
  /** The host is unhealthy and did not execute the order. */
  Unhealthy = 'unhealthy',
  /** Another incarnation answers at the address. */
  OtherIncarnation = 'other-life',
  /** The order was not sent, because it was no longer allowed. */
  NotSent = 'not-sent',
  /** Nothing listens at the address of the host, which has not received the order. */
  ConnectionRefused = 'connection-refused',
  /** No answer arrived: the order may have been executed, or may be executed later. */
  Unanswered = 'unanswered',
}

/** Failure of an order; `clockMs` is the host's clock if the host reported it. */
export type OrderError = {
  readonly kind: OrderRefusal;
  readonly clockMs: number | null;
  readonly cause: string;
};

/** Sends orders to hosts. Its promises never reject. */
export abstract class HostOrders {
  /** Starts a run; returns the host's clock in ms. */
  abstract start(host: HostIncarnation, order: StartOrder): Promise<Result<number, OrderError>>;

  /** Stops a run; returns the host's clock in ms. */
  abstract stop(host: HostIncarnation, order: StopOrder): Promise<Result<number, OrderError>>;

  /** Limits the CPU time of a run; returns the host's clock in ms. */
  abstract setCpuLimit(
    host: HostIncarnation,
    order: CpuLimitOrder,
  ): Promise<Result<number, OrderError>>;

  /** Renews the leases on a host and returns the state of its runs. */
  abstract hold(host: HostIncarnation, order: HoldOrder): Promise<Result<HostReport, OrderError>>;
}
