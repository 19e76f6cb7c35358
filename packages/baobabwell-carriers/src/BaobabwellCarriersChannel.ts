import type {
  CarriedOrder,
  CarriedResult,
  ExchangeReply,
  OrderExchange,
} from './BaobabwellCarriersModel';
import type { OpenOrder } from './BaobabwellCarriersOrders';
import type { CancelTimer, Clock, ClockReading } from '@baobabwell/utils';

import { OrderRefusal } from '@baobabwell/platform';
import { addTime, createError } from '@baobabwell/utils';

import {
  EXCHANGE_TIMEOUT_MS,
  MAX_CARRIER_FAULTS,
  MAX_CLOCK_AGE_MS,
  MAX_CLOCK_DRIFT,
  MAX_MESSAGE_ORDERS,
  ORDER_GATHERING_MS,
  START_VALIDITY_MS,
} from './BaobabwellCarriersConstants';
import { ExchangeAnswer } from './BaobabwellCarriersModel';

/** Why a carrier gets no more orders for now. */
export enum CarrierLoss {
  Unanswered = 'unanswered',
  Gap = 'gap',
  Fenced = 'fenced',
  OtherIncarnation = 'other-incarnation',
  /** Hosts were silent for the carrier that answer this process. */
  SilentHosts = 'silent-hosts',
}

/** Starts the timeout of an answer; time in which this process could not have read it does not count. */
export type StartResponseTimer = (timeoutMs: number, handleTimeout: () => void) => CancelTimer;

type ChannelOptions = {
  readonly clock: Clock;
  readonly epoch: number;
  readonly number: number;
  readonly send: (message: OrderExchange) => Promise<ExchangeReply | null>;
  readonly startResponseTimer: StartResponseTimer;
  /** Returns the time for which the owner's lease lasts, in ms. */
  readonly getLeaseLeftMs: () => number;
  readonly recordExchange: (answer: string) => void;
  /** Called once, when the carrier is lost. */
  readonly handleLoss: (loss: CarrierLoss) => void;
};

/** A moment that the clocks of a carrier had reached at a monotonic time of this process. */
type KnownClock = { readonly clock: ClockReading; readonly readAtMs: number };

/** Returns a moment that the clocks of a carrier have reached since, whichever of both runs slower. */
function estimateClock({ clock, readAtMs }: KnownClock, nowMs: number): ClockReading {
  return addTime(clock, (nowMs - readAtMs) * (1 - MAX_CLOCK_DRIFT));
}

/** Merges an estimate and a reply, which is handled late by a busy process: each is a lower bound. */
function mergeClocks(estimate: ClockReading, reply: ClockReading): ClockReading {
  return {
    monotonicMs: Math.max(estimate.monotonicMs, reply.monotonicMs),
    wallMs: Math.max(estimate.wallMs, reply.wallMs),
  };
}

/** Gives the orders of one epoch to one carrier, with one message under way at a time. */
export class CarrierChannel {
  readonly #options: ChannelOptions;

  #pending: OpenOrder[] = [];

  readonly #sent = new Map<number, OpenOrder>();

  #abortedIds: number[] = [];

  #known: KnownClock | null = null;

  #incarnation: string | null = null;

  #sequence = 0;

  #lastId = 0;

  #faultCount = 0;

  #isRunning = false;

  #isClosed = false;

  constructor(options: ChannelOptions) {
    this.#options = options;
  }

  get epoch(): number {
    return this.#options.epoch;
  }

  /** Returns true while the clock of the carrier is known, until it is lost. */
  canCarry(): boolean {
    return !this.#isClosed && this.#findKnownClock() !== null;
  }

  /** Learns the clock of the carrier, by a message without orders, if it has not been heard lately. */
  refresh(): void {
    const known = this.#known;
    const { clock } = this.#options;
    if (known === null || clock.getNow() - known.readAtMs > MAX_CLOCK_AGE_MS / 2) {
      void this.#run();
    }
  }

  /** Has an order carried; it is settled in any case. */
  add(order: OpenOrder): void {
    this.#pending.push(order);
    void this.#run();
  }

