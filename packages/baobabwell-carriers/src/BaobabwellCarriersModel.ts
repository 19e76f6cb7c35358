import type {
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { ClockReading, Result } from '@baobabwell/utils';

export enum CarriedKind {
  Start = 'start',
  Stop = 'stop',
  Hold = 'hold',
}

type CarriedBase = {
  /** Number of the order in its channel. */
  readonly id: number;
  readonly host: HostIncarnation;
  /** Moment on the carrier's clocks until which the order may be written to the host. */
  readonly validUntil: ClockReading;
};

export type CarriedOrder = CarriedBase &
  (
    | { readonly kind: CarriedKind.Start; readonly order: Omit<StartOrder, 'isAllowed'> }
    | { readonly kind: CarriedKind.Stop; readonly order: StopOrder }
    | { readonly kind: CarriedKind.Hold; readonly order: Omit<HoldOrder, 'signal'> }
  );

/** Orders of the owner to a carrier. */
export type OrderExchange = {
  /** Epoch of the owner, and of all orders of the channel. */
  readonly epoch: number;
  /** Number of the channel; a later one of the same or a higher epoch replaces it. */
  readonly channel: number;
  /** Number of the message in the channel; starts at 1. */
  readonly sequence: number;
  readonly orders: readonly CarriedOrder[];
  /** Hold calls that are to be aborted. */
  readonly abortedIds: readonly number[];
};

export type CarriedResult = {
  readonly id: number;
  /** The host's clock in ms, or the report of a hold call. */
  readonly result: Result<number | HostReport, OrderError>;
};

export enum ExchangeAnswer {
  Accepted = 'accepted',
  /** The carrier has received messages of a later owner. */
  Fenced = 'fenced',
  /** The message does not follow the last one of its channel; none of its orders is carried out. */
  Gap = 'gap',
}

/** Answer of a carrier, with all results since its last one. */
export type ExchangeReply = {
  readonly answer: ExchangeAnswer;
  readonly incarnation: string;
  readonly clock: ClockReading;
  readonly results: readonly CarriedResult[];
};

/** Reaches carriers. */
export abstract class CarrierLink {
  /** Sends a message to the process at an address; `null` if it was not answered. Never rejects. */
  abstract exchange(address: string, message: OrderExchange): Promise<ExchangeReply | null>;
}

/** Tells how busy this process is. */
export abstract class LoadSource {
  /** Returns the time for which this process has run code so far, in ms. */
  abstract getActiveMs(): number;
}
