import type { Endpoint } from './BaobabwellEmulatorNetwork';
import type { WorkerEndpoint } from './BaobabwellEmulatorWorkers';
import type { CallRequest, CallResult } from '@baobabwell/calls';
import type { Kernel, Plugin, ServiceToken } from '@baobabwell/kernel';
import type { LogFields } from '@baobabwell/logging';
import type { OperatorReply } from '@baobabwell/operations';
import type { TableService } from '@baobabwell/platform';
import type { EntrySettings, Settings } from '@baobabwell/settings';
import type { LedgerLine } from '@baobabwell/stand-ins';
import type { WorkerClientFactory } from '@baobabwell/workers';
import type { AnyTRPCRouter } from '@trpc/server';

import {
  buildConnectedEntry,
  CALL_SERVICE,
  HOST_CONTROL,
  HOST_LIST,
  OBJECT_STORE,
  OPERATOR_SERVICE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  TABLE_SERVICE,
  WORKER_CLIENT_FACTORY,
} from '@baobabwell/entry';
import { mergeUndo } from '@baobabwell/kernel';
import { Logger, LogLevel } from '@baobabwell/logging';
import { PriorityClass } from '@baobabwell/model';
import { mergePeerRouters } from '@baobabwell/peers';
import { ListedHostState } from '@baobabwell/platform';
import {
  StandInHostList,
  StandInObjectStore,
  StandInTableService,
  StandInWorker,
} from '@baobabwell/stand-ins';
import { checkInvariant, Random } from '@baobabwell/utils';

import { EmulatedHostControl } from './BaobabwellEmulatorHostControl';
import { EmulatedNetwork } from './BaobabwellEmulatorNetwork';
import { EmulatedPeerConnector } from './BaobabwellEmulatorPeers';
import {
  EmulatedHostList,
  EmulatedObjectStore,
  EmulatedTableService,
} from './BaobabwellEmulatorPlatform';
import { EmulatedTime, ProcessClock } from './BaobabwellEmulatorTime';
import { EmulatedWorkerClientFactory } from './BaobabwellEmulatorWorkers';

const PLATFORM_NAME = 'platform';
const CALLER_NAME = 'caller';
const HOST_LIST_LAG_MS = 5_000;
const OPERATION_TIMEOUT_MS = 60_000;
const CALL_TIMEOUT_MS = 600_000;

/** A running or paused emulated entry. */
type EmulatedEntry = {
  readonly settings: EntrySettings;
  readonly clock: ProcessClock;
  readonly kernel: Kernel;
  /** `null` until the entry serves peers. */
  router: AnyTRPCRouter | null;
};

/** Wrappers around services that entries use, for tests that inject defects. */
export type EmulatedDecorators = {
  readonly decorateTables?: (tables: TableService) => TableService;
  readonly decorateWorkers?: (workers: WorkerClientFactory) => WorkerClientFactory;
};

/** Differences between an emulated deployment and a production one. */
export type EmulatedOverrides = EmulatedDecorators & {
  /** Registered in every entry before its features, so that they can replace services of those. */
  readonly plugins?: readonly Plugin[];
};

/** A call of an emulated caller; omitted fields get defaults. */
export type EmulatedCall = Partial<CallRequest> & { readonly queue: string };

/**
 * A whole deployment in one process: real entries on an emulated clock and network, with
 * stand-ins for the platform and the workers. Runs are deterministic: the settings, the seed and
 * the calls made on the fleet decide everything that happens.
 */
export class EmulatedFleet {
  readonly time = new EmulatedTime();

  readonly network = new EmulatedNetwork();

  readonly random: Random;

  readonly tables: StandInTableService;

  readonly objects = new StandInObjectStore();

  readonly hosts: StandInHostList;

  readonly settings: Settings;

  readonly #workers = new Map<string, WorkerEndpoint>();

  readonly #entries = new Map<string, EmulatedEntry>();

  readonly #logLines: string[] = [];

  readonly #plugins: readonly Plugin[];

  readonly #decorators: EmulatedDecorators;

  #incarnationCount = 0;

  #callCount = 0;

