import type { ConfigurationReport } from './BaobabwellDaemonConfiguration';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, JobState, QueueSettings } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { Owner } from '@baobabwell/ownership';
import type { PeerConnector } from '@baobabwell/peers';
import type {
  ChangePage,
  RowRange,
  TableError,
  Transaction,
  WatchableTableService,
} from '@baobabwell/platform';
import type { CancelTimer, Clock, Deadline, Result } from '@baobabwell/utils';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { OwnerClient } from '@baobabwell/ingress';
import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}

/** Builds the router of the procedures that other processes may call. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- trpc infers its type
export function buildDaemonRouter(options: {
  readonly owner: OwnerClient;
  readonly store: WatchableTableService;
  /** Returns what this process knows of the configuration, for a peer that knows a version. */
  readonly getConfigurationReport: (knownVersion: number | null) => ConfigurationReport | null;
  readonly getStoreAnswerAgeMs: () => number;
}) {
  const { owner, store, getConfigurationReport, getStoreAnswerAgeMs } = options;
  return createPeerRouter({
    offer: peerProcedure
      .input(z.custom<JobRecord>(isObject))
      .mutation(async ({ input }): Promise<OfferReply | null> => owner.offer(input)),
    findState: peerProcedure
      .input(z.string())
      .query(async ({ input }): Promise<JobState | null> => owner.findState(input)),
    countWaiting: peerProcedure
      .input(z.custom<QueueSettings>(isObject))
      .query(async ({ input }): Promise<number | null> => owner.countWaiting(input)),
    commit: peerProcedure
      .input(z.custom<Transaction>(isObject))
      .mutation(async ({ input }): Promise<Result<number, TableError>> => store.commit(input)),
    list: peerProcedure
      .input(z.custom<RowRange>(isObject))
      .query(async ({ input }): Promise<Result<ChangePage, TableError>> => store.list(input)),
    getConfigurationReport: peerProcedure
      .input(z.number().nullable())
      .query(({ input }): ConfigurationReport | null => getConfigurationReport(input)),
    // `null` when the store never answered.
    getStoreAnswerAgeMs: peerProcedure.query((): number | null => {
      const ageMs = getStoreAnswerAgeMs();
      return Number.isFinite(ageMs) ? ageMs : null;
    }),
  });
}

type DaemonRouter = ReturnType<typeof buildDaemonRouter>;

/** Client of the procedures of another process. */
export type PeerClient = TRPCClient<DaemonRouter>;

/** Sends one request to a peer; the signal gives it up. */
type SendToPeer<Reply> = (client: PeerClient, signal: AbortSignal) => Promise<Reply | null>;

/** Time for which no request is sent to a peer that did not answer, in ms. */
const UNRESPONSIVE_PEER_BACKOFF_MS = 400;

/** Sends requests to other processes. Operations never reject; `null` means no answer arrived. */
export class PeerClients {
  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #getConnector: () => PeerConnector | null;

  readonly #clients = new Map<string, PeerClient>();

  readonly #backoffUntilMs = new Map<string, number>();

  constructor(options: {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Returns `null` until the peer secret has been read. */
    readonly getConnector: () => PeerConnector | null;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#getConnector = options.getConnector;
  }

  /**
   * Sends a request to the process at an address, unless it recently failed to answer. At the deadline the
   * request is given up; that alone says nothing about the process.
   */
  async request<Reply>(
    address: string,
    send: SendToPeer<Reply>,
    deadline: Deadline | null = null,
  ): Promise<Reply | null> {
    const connector = this.#getConnector();
    const isBackingOff = this.#clock.getNow() < (this.#backoffUntilMs.get(address) ?? 0);
    if (connector === null || isBackingOff || deadline?.hasPassed() === true) {
      return null;
    }
    const { signal, cancelTimer } = this.#startDeadline(deadline);
    try {
      return await send(this.#getClient(connector, address), signal);
    } catch (error) {
      if (signal.aborted) {
        return null;
      }
      const cause = error instanceof Error ? error.message : String(error);
      this.#backoffUntilMs.set(address, this.#clock.getNow() + UNRESPONSIVE_PEER_BACKOFF_MS);
      this.#logger.recordWarning('peer-not-answering', { peer: address, cause });
      return null;
    } finally {
      cancelTimer();
    }
  }

  #startDeadline(deadline: Deadline | null): {
    readonly signal: AbortSignal;
    readonly cancelTimer: CancelTimer;
  } {
    const passed = new AbortController();
    const cancelTimer =
      deadline === null
        ? () => undefined
        : this.#clock.startTimer(deadline.getRemainingMs(), () => passed.abort());
    return { signal: passed.signal, cancelTimer };
  }

  #getClient(connector: PeerConnector, address: string): PeerClient {
    const existing = this.#clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const client = createTRPCClient<DaemonRouter>({
      links: [connector.createLink<DaemonRouter>(address)],
    });
    this.#clients.set(address, client);
    return client;
  }
}

/** Sends requests to the owner, in this process or in another one. */
export class PeerOwnerClient extends OwnerClient {
  readonly #local: OwnerClient;

  readonly #getOwner: () => Owner | null;

  readonly #name: string;

  readonly #peers: PeerClients;

  constructor(options: {
    readonly local: OwnerClient;
    readonly getOwner: () => Owner | null;
    readonly name: string;
    readonly peers: PeerClients;
  }) {
    super();
    this.#local = options.local;
    this.#getOwner = options.getOwner;
    this.#name = options.name;
    this.#peers = options.peers;
  }

  override async offer(job: JobRecord, deadline?: Deadline): Promise<OfferReply | null> {
    return this.#request(
      async () => this.#local.offer(job),
      async (client, signal) => client.offer.mutate(job, { signal }),
      deadline,
    );
  }

  override async findState(jobId: string, deadline?: Deadline): Promise<JobState | null> {
    return this.#request(
      async () => this.#local.findState(jobId),
      async (client, signal) => client.findState.query(jobId, { signal }),
      deadline,
    );
  }

  override async countWaiting(queue: QueueSettings, deadline?: Deadline): Promise<number | null> {
    return this.#request(
      async () => this.#local.countWaiting(queue),
      async (client, signal) => client.countWaiting.query(queue, { signal }),
      deadline,
    );
  }

  async #request<Reply>(
    requestLocal: () => Promise<Reply | null>,
    requestPeer: SendToPeer<Reply>,
    deadline?: Deadline,
  ): Promise<Reply | null> {
    const owner = this.#getOwner();
    if (owner === null) {
      return null;
    }
    if (owner.name === this.#name) {
      return requestLocal();
    }
    return this.#peers.request(owner.address, requestPeer, deadline);
  }
}
