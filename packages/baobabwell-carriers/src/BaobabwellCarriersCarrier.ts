import type { CarriedOrder, ExchangeReply, OrderExchange } from './BaobabwellCarriersModel';
import type { HostOrders, HostReport, OrderError } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { OrderRefusal } from '@baobabwell/platform';
import { createError, getElapsedMs, readClocks, WakeSignal } from '@baobabwell/utils';

import { GATHERING_MS, MAX_GATHERED_RESULTS } from './BaobabwellCarriersConstants';
import { CarriedKind, ExchangeAnswer } from './BaobabwellCarriersModel';

type CarrierResult = Result<number | HostReport, OrderError>;

/** What a carrier knows of the channel of an owner. */
type ServedChannel = {
  readonly epoch: number;
  readonly channel: number;
  sequence: number;
  isAnswering: boolean;
  readonly openIds: Set<number>;
  readonly holdAborts: Map<number, AbortController>;
  results: { readonly id: number; readonly result: CarrierResult }[];
  readonly wakeSignal: WakeSignal;
  readonly closed: AbortController;
};

function createNotSent(cause: string): CarrierResult {
  return createError({ kind: OrderRefusal.NotSent, clockMs: null, cause });
}

/** Sends the orders of an owner in another process to the hosts, and returns their results. */
export class OrderCarrier {
  readonly #clock: Clock;

  readonly #orders: HostOrders;

  readonly #incarnation: string;

  #highestEpoch = 0;

  #served: ServedChannel | null = null;

  constructor(options: {
    readonly clock: Clock;
    /** Sends orders directly. */
    readonly orders: HostOrders;
    readonly incarnation: string;
  }) {
    this.#clock = options.clock;
    this.#orders = options.orders;
    this.#incarnation = options.incarnation;
  }

  /** Carries out the orders of a message without waiting for them; answers after a short time with what has finished. */
  async exchange(message: OrderExchange): Promise<ExchangeReply> {
    if (message.epoch < this.#highestEpoch) {
      return this.#createReply(ExchangeAnswer.Fenced);
    }
    this.#highestEpoch = message.epoch;
    const served = this.#findChannel(message);
    if (served === null) {
      return this.#createReply(ExchangeAnswer.Gap);
    }
    served.sequence = message.sequence;
    served.isAnswering = true;
    message.abortedIds.forEach((id) => served.holdAborts.get(id)?.abort());
    message.orders.forEach((order) => {
      served.openIds.add(order.id);
      void this.#carry(served, order);
    });
    await this.#gather(served);
    served.isAnswering = false;
    const { results } = served;
    served.results = [];
    return { ...this.#createReply(ExchangeAnswer.Accepted), results };
  }

  /** Finds the channel of a message, or opens it; `null` if the message does not follow the last one. */
  #findChannel({ epoch, channel, sequence }: OrderExchange): ServedChannel | null {
    const served = this.#served;
    if (served !== null && channel === served.channel && epoch === served.epoch) {
      return sequence === served.sequence + 1 && !served.isAnswering ? served : null;
    }
    const isLater =
      served === null ||
      epoch > served.epoch ||
      (epoch === served.epoch && channel > served.channel);
    if (!isLater || sequence !== 1) {
      return null;
    }
    served?.closed.abort();
    served?.holdAborts.forEach((abort) => abort.abort());
    served?.wakeSignal.close();
    this.#served = {
      epoch,
      channel,
      sequence: 0,
      isAnswering: false,
      openIds: new Set(),
      holdAborts: new Map(),
      results: [],
      wakeSignal: new WakeSignal(this.#clock),
      closed: new AbortController(),
    };
    return this.#served;
  }

  async #gather({ results, openIds, wakeSignal, closed }: ServedChannel): Promise<void> {
    const untilMs = this.#clock.getNow() + GATHERING_MS;
    let leftMs = GATHERING_MS;
    while (
      leftMs > 0 &&
      openIds.size > 0 &&
      results.length < MAX_GATHERED_RESULTS &&
      !closed.signal.aborted
    ) {
      await wakeSignal.wait(leftMs, closed.signal);
      leftMs = untilMs - this.#clock.getNow();
    }
  }

  async #carry(served: ServedChannel, order: CarriedOrder): Promise<void> {
    const result = await this.#send(served, order);
    served.holdAborts.delete(order.id);
    served.openIds.delete(order.id);
    served.results.push({ id: order.id, result });
    if (served.openIds.size === 0 || served.results.length >= MAX_GATHERED_RESULTS) {
      served.wakeSignal.notify();
    }
  }

  async #send(served: ServedChannel, carried: CarriedOrder): Promise<CarrierResult> {
    const { id, host, validUntil } = carried;
    const { epoch } = carried.order;
    const isFenced = (): boolean => epoch < this.#highestEpoch;
    const isAllowed = (): boolean => !isFenced() && getElapsedMs(this.#clock, validUntil) <= 0;
    if (isFenced()) {
      return createError({
        kind: OrderRefusal.Fenced,
        clockMs: null,
        cause: 'the carrier has received orders of a later owner',
      });
    }
    if (!isAllowed()) {
      return createNotSent('the order arrived too late at its carrier');
    }
    if (carried.kind === CarriedKind.Start) {
      return this.#orders.start(host, { ...carried.order, isAllowed });
    }
    if (carried.kind === CarriedKind.Stop) {
      return this.#orders.stop(host, carried.order);
    }
    const abort = new AbortController();
    served.holdAborts.set(id, abort);
    return this.#orders.hold(host, { ...carried.order, signal: abort.signal });
  }

  #createReply(answer: ExchangeAnswer): ExchangeReply {
    return {
      answer,
      incarnation: this.#incarnation,
      clock: readClocks(this.#clock),
      results: [],
    };
  }
}
