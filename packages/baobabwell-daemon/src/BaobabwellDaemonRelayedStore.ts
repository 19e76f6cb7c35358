import type { Logger } from '@baobabwell/logging';
import type {
  CallLimits,
  ChangePage,
  RowRange,
  TableError,
  Transaction,
  WatchableTableService,
} from '@baobabwell/platform';
import type { Clock, Deadline, Result } from '@baobabwell/utils';

import { ForwardingTableService, TableErrorKind } from '@baobabwell/platform';
import { createError } from '@baobabwell/utils';

import {
  computeMaxReadsUnderWay,
  computeReadShare,
  ReadLimiter,
} from './BaobabwellDaemonReadLimiter';

/**
 * Minimum time without an answer after which a call is also sent through a peer, in ms; far longer
 * than the store's usual latency of about 12 ms.
 */
const MIN_RELAY_DELAY_MS = 550;

/** That time as a multiple of the store's last latency: a slow store must not get each call twice. */
const RELAY_DELAY_FACTOR = 2.5;

/** Maximum of that time, in ms. The direct call times out a little later. */
const MAX_RELAY_DELAY_MS = 1_250;

/** Maximum number of peers that are tried one after another for one call. */
const MAX_RELAY_ATTEMPTS = 2;

/** Maximum number of calls relayed at once; all processes share the store's rate limits. */
const MAX_CONCURRENT_RELAYS = 8;

/**
 * Time for which no call is relayed after no peer could complete one, in ms. The store is then
 * refusing every process, and relayed calls would only keep it at its rate limit.
 */
const RELAY_BACKOFF_MS = 400;

/** Time for which calls go to peers first after the store did not answer this process, in ms. */
const PEERS_FIRST_MS = 1_000;

/** Minimum time without an answer after which a read is sent again, in ms. */
const MIN_REPEAT_DELAY_MS = 250;

/** Maximum of that time, in ms. */
const MAX_REPEAT_DELAY_MS = 750;

/** Weight of the latest read in the time that reads take. */
const READ_TIME_WEIGHT = 0.2;

/** Maximum number of times that a read is sent. */
const MAX_READ_ATTEMPTS = 6;

/** Sends calls to the store through another process; `null` means that it did not answer. */
export type StoreRelay = {
  readonly commit: (
    address: string,
    transaction: Transaction,
    deadline?: Deadline,
  ) => Promise<Result<number, TableError> | null>;
  readonly list: (
    address: string,
    range: RowRange,
    deadline?: Deadline,
  ) => Promise<Result<ChangePage, TableError> | null>;
};

