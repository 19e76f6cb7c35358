import type { TermContext } from './BaobabwellControllerContext';

import { z } from 'zod';

import { MIN_TAKEOVER_MS } from '@baobabwell/ownership';
import { TableErrorKind } from '@baobabwell/platform';
import { RetryDelay } from '@baobabwell/utils';

import {
  INTENTS_REFRESH_MS,
  MACHINE_ORDERS_TABLE,
  MAX_LISTED_INTENTS,
  MAX_MACHINE_ORDER_MS,
  MAX_ORDER_LEASE_AGE_MS,
  MAX_WATCH_RETRY_MS,
  WATCH_RETRY_MS,
} from './BaobabwellControllerConstants';

const INTENTS_KEY = 'intents';

/** Time that a round takes to send its orders, and an order to reach its machine, in ms. */
const SEND_TIME_MS = 200;

const intentsRow = z.object({
  epoch: z.number().int(),
  /** Machines that an owner may have ordered lately; `null` if they are too many to list. */
  machines: z.array(z.string()).nullable(),
});

type IntentsContext = Pick<
  TermContext,
  'store' | 'clock' | 'logger' | 'signal' | 'term' | 'ownership' | 'bounds'
>;

/**
 * Stores the machines of orders before the orders are sent, so that the next owner waits with its own
 * orders only for the machines that this owner may have ordered lately.
 */
export class OrderIntents {
  readonly #context: IntentsContext;

  readonly #startedAtMs: number;

  /** Monotonic time of the latest order for each machine, in ms; of former owners: the start of the term. */
  readonly #orderedAtMs = new Map<string, number>();

  /** Machines that former owners may have ordered lately; `null` while unknown or too many. */
  #formerMachines: ReadonlySet<string> | null = null;

  #stored: ReadonlySet<string> = new Set();

  /** Former owners may have ordered machines that are not listed. */
  #isFormerUnlisted = false;

  /** The stored row says that this owner may have ordered any machine. */
  #coversAll = false;

  /** The row was written at least once in this term. */
  #hasStored = false;

  #version: number | null = null;

  #storing: Promise<void> | null = null;

  #storedAtMs = -Infinity;

  constructor(context: IntentsContext) {
    this.#context = context;
    this.#startedAtMs = context.clock.getNow();
  }

  /**
   * Reads the intents of the former owner, and stores that this owner may order any machine, so that its
   * first orders wait for no transaction.
   */
  async load(): Promise<void> {
    const { store, clock, logger, signal, term } = this.#context;
    const retry = new RetryDelay(WATCH_RETRY_MS, MAX_WATCH_RETRY_MS);
    while (!signal.aborted && this.#version === null) {
      const reply = await store.read(MACHINE_ORDERS_TABLE, INTENTS_KEY);
      if (reply.ok) {
        this.#version = reply.value?.version ?? 0;
        const { data } = intentsRow.safeParse(reply.value?.value);
        // A former owner that did not write the row may have sent orders without their intents.
        const isComplete = data?.epoch === term.epoch - 1 && data.machines !== null;
        this.#isFormerUnlisted = !isComplete && !term.isHandover;
        this.#formerMachines = isComplete ? new Set(data.machines) : null;
        data?.machines?.forEach((machine) => this.#orderedAtMs.set(machine, this.#startedAtMs));
        logger.recordInfo('order-intents-loaded', {
          epoch: data?.epoch ?? null,
          machines: data?.machines?.length ?? null,
          isComplete,
        });
        await this.#requestStore();
      } else {
        logger.recordWarning('order-intents-not-read', { reason: reply.error.kind });
        await clock.wait(retry.advance(), signal);
      }
    }
  }

  /** Returns true once it is known which machines may be ordered. */
  get isKnown(): boolean {
    return this.#context.term.isHandover || this.#formerMachines !== null || this.#isDelayOver();
  }

  /** Returns true if no former owner can have ordered a machine so lately that this owner must wait. */
  canOrder(machine: string): boolean {
    return (
      this.#context.term.isHandover ||
      this.#formerMachines?.has(machine) === false ||
      this.#isDelayOver()
    );
  }

  /** Stores the intent to order a machine; returns false if it is not stored. */
  async announce(machine: string): Promise<boolean> {
    this.#orderedAtMs.set(machine, this.#context.clock.getNow());
    if (this.#coversAll) {
      return true;
    }
    // Machines of one round are stored together.
    await Promise.resolve();
    if (this.#storing !== null) {
      await this.#storing;
    }
    if (!this.#stored.has(machine)) {
      await this.#requestStore();
    }
    return this.#stored.has(machine);
  }

  /** Stores the intents again once some of them have expired, or while the row covers all machines. */
  refresh(): void {
    const isDue = this.#context.clock.getNow() - this.#storedAtMs >= INTENTS_REFRESH_MS;
    const isOutdated =
      this.#coversAll || [...this.#stored].some((machine) => this.#isExpired(machine));
    if (isDue && isOutdated && this.#storing === null) {
      void this.#requestStore();
    }
  }

  /** Records the time at which an order was answered or given up. */
  recordOrder(machine: string): void {
    this.#orderedAtMs.set(machine, this.#context.clock.getNow());
  }

  /**
   * The delay is shorter than the platform's because the former owner stopped its orders some time before
   * the takeover.
   */
  #isDelayOver(): boolean {
    const { clock, bounds } = this.#context;
    const delayMs =
      bounds.machineOrderDelayMs - (MIN_TAKEOVER_MS - MAX_ORDER_LEASE_AGE_MS) + SEND_TIME_MS;
    return clock.getNow() - this.#startedAtMs >= delayMs;
  }

