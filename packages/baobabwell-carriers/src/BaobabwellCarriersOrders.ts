import type { CarriedOrder } from './BaobabwellCarriersModel';
import type {
  HoldOrder,
  HostIncarnation,
  HostOrders,
  HostReport,
  OrderError,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { ClockReading, Result } from '@baobabwell/utils';

import { OrderRefusal } from '@baobabwell/platform';
import { createError } from '@baobabwell/utils';

import { START_VALIDITY_MS, VALIDITY_MS } from './BaobabwellCarriersConstants';
import { CarriedKind } from './BaobabwellCarriersModel';

/** The host's clock in ms, or the report of a hold call. */
export type OrderReply = Result<number | HostReport, OrderError>;

/** An order that is to be carried, from its caller's view. */
export abstract class OpenOrder {
  protected readonly host: HostIncarnation;

  /** Sends orders directly. */
  protected readonly direct: HostOrders;

  #settle: (reply: OrderReply) => void = () => undefined;

  #isSettled = false;

  readonly reply: Promise<OrderReply>;

  constructor(host: HostIncarnation, direct: HostOrders) {
    this.host = host;
    this.direct = direct;
    this.reply = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  abstract readonly epoch: number;

  /** Time after the check of its permission for which the order may be written to its host, in ms. */
  abstract readonly validityMs: number;

  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** Returns false for an order that must not be sent any more. */
  isAllowed(): boolean {
    return !this.#isSettled;
  }

  abstract createCarried(id: number, validUntil: ClockReading): CarriedOrder;

  /** Sends the order directly: no carrier can carry it out. */
  abstract sendDirectly(): Promise<OrderReply>;

  /**
   * Sends the order directly although a carrier may carry it out, or has. Its result is conclusive in any
   * case.
   */
  abstract repeatDirectly(): Promise<OrderReply>;

  /** Returns true when the caller is no longer interested. */
  abstract isAborted(): boolean;

  settle(reply: OrderReply): void {
    this.#isSettled = true;
    this.#settle(reply);
  }

  /** Settles an order that did not reach its host; returns true if the host answered a direct one. */
  async settleUnsent(): Promise<boolean> {
    if (this.#isSettled) {
      return false;
    }
    const reply = await this.sendDirectly();
    this.settle(reply);
    return reply.ok;
  }

  /** Settles an order whose outcome is unknown; returns true if its host answered a direct one. */
  async settleUnknown(): Promise<boolean> {
    if (this.#isSettled) {
      return false;
    }
    const reply = await this.repeatDirectly();
    this.settle(reply);
    return reply.ok;
  }

  /**
   * Settles an order by the result that a carrier returned; returns true if its host was silent for the
   * carrier and answers this process.
   */
  async settleCarried(result: OrderReply): Promise<boolean> {
    const refusal = result.ok || this.isAborted() ? null : result.error.kind;
    switch (refusal) {
      case OrderRefusal.NotSent:
        await this.settleUnsent();
        return false;
      case OrderRefusal.ConnectionRefused:
        return this.settleUnsent();
      case OrderRefusal.Unanswered:
        return this.settleUnknown();
      default:
        this.settle(result);
        return false;
    }
  }
}

export class OpenStart extends OpenOrder {
  readonly validityMs = START_VALIDITY_MS;

  readonly #order: StartOrder;

  constructor(host: HostIncarnation, direct: HostOrders, order: StartOrder) {
    super(host, direct);
    this.#order = order;
  }

  get epoch(): number {
    return this.#order.epoch;
  }

  override isAllowed(): boolean {
    return super.isAllowed() && this.#order.isAllowed();
  }

  override createCarried(id: number, validUntil: ClockReading): CarriedOrder {
    const { isAllowed, ...order } = this.#order;
    return { kind: CarriedKind.Start, id, host: this.host, validUntil, order };
  }

  override async sendDirectly(): Promise<Result<number, OrderError>> {
    return this.direct.start(this.host, this.#order);
  }

  override async repeatDirectly(): Promise<Result<number, OrderError>> {
    const reply = await this.sendDirectly();
    // The host starts a run that has ended there as little as one that is there.
    if (reply.ok || reply.error.kind === OrderRefusal.Superseded) {
      return reply;
    }
    // The other copy may still start the run, whatever was answered to this one.
    const { kind, clockMs, cause } = reply.error;
    return createError({
      kind: OrderRefusal.Unanswered,
      clockMs,
      cause: `unknown to the carrier; repeated: ${kind} ${cause}`,
    });
  }

  override isAborted(): boolean {
    return false;
  }
}

export class OpenStop extends OpenOrder {
  readonly validityMs = VALIDITY_MS;

  readonly #order: StopOrder;

  constructor(host: HostIncarnation, direct: HostOrders, order: StopOrder) {
    super(host, direct);
    this.#order = order;
  }

  get epoch(): number {
    return this.#order.epoch;
  }

  override createCarried(id: number, validUntil: ClockReading): CarriedOrder {
    return { kind: CarriedKind.Stop, id, host: this.host, validUntil, order: this.#order };
  }

  override async sendDirectly(): Promise<Result<number, OrderError>> {
    return this.direct.stop(this.host, this.#order);
  }

  override async repeatDirectly(): Promise<Result<number, OrderError>> {
    return this.sendDirectly();
  }

  override isAborted(): boolean {
    return false;
  }
}

export class OpenHold extends OpenOrder {
  readonly validityMs = VALIDITY_MS;

  readonly #order: HoldOrder;

  readonly #handleAbort: () => void;

  /** @param handleAbort called when the caller aborts the call, which is settled by then. */
  constructor(
    host: HostIncarnation,
    direct: HostOrders,
    order: HoldOrder,
    handleAbort: (open: OpenHold) => void,
  ) {
    super(host, direct);
    this.#order = order;
    this.#handleAbort = () => {
      this.settle(
        createError({
          kind: OrderRefusal.Unanswered,
          clockMs: null,
          cause: 'the call was aborted',
        }),
      );
      handleAbort(this);
    };
    if (order.signal.aborted) {
      this.#handleAbort();
    } else {
      order.signal.addEventListener('abort', this.#handleAbort, { once: true });
    }
  }

  get epoch(): number {
    return this.#order.epoch;
  }

  override createCarried(id: number, validUntil: ClockReading): CarriedOrder {
    const { signal, ...order } = this.#order;
    return { kind: CarriedKind.Hold, id, host: this.host, validUntil, order };
  }

  override async sendDirectly(): Promise<Result<HostReport, OrderError>> {
    this.#order.signal.removeEventListener('abort', this.#handleAbort);
    return this.direct.hold(this.host, this.#order);
  }

  /** Without waiting: the caller has waited for the carrier. */
  override async repeatDirectly(): Promise<Result<HostReport, OrderError>> {
    this.#order.signal.removeEventListener('abort', this.#handleAbort);
    return this.direct.hold(this.host, { ...this.#order, waitMs: 0 });
  }

  override isAborted(): boolean {
    return this.#order.signal.aborted;
  }

  override settle(reply: OrderReply): void {
    this.#order.signal.removeEventListener('abort', this.#handleAbort);
    super.settle(reply);
  }
}
