import type { Logger } from '@baobabwell/logging';
import type {
  ChangePage,
  RowRange,
  TableError,
  Transaction,
  WatchableTableService,
} from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { ForwardingTableService, TableErrorKind } from '@baobabwell/platform';

/** Time without an answer after which a peer is asked too, in ms: far beyond an answer of some 12 ms. */
const RELAY_AFTER_MS = 550;

/** The same as a multiple of the store's last answer: a slow store must not get each call twice. */
const RELAY_PATIENCE = 2.5;

/** Longest time after which a peer is asked, in ms: the call itself is given up a little later. */
const MAX_RELAY_AFTER_MS = 1_250;

/** Peers that are asked one after the other. */
const RELAY_ATTEMPTS = 2;

/** Transactions of one process that wait for peers at once; the store's rates are shared by all. */
const RELAYS_AT_ONCE = 8;

/**
 * Time for which no peer is asked after none of them could help, in ms: the store turns everybody
 * away, and calls of peers would only keep it at its limit.
 */
const RELAY_REST_MS = 400;

/** Time for which peers are asked first after the store did not answer here, in ms. */
const DISTRUST_MS = 1_000;

/** Reaches the store through another process. */
export type StoreRelay = {
  readonly commit: (
    address: string,
    transaction: Transaction,
  ) => Promise<Result<number, TableError> | null>;
  readonly list: (
    address: string,
    range: RowRange,
  ) => Promise<Result<ChangePage, TableError> | null>;
};

/** An attempt of which nothing came back may have been carried out. */
function isUnclear<Value>(reply: Result<Value, TableError> | null): boolean {
  if (reply === null) {
    return true;
  }
  return (
    !reply.ok && reply.error.kind === TableErrorKind.Unavailable && reply.error.mayHaveCommitted
  );
}

function isAnswer<Value>(
  reply: Result<Value, TableError> | null,
): reply is Result<Value, TableError> {
  return reply !== null && (reply.ok || reply.error.kind === TableErrorKind.Conflict);
}

type RelayOutcome<Value> = {
  readonly reply: Result<Value, TableError> | null;
  /** Some attempt may have been carried out although nothing came back. */
  readonly isUnclear: boolean;
};

/**
 * The store as callers' work needs it: a process that the store turns away asks through its peers.
 * Only for transactions that may be sent twice, such as those that create a row.
 */
export class RelayedStore extends ForwardingTableService {
  readonly #relay: StoreRelay;

  readonly #listPeers: () => readonly string[];

  readonly #clock: Clock;

  readonly #logger: Logger;

  #distrustUntilMs = 0;

  #turn = 0;

  #relayCount = 0;

  #restUntilMs = 0;

  /** Duration of the store's last answer to this process, in ms. */
  #answeredInMs = 0;

  constructor(options: {
    readonly direct: WatchableTableService;
    readonly relay: StoreRelay;
    readonly listPeers: () => readonly string[];
    readonly clock: Clock;
    readonly logger: Logger;
  }) {
    super(options.direct);
    this.#relay = options.relay;
    this.#listPeers = options.listPeers;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    return this.#reach(
      async () => this.tables.commit(transaction),
      async (address) => this.#relay.commit(address, transaction),
    );
  }

  override async list(range: RowRange): Promise<Result<ChangePage, TableError>> {
    return this.#reach(
      async () => this.tables.list(range),
      async (address) => this.#relay.list(address, range),
    );
  }

  async #reach<Value>(
    askDirect: () => Promise<Result<Value, TableError>>,
    askPeer: (address: string) => Promise<Result<Value, TableError> | null>,
  ): Promise<Result<Value, TableError>> {
    const isDistrusted = this.#clock.getNow() < this.#distrustUntilMs;
    const first = isDistrusted ? await this.#askPeers(askPeer) : { reply: null, isUnclear: false };
    if (first.reply !== null) {
      return first.reply;
    }
    const direct = this.#measure(askDirect);
    const patience = new AbortController();
    const early = await Promise.race([
      direct,
      this.#clock.wait(this.#getPatienceMs(), patience.signal).then(() => null),
    ]);
    patience.abort();
    if (isAnswer(early)) {
      return early;
    }
    this.#distrustUntilMs = this.#clock.getNow() + DISTRUST_MS;
    const second = await this.#askPeers(askPeer);
    const last = second.reply ?? (await direct);
    if (last.ok || last.error.kind === TableErrorKind.Conflict) {
      return last;
    }
    // A refusal by the store says nothing of the attempts that went another way.
    const mayHaveCommitted = first.isUnclear || second.isUnclear || isUnclear(last);
    return { ok: false, error: { ...last.error, mayHaveCommitted } };
  }

  async #measure<Value>(
    askDirect: () => Promise<Result<Value, TableError>>,
  ): Promise<Result<Value, TableError>> {
    const sentAtMs = this.#clock.getNow();
    const reply = await askDirect();
    if (isAnswer(reply)) {
      this.#answeredInMs = this.#clock.getNow() - sentAtMs;
    }
    return reply;
  }

  #getPatienceMs(): number {
    const patienceMs = RELAY_PATIENCE * this.#answeredInMs;
    return Math.min(MAX_RELAY_AFTER_MS, Math.max(RELAY_AFTER_MS, patienceMs));
  }

  async #askPeers<Value>(
    askPeer: (address: string) => Promise<Result<Value, TableError> | null>,
  ): Promise<RelayOutcome<Value>> {
    const isResting = this.#clock.getNow() < this.#restUntilMs;
    if (isResting || this.#relayCount >= RELAYS_AT_ONCE) {
      return { reply: null, isUnclear: false };
    }
    this.#relayCount += 1;
    const outcome = await this.#askInTurn(askPeer);
    this.#relayCount -= 1;
    if (outcome.reply === null) {
      this.#restUntilMs = this.#clock.getNow() + RELAY_REST_MS;
      this.#logger.recordWarning('store-not-relayed', { restMs: RELAY_REST_MS });
    }
    return outcome;
  }

  async #askInTurn<Value>(
    askPeer: (address: string) => Promise<Result<Value, TableError> | null>,
  ): Promise<RelayOutcome<Value>> {
    const peers = this.#listPeers();
    let wasUnclear = false;
    for (let attempt = 0; attempt < Math.min(RELAY_ATTEMPTS, peers.length); attempt += 1) {
      const address = peers[this.#turn % peers.length] as string;
      this.#turn += 1;
      const reply = await askPeer(address);
      if (isAnswer(reply)) {
        this.#logger.recordInfo('store-relayed', { peer: address, attempt });
        return { reply, isUnclear: wasUnclear };
      }
      wasUnclear ||= isUnclear(reply);
    }
    return { reply: null, isUnclear: wasUnclear };
  }
}