  /** Stores all present intents, together with requests of the same moment. */
  async #requestStore(): Promise<void> {
    this.#storing ??= this.#store().finally(() => {
      this.#storing = null;
    });
    await this.#storing;
  }

  async #store(): Promise<void> {
    const { ownership, term, clock, logger, signal } = this.#context;
    if (this.#version === null || signal.aborted) {
      return;
    }
    this.#prune();
    this.#storedAtMs = clock.getNow();
    const machines = [...this.#orderedAtMs.keys()];
    const isFirst = !this.#hasStored;
    const isListed = !isFirst && !this.#isFormerUnlisted && machines.length <= MAX_LISTED_INTENTS;
    this.#hasStored = true;
    // Orders that are decided from now on wait for this transaction.
    this.#coversAll = false;
    const condition = { table: MACHINE_ORDERS_TABLE, key: INTENTS_KEY, version: this.#version };
    const value = { epoch: term.epoch, machines: isListed ? machines : null };
    // The condition keeps a transaction that is carried out late from removing later intents.
    const reply = await ownership.commit(
      term,
      [condition],
      [{ table: MACHINE_ORDERS_TABLE, key: INTENTS_KEY, value }],
    );
    if (reply.ok) {
      this.#version = reply.value;
      this.#stored = new Set(machines);
      this.#coversAll = isFirst;
      return;
    }
    if (reply.error.kind === TableErrorKind.Conflict) {
      const row = reply.error.conflicts.find(({ table }) => table === MACHINE_ORDERS_TABLE);
      this.#version = row?.version ?? this.#version;
    }
    logger.recordWarning('order-intents-not-stored', {
      machines: machines.length,
      reason: reply.error.kind,
    });
  }

  /** Returns true if the last order for a machine can no longer make the next owner wait. */
  #isExpired(machine: string): boolean {
    const { clock, bounds } = this.#context;
    const orderedAtMs = this.#orderedAtMs.get(machine) ?? -Infinity;
    return clock.getNow() - orderedAtMs > bounds.machineOrderDelayMs + MAX_MACHINE_ORDER_MS;
  }

  #prune(): void {
    this.#orderedAtMs.forEach((_, machine) => {
      if (this.#isExpired(machine)) {
        this.#orderedAtMs.delete(machine);
      }
    });
    // The next transaction removes these machines from the row.
    this.#stored = new Set([...this.#stored].filter((machine) => this.#orderedAtMs.has(machine)));
    this.#isFormerUnlisted &&= !this.#isDelayOver();
  }
}