  /** Has a carrier abort a hold call, whose result no longer counts. */
  abort(order: OpenOrder): void {
    const id = [...this.#sent].find(([, sent]) => sent === order)?.[0];
    if (id !== undefined) {
      this.#sent.delete(id);
      this.#abortedIds.push(id);
      void this.#run();
    }
  }

  /** Ends the channel: what is open is sent directly. */
  close(): void {
    this.#isClosed = true;
    const pending = this.#pending;
    const sent = [...this.#sent.values()];
    this.#pending = [];
    this.#sent.clear();
    pending.forEach((order) => {
      void order.settleUnsent();
    });
    sent.forEach((order) => {
      void order.settleUnknown();
    });
  }

  /** Ends the channel with the term of its callers, which no longer use any result. */
  abandon(): void {
    this.#isClosed = true;
    this.#settleAll(OrderRefusal.Unanswered, 'the term has ended');
  }

  async #run(): Promise<void> {
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    do {
      await this.#options.clock.wait(ORDER_GATHERING_MS);
      if (!this.#isClosed) {
        await this.#exchange();
      }
    } while (!this.#isClosed && this.#hasWork());
    this.#isRunning = false;
    if (this.#isClosed) {
      this.close();
    }
  }

  #hasWork(): boolean {
    return this.#pending.length > 0 || this.#sent.size > 0 || this.#abortedIds.length > 0;
  }

  async #exchange(): Promise<void> {
    const { epoch, number } = this.#options;
    this.#sequence += 1;
    const orders = this.#takeOrders();
    const abortedIds = this.#abortedIds;
    this.#abortedIds = [];
    const message = { epoch, channel: number, sequence: this.#sequence, orders, abortedIds };
    const reply = await this.#send(message);
    if (this.#isClosed) {
      return;
    }
    this.#options.recordExchange(reply?.answer ?? CarrierLoss.Unanswered);
    if (reply === null) {
      this.#lose(CarrierLoss.Unanswered);
    } else if (reply.answer === ExchangeAnswer.Fenced) {
      this.#handleFence();
    } else if (reply.answer === ExchangeAnswer.Gap) {
      this.#lose(CarrierLoss.Gap);
    } else if (this.#incarnation !== null && reply.incarnation !== this.#incarnation) {
      this.#lose(CarrierLoss.OtherIncarnation);
    } else {
      this.#incarnation = reply.incarnation;
      this.#updateClock(reply.clock);
      reply.results.forEach((result) => this.#applyResult(result));
    }
  }

  async #send(message: OrderExchange): Promise<ExchangeReply | null> {
    return new Promise((resolve) => {
      const cancel = this.#options.startResponseTimer(EXCHANGE_TIMEOUT_MS, () => resolve(null));
      void this.#options.send(message).then((reply) => {
        cancel();
        resolve(reply);
      });
    });
  }

  /** Takes the orders for the next message; none while the clock of the carrier is not known. */
  #takeOrders(): CarriedOrder[] {
    const { clock } = this.#options;
    const known = this.#findKnownClock();
    if (known === null) {
      return [];
    }
    const pending = this.#pending.slice(0, MAX_MESSAGE_ORDERS);
    this.#pending = this.#pending.slice(MAX_MESSAGE_ORDERS);
    return pending.flatMap((order) => {
      // Before the permission is asked: the order is valid for a time from then.
      const askedAtMs = clock.getNow();
      if (order.isSettled) {
        return [];
      }
      if (!order.isAllowed()) {
        const cause = 'not allowed';
        order.settle(createError({ kind: OrderRefusal.NotSent, clockMs: null, cause }));
        return [];
      }
      if (this.#options.getLeaseLeftMs() < START_VALIDITY_MS) {
        void order.settleUnsent();
        return [];
      }
      this.#lastId += 1;
      this.#sent.set(this.#lastId, order);
      const validUntil = addTime(estimateClock(known, askedAtMs), order.validityMs);
      return [order.createCarried(this.#lastId, validUntil)];
    });
  }

  #updateClock(reply: ClockReading): void {
    const readAtMs = this.#options.clock.getNow();
    const known = this.#known;
    const clock = known === null ? reply : mergeClocks(estimateClock(known, readAtMs), reply);
    this.#known = { clock, readAtMs };
  }

  #findKnownClock(): KnownClock | null {
    const known = this.#known;
    const isRecent =
      known !== null && this.#options.clock.getNow() - known.readAtMs <= MAX_CLOCK_AGE_MS;
    return isRecent ? known : null;
  }

  #applyResult({ id, result }: CarriedResult): void {
    const order = this.#sent.get(id);
    if (order === undefined) {
      return;
    }
    this.#sent.delete(id);
    void this.#settle(order, result);
  }

  async #settle(order: OpenOrder, result: CarriedResult['result']): Promise<void> {
    const isFault = await order.settleCarried(result);
    this.#faultCount += isFault ? 1 : 0;
    if (isFault && this.#faultCount >= MAX_CARRIER_FAULTS) {
      this.#lose(CarrierLoss.SilentHosts);
    }
  }

  /** A later owner has given orders to the carrier: the callers end their term. */
  #handleFence(): void {
    this.#settleAll(OrderRefusal.Fenced, 'the carrier has received orders of a later owner');
    this.#lose(CarrierLoss.Fenced);
  }

  #settleAll(kind: OrderRefusal, cause: string): void {
    const open = [...this.#pending, ...this.#sent.values()];
    this.#pending = [];
    this.#sent.clear();
    open
      .filter(({ isSettled }) => !isSettled)
      .forEach((order) => order.settle(createError({ kind, clockMs: null, cause })));
  }

  #lose(loss: CarrierLoss): void {
    if (!this.#isClosed) {
      this.close();
      this.#options.handleLoss(loss);
    }
  }
}