  constructor(settings: Settings, seed: number, overrides: EmulatedOverrides = {}) {
    this.#plugins = overrides.plugins ?? [];
    this.#decorators = overrides;
    this.settings = settings;
    this.random = new Random(seed);
    this.tables = new StandInTableService(this.time, new Random(seed + 1));
    this.hosts = new StandInHostList(this.time, HOST_LIST_LAG_MS);
    const hosts = settings.fleet.pools.flatMap((pool) => pool.hosts);
    hosts.forEach(({ id, address, slots }) => {
      this.#workers.set(address, {
        endpoint: { name: id, clock: this.time },
        worker: new StandInWorker(id, slots, this.time),
      });
    });
    const entries = settings.entries.map(({ id, peers }) => ({ id, address: peers }));
    this.hosts.replace(
      [...hosts, ...entries].map(({ id, address }) => ({
        id,
        address,
        state: ListedHostState.Live,
      })),
    );
  }

  /** Returns the log lines of all entries, oldest first. */
  getLogLines(): readonly string[] {
    return this.#logLines;
  }

  /** Lists the ids of the entries that are running or paused. */
  listEntries(): readonly string[] {
    return [...this.#entries.keys()];
  }

  /** Starts all entries of the settings, one after another. */
  async startAll(): Promise<void> {
    for (const { id } of this.settings.entries) {
      await this.startEntry(id);
    }
  }

  /** Starts an entry and waits until it serves requests. */
  async startEntry(id: string): Promise<void> {
    const kernel = this.createEntry(id);
    await this.time.settle(kernel.start(), OPERATION_TIMEOUT_MS);
  }

  /** Creates an entry without starting it; the caller starts the kernel. */
  createEntry(id: string): Kernel {
    checkInvariant(!this.#entries.has(id), `entry ${id} is already running`);
    const settings = this.settings.entries.find((entry) => entry.id === id);
    checkInvariant(settings !== undefined, `entry ${id} is not in the settings`);
    const clock = new ProcessClock(this.time);
    this.network.open(id);
    this.#incarnationCount += 1;
    const kernel = buildConnectedEntry(
      {
        settings: this.settings,
        entry: settings,
        clock,
        incarnation: `incarnation-${this.#incarnationCount}`,
        logger: this.#createLogger(id),
      },
      {
        pluginsBeforeFeatures: [this.#createConnections({ name: id, clock }), ...this.#plugins],
        pluginsAfterFeatures: [this.#createPeerServer(id)],
      },
    );
    this.#entries.set(id, { settings, clock, kernel, router: null });
    return kernel;
  }

  /** Shuts an entry down gracefully. */
  async stopEntry(id: string): Promise<void> {
    const { kernel } = this.#getEntry(id);
    await this.time.settle(kernel.close(), OPERATION_TIMEOUT_MS);
    this.killEntry(id);
  }

  /** Kills an entry as a crash does; connections to it are refused from then on. */
  killEntry(id: string): void {
    this.#getEntry(id).clock.kill();
    this.network.close(id);
    this.#entries.delete(id);
  }

  /** Pauses an entry; connections to it stay open but get no replies. */
  pauseEntry(id: string): void {
    this.#getEntry(id).clock.pause();
  }

  /** Resumes a paused entry. */
  resumeEntry(id: string): void {
    this.#getEntry(id).clock.resume();
  }

  /** Returns true while the entry is paused. */
  isPaused(id: string): boolean {
    return this.#entries.get(id)?.clock.isPaused() ?? false;
  }

  /** Returns a service of a running entry. */
  getService<Service>(id: string, token: ServiceToken<Service>): Service {
    return this.#getEntry(id).kernel.getService(token);
  }

  /** Returns the worker of a host. */
  getWorker(host: string): StandInWorker {
    const found = [...this.#workers.values()].find(({ worker }) => worker.id === host);
    checkInvariant(found !== undefined, `host ${host} is not in the settings`);
    return found.worker;
  }

  /** Lists all workers. */
  listWorkers(): readonly StandInWorker[] {
    return [...this.#workers.values()].map(({ worker }) => worker);
  }

  /** Lists the ledger lines of all workers, oldest first. */
  listLedger(): readonly (LedgerLine & { readonly host: string })[] {
    return this.listWorkers()
      .flatMap((worker) => worker.getLedger().map((line) => ({ ...line, host: worker.id })))
      .toSorted((a, b) => a.at - b.at);
  }

  /** Makes a call through an entry; returns `null` when the entry does not answer. */
  async call(entry: string, call: EmulatedCall, signal?: AbortSignal): Promise<CallResult | null> {
    this.#callCount += 1;
    const request: CallRequest = {
      id: `call-${this.#callCount}`,
      secret: null,
      priority: PriorityClass.Normal,
      timeoutMs: null,
      isRepeatable: false,
      idempotencyKey: null,
      contentType: 'application/json',
      body: Buffer.from('{}'),
      ...call,
    };
    return this.sendRequest(entry, async (kernel) =>
      kernel.getService(CALL_SERVICE).run(request, signal ?? new AbortController().signal),
    );
  }

  /** Runs an operator's statement on an entry; returns `null` when the entry does not answer. */
  async runStatement(
    entry: string,
    text: string,
    operator = 'operator',
  ): Promise<OperatorReply | null> {
    return this.sendRequest(entry, async (kernel) =>
      kernel.getService(OPERATOR_SERVICE).run(text, operator),
    );
  }

  /** Runs an operator's statement on an entry and advances time until it is answered. */
  async settleStatement(entry: string, text: string): Promise<OperatorReply | null> {
    return this.time.settle(this.runStatement(entry, text), OPERATION_TIMEOUT_MS);
  }

  /** Advances the emulated time. */
  async advance(durationMs: number): Promise<void> {
    await this.time.advance(durationMs);
  }

  /** Kills all entries. */
  close(): void {
    this.listEntries().forEach((id) => this.killEntry(id));
  }

  /** Sends a caller's request to an entry; returns `null` when the entry does not answer. */
  async sendRequest<T>(entry: string, handle: (kernel: Kernel) => Promise<T>): Promise<T | null> {
    const { clock, kernel } = this.#getEntry(entry);
    const result = await this.network.send({
      from: { name: CALLER_NAME, clock: this.time },
      to: { name: entry, clock },
      timeoutMs: CALL_TIMEOUT_MS,
      handle: async () => handle(kernel),
    });
    return result.kind === 'answered' ? result.value : null;
  }

  #getEntry(id: string): EmulatedEntry {
    const entry = this.#entries.get(id);
    checkInvariant(entry !== undefined, `entry ${id} is not running`);
    return entry;
  }

  #createLogger(id: string): Logger {
    const fields: LogFields = { entry: id };
    return new Logger(LogLevel.Info, fields, (line) => this.#logLines.push(line));
  }

  #createConnections(from: Endpoint): Plugin {
    const { network, time } = this;
    const { decorateTables = (tables) => tables, decorateWorkers = (workers) => workers } =
      this.#decorators;
    const to = { name: PLATFORM_NAME, clock: time };
    return {
      name: 'emulated connections',
      register: (kernel) =>
        mergeUndo(
          kernel.registerService(TABLE_SERVICE, () =>
            decorateTables(new EmulatedTableService({ network, from, to, service: this.tables })),
          ),
          kernel.registerService(
            OBJECT_STORE,
            () => new EmulatedObjectStore({ network, from, to, service: this.objects }),
          ),
          kernel.registerService(
            HOST_LIST,
            () => new EmulatedHostList({ network, from, to, service: this.hosts }),
          ),
          kernel.registerService(
            PEER_CONNECTOR,
            () => new EmulatedPeerConnector(network, from, (address) => this.#findPeer(address)),
          ),
          kernel.registerService(
            HOST_CONTROL,
            () => new EmulatedHostControl(network, from, (a) => this.#findWorker(a)),
          ),
          kernel.registerService(WORKER_CLIENT_FACTORY, () =>
            decorateWorkers(
              new EmulatedWorkerClientFactory(network, from, (a) => this.#findWorker(a)),
            ),
          ),
        ),
    };
  }

  #createPeerServer(id: string): Plugin {
    return {
      name: 'emulated peer server',
      register: () => () => {},
      start: async (kernel) => {
        this.#getEntry(id).router = mergePeerRouters(kernel.getService(PEER_ROUTERS));
      },
    };
  }

  #findPeer(address: string): { endpoint: Endpoint; getRouter: () => AnyTRPCRouter | null } | null {
    const settings = this.settings.entries.find(({ peers }) => peers === address);
    if (settings === undefined) {
      return null;
    }
    const entry = this.#entries.get(settings.id);
    return {
      endpoint: { name: settings.id, clock: entry?.clock ?? this.time },
      getRouter: () => this.#entries.get(settings.id)?.router ?? null,
    };
  }

  #findWorker(address: string): WorkerEndpoint {
    const worker = this.#workers.get(address);
    checkInvariant(worker !== undefined, `no worker has the address ${address}`);
    return worker;
  }
}