/** Returns true if an attempt may have been carried out although no reply confirms it. */
function hasUnknownOutcome<Value>(reply: Result<Value, TableError> | null): boolean {
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

/** Returns true once nobody waits for the answer of a call any more. */
function isOver({ deadline, signal }: CallLimits): boolean {
  return signal?.aborted === true || deadline?.hasPassed() === true;
}

function createNotReadError(cause: string): Result<never, TableError> {
  return createError({ kind: TableErrorKind.Unavailable, mayHaveCommitted: false, cause });
}

type RelayResult<Value> = {
  readonly reply: Result<Value, TableError> | null;
  /** True if an attempt may have been carried out although no reply confirms it. */
  readonly hasUnknownOutcome: boolean;
};

/**
 * Table service that relays calls through peers when the store refuses or does not answer this
 * process. Use it only for transactions that may be sent twice, such as those that create a row.
 */
export class RelayedStore extends ForwardingTableService {
  readonly #relay: StoreRelay;

  readonly #listPeerAddresses: () => readonly string[];

  readonly #clock: Clock;

  readonly #logger: Logger;

  #peersFirstUntilMs = 0;

  #nextPeerIndex = 0;

  #openRelayCount = 0;

  #backoffUntilMs = 0;

  /** Latency of the store's last answer to this process, in ms. */
  #lastLatencyMs = 0;

  readonly #reads: ReadLimiter;

  /** Time that reads took of late, with what was sent again, in ms. */
  #readMs = 0;

  constructor(options: {
    readonly direct: WatchableTableService;
    readonly relay: StoreRelay;
    readonly listPeerAddresses: () => readonly string[];
    readonly clock: Clock;
    readonly logger: Logger;
    /** Reads that all processes together may make, per second. */
    readonly readsPerS: number;
  }) {
    super(options.direct);
    this.#relay = options.relay;
    this.#listPeerAddresses = options.listPeerAddresses;
    this.#clock = options.clock;
    this.#logger = options.logger;
    const getProcessCount = (): number => options.listPeerAddresses().length + 1;
    this.#reads = new ReadLimiter({
      clock: options.clock,
      getSharePerS: () => computeReadShare(options.readsPerS, getProcessCount()),
      getMaxUnderWay: () =>
        computeMaxReadsUnderWay({
          readsPerS: options.readsPerS,
          processCount: getProcessCount(),
          latencyMs: this.#getReadLatencyMs(),
        }),
      getLatencyMs: () => this.#getReadLatencyMs(),
    });
  }

  override async commit(
    transaction: Transaction,
    limits: CallLimits = {},
  ): Promise<Result<number, TableError>> {
    return this.#request(
      async () => this.tables.commit(transaction, limits),
      async (address) => this.#relay.commit(address, transaction, limits.deadline),
      limits,
    );
  }

  override async list(
    range: RowRange,
    limits: CallLimits = {},
  ): Promise<Result<ChangePage, TableError>> {
    const { deadline = null } = limits;
    if (deadline === null) {
      return this.#list(range, limits);
    }
    const reply = await this.#reads.run(deadline, async () => this.#listBefore(range, deadline));
    return reply ?? createNotReadError('the read waited for others until its deadline');
  }

  async #list(range: RowRange, limits: CallLimits): Promise<Result<ChangePage, TableError>> {
    return this.#request(
      async () => this.tables.list(range, limits),
      async (address) => this.#relay.list(address, range, limits.deadline),
      limits,
    );
  }

  /**
   * Reads rows before a deadline. While no answer arrives, the read is sent again on other connections: a
   * connection on which an answer was lost delivers no further one.
   */
  async #listBefore(range: RowRange, deadline: Deadline): Promise<Result<ChangePage, TableError>> {
    const done = new AbortController();
    const limits = { deadline, signal: done.signal };
    const startedAtMs = this.#clock.getNow();
    try {
      return await new Promise((resolve) => {
        let openCount = 0;
        const attempt = async (send: () => Promise<Result<ChangePage, TableError>>) => {
          openCount += 1;
          const reply = await send();
          openCount -= 1;
          if (isAnswer(reply) || openCount === 0) {
            resolve(reply);
          }
        };
        void this.#clock
          .wait(deadline.getRemainingMs(), done.signal)
          .then(() => resolve(createNotReadError('no answer before the deadline')));
        void attempt(async () => this.#list(range, limits));
        void this.#repeat(deadline, done.signal, async () =>
          attempt(async () => this.#measure(async () => this.tables.list(range, limits))),
        );
      });
    } finally {
      done.abort();
      const tookMs = this.#clock.getNow() - startedAtMs;
      this.#readMs += READ_TIME_WEIGHT * (tookMs - this.#readMs);
    }
  }

  /** Calls `send` at intervals, until the deadline or until `signal` is aborted. */
  async #repeat(deadline: Deadline, signal: AbortSignal, send: () => Promise<void>): Promise<void> {
    for (let attempt = 1; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      await this.#clock.wait(this.#getRepeatDelayMs(), signal);
      if (signal.aborted || deadline.hasPassed()) {
        return;
      }
      if (this.#reads.startRepeat()) {
        void send();
      }
    }
  }

  /** Returns the time until a read is answered or sent again, in ms: it takes another turn of the store then. */
  #getReadLatencyMs(): number {
    return Math.max(this.#lastLatencyMs, Math.min(this.#readMs, this.#getRepeatDelayMs()));
  }

  #getRepeatDelayMs(): number {
    const scaledDelayMs = RELAY_DELAY_FACTOR * this.#lastLatencyMs;
    return Math.min(MAX_REPEAT_DELAY_MS, Math.max(MIN_REPEAT_DELAY_MS, scaledDelayMs));
  }

  async #request<Value>(
    requestDirect: () => Promise<Result<Value, TableError>>,
    requestPeer: (address: string) => Promise<Result<Value, TableError> | null>,
    limits: CallLimits,
  ): Promise<Result<Value, TableError>> {
    const shouldRelayFirst = this.#clock.getNow() < this.#peersFirstUntilMs;
    const firstRelay = shouldRelayFirst
      ? await this.#requestPeers(requestPeer, limits)
      : { reply: null, hasUnknownOutcome: false };
    if (firstRelay.reply !== null) {
      return firstRelay.reply;
    }
    const directReply = this.#measure(requestDirect);
    const relayDelayStopped = new AbortController();
    const earlyReply = await Promise.race([
      directReply,
      this.#clock.wait(this.#getRelayDelayMs(), relayDelayStopped.signal).then(() => null),
    ]);
    relayDelayStopped.abort();
    if (isAnswer(earlyReply)) {
      return earlyReply;
    }
    // A call that was given up says nothing about the store.
    const isSilent = !isOver(limits);
    if (isSilent) {
      this.#peersFirstUntilMs = this.#clock.getNow() + PEERS_FIRST_MS;
    }
    const secondRelay = isSilent
      ? await this.#requestPeers(requestPeer, limits)
      : { reply: null, hasUnknownOutcome: false };
    const lastReply = secondRelay.reply ?? (await directReply);
    if (lastReply.ok || lastReply.error.kind === TableErrorKind.Conflict) {
      return lastReply;
    }
    // A refusal of the last attempt does not rule out that an attempt by another route committed.
    const mayHaveCommitted =
      firstRelay.hasUnknownOutcome || secondRelay.hasUnknownOutcome || hasUnknownOutcome(lastReply);
    return { ok: false, error: { ...lastReply.error, mayHaveCommitted } };
  }

  async #measure<Value>(
    requestDirect: () => Promise<Result<Value, TableError>>,
  ): Promise<Result<Value, TableError>> {
    const sentAtMs = this.#clock.getNow();
    const reply = await requestDirect();
    if (isAnswer(reply)) {
      this.#lastLatencyMs = this.#clock.getNow() - sentAtMs;
    }
    return reply;
  }

  #getRelayDelayMs(): number {
    const scaledDelayMs = RELAY_DELAY_FACTOR * this.#lastLatencyMs;
    return Math.min(MAX_RELAY_DELAY_MS, Math.max(MIN_RELAY_DELAY_MS, scaledDelayMs));
  }

  async #requestPeers<Value>(
    requestPeer: (address: string) => Promise<Result<Value, TableError> | null>,
    limits: CallLimits,
  ): Promise<RelayResult<Value>> {
    const isBackingOff = this.#clock.getNow() < this.#backoffUntilMs;
    if (isBackingOff || this.#openRelayCount >= MAX_CONCURRENT_RELAYS) {
      return { reply: null, hasUnknownOutcome: false };
    }
    this.#openRelayCount += 1;
    const result = await this.#requestPeersInRotation(requestPeer, limits);
    this.#openRelayCount -= 1;
    if (result.reply === null && !isOver(limits)) {
      this.#backoffUntilMs = this.#clock.getNow() + RELAY_BACKOFF_MS;
      this.#logger.recordWarning('store-not-relayed', { restMs: RELAY_BACKOFF_MS });
    }
    return result;
  }

  async #requestPeersInRotation<Value>(
    requestPeer: (address: string) => Promise<Result<Value, TableError> | null>,
    limits: CallLimits,
  ): Promise<RelayResult<Value>> {
    const peers = this.#listPeerAddresses();
    let hasUnknownAttempt = false;
    const maxAttempts = Math.min(MAX_RELAY_ATTEMPTS, peers.length);
    for (let attempt = 0; attempt < maxAttempts && !isOver(limits); attempt += 1) {
      const address = peers[this.#nextPeerIndex % peers.length] as string;
      this.#nextPeerIndex += 1;
      const reply = await requestPeer(address);
      if (isAnswer(reply)) {
        this.#logger.recordInfo('store-relayed', { peer: address, attempt });
        return { reply, hasUnknownOutcome: hasUnknownAttempt };
      }
      hasUnknownAttempt ||= hasUnknownOutcome(reply);
    }
    return { reply: null, hasUnknownOutcome: hasUnknownAttempt };
  }
}
