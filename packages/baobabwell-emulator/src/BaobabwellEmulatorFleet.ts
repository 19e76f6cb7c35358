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

const PLATFORM = 'platform';
const CALLER = 'caller';
const HOST_LIST_LAG_MS = 5_000;
const START_LIMIT_MS = 60_000;
const CALL_TIMEOUT_MS = 600_000;

/** A running emulated entry. */
type EmulatedEntry = {
  readonly settings: EntrySettings;
  readonly clock: ProcessClock;
  readonly kernel: Kernel;
  router: AnyTRPCRouter | null;
};

/** Changes what entries are connected to, for tests that break a part on purpose. */
export type EmulatedDecorators = {
  readonly decorateTables?: (tables: TableService) => TableService;
  readonly decorateWorkers?: (workers: WorkerClientFactory) => WorkerClientFactory;
};

/** What an emulated deployment does differently from an ordinary one. */
export type EmulatedOverrides = EmulatedDecorators & {
  /** Used by every entry, before the features that they replace parts of. */
  readonly plugins?: readonly Plugin[];
};

/** A call of an emulated caller; what is left out takes an ordinary value. */
export type EmulatedCall = Partial<CallRequest> & { readonly queue: string };

/**
 * A whole deployment in one process: real entries on an emulated clock and network, with
 * stand-ins for the platform and the workers. Everything that happens follows from the
 * settings, the seed and the calls made on it.
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

  #incarnations = 0;

  #calls = 0;

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

  /** Log lines of all entries, oldest first. */
  getLogLines(): readonly string[] {
    return this.#logLines;
  }

  /** Names of the entries that run or are paused. */
  listEntries(): readonly string[] {
    return [...this.#entries.keys()];
  }

  /** Starts all entries of the settings, one after the other. */
  async startAll(): Promise<void> {
    for (const { id } of this.settings.entries) {
      await this.startEntry(id);
    }
  }

  /** Starts an entry and waits until it serves. */
  async startEntry(id: string): Promise<void> {
    const kernel = this.createEntry(id);
    await this.time.settle(kernel.start(), START_LIMIT_MS);
  }

  /** Creates an entry without starting it; the caller starts the kernel. */
  createEntry(id: string): Kernel {
    checkInvariant(!this.#entries.has(id), `entry ${id} runs already`);
    const settings = this.settings.entries.find((entry) => entry.id === id);
    checkInvariant(settings !== undefined, `there is no entry ${id}`);
    const clock = new ProcessClock(this.time);
    this.network.open(id);
    this.#incarnations += 1;
    const kernel = buildConnectedEntry(
      {
        settings: this.settings,
        entry: settings,
        clock,
        incarnation: `incarnation-${this.#incarnations}`,
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

  /** Stops an entry in good order. */
  async stopEntry(id: string): Promise<void> {
    const { kernel } = this.#getEntry(id);
    await this.time.settle(kernel.close(), START_LIMIT_MS);
    this.killEntry(id);
  }

  /** Ends an entry without warning; connections to it are refused. */
  killEntry(id: string): void {
    this.#getEntry(id).clock.kill();
    this.network.close(id);
    this.#entries.delete(id);
  }

  /** Freezes an entry; connections to it stay open and silent. */
  pauseEntry(id: string): void {
    this.#getEntry(id).clock.pause();
  }

  /** Lets a frozen entry go on. */
  resumeEntry(id: string): void {
    this.#getEntry(id).clock.resume();
  }

  /** True while the entry exists and is frozen. */
  isPaused(id: string): boolean {
    return this.#entries.get(id)?.clock.isPaused() ?? false;
  }

  /** Gets a service of a running entry. */
  getService<Service>(id: string, token: ServiceToken<Service>): Service {
    return this.#getEntry(id).kernel.getService(token);
  }

  /** Gets the worker of a host. */
  getWorker(host: string): StandInWorker {
    const found = [...this.#workers.values()].find(({ worker }) => worker.id === host);
    checkInvariant(found !== undefined, `there is no host ${host}`);
    return found.worker;
  }

  /** Lists all workers. */
  listWorkers(): readonly StandInWorker[] {
    return [...this.#workers.values()].map(({ worker }) => worker);
  }

  /** What all workers did, oldest first. */
  listLedger(): readonly (LedgerLine & { readonly host: string })[] {
    return this.listWorkers()
      .flatMap((worker) => worker.getLedger().map((line) => ({ ...line, host: worker.id })))
      .toSorted((a, b) => a.at - b.at);
  }

  /** Makes a call at an entry; `null` when the entry never answered. */
  async call(entry: string, call: EmulatedCall, signal?: AbortSignal): Promise<CallResult | null> {
    this.#calls += 1;
    const request: CallRequest = {
      id: `call-${this.#calls}`,
      secret: null,
      priority: PriorityClass.Normal,
      timeoutMs: null,
      isRepeatable: false,
      idempotencyKey: null,
      contentType: 'application/json',
      body: Buffer.from('{}'),
      ...call,
    };
    return this.ask(entry, async (kernel) =>
      kernel.getService(CALL_SERVICE).run(request, signal ?? new AbortController().signal),
    );
  }

  /** Gives a statement to an entry; `null` when the entry never answered. */
  async operate(entry: string, text: string, operator = 'operator'): Promise<OperatorReply | null> {
    return this.ask(entry, async (kernel) =>
      kernel.getService(OPERATOR_SERVICE).run(text, operator),
    );
  }

  /** Gives a statement to an entry and moves time until it is answered. */
  async settleOperation(entry: string, text: string): Promise<OperatorReply | null> {
    return this.time.settle(this.operate(entry, text), START_LIMIT_MS);
  }

  /** Moves time forward. */
  async advance(durationMs: number): Promise<void> {
    await this.time.advance(durationMs);
  }

  /** Ends all entries. */
  close(): void {
    this.listEntries().forEach((id) => this.killEntry(id));
  }

  /** Has an entry handle a request of a caller; `null` when it never answers. */
  async ask<T>(entry: string, handle: (kernel: Kernel) => Promise<T>): Promise<T | null> {
    const { clock, kernel } = this.#getEntry(entry);
    const result = await this.network.send({
      from: { name: CALLER, clock: this.time },
      to: { name: entry, clock },
      timeoutMs: CALL_TIMEOUT_MS,
      handle: async () => handle(kernel),
    });
    return result.kind === 'answered' ? result.value : null;
  }

  #getEntry(id: string): EmulatedEntry {
    const entry = this.#entries.get(id);
    checkInvariant(entry !== undefined, `entry ${id} does not run`);
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
    const to = { name: PLATFORM, clock: time };
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
    checkInvariant(worker !== undefined, `there is no worker at ${address}`);
    return worker;
  }
}
