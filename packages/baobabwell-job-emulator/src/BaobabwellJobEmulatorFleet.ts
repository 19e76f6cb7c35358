import type { HostFaults } from './BaobabwellJobEmulatorOrders';
import type { TableFaults } from './BaobabwellJobEmulatorStore';
import type { TermContext } from '@baobabwell/controller';
import type { FleetConfiguration, ListedWorker, MaintenanceWave } from '@baobabwell/fleet';
import type { WaveState } from '@baobabwell/fleet';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, JobState, Resources, StepSpec } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';

import { Controller } from '@baobabwell/controller';
import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE } from '@baobabwell/ingress';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { Ownership } from '@baobabwell/ownership';
import { Random } from '@baobabwell/utils';

import { EmulatedCloud } from './BaobabwellJobEmulatorCloud';
import { DRAIN_MS, EmulatedHost, HEARTBEAT_MS, MAX_LEASE_MS } from './BaobabwellJobEmulatorHost';
import { JobOracle } from './BaobabwellJobEmulatorOracle';
import { EmulatedHostOrders } from './BaobabwellJobEmulatorOrders';
import {
  EmulatedJobStore,
  EmulatedRows,
  NO_STORE_FAULTS,
  NO_TABLE_FAULTS,
} from './BaobabwellJobEmulatorStore';
import { EmulatedWorkerRows, WORKERS_TABLE } from './BaobabwellJobEmulatorWorkers';

const OPERATOR_TABLE = 'operator';
const STATUS_TABLE = 'status';
const POOL = 'ovens';
const SPARE_POOL = 'storeroom';
const QUEUE = 'bakes';
/** Time after which the row of a dead host is removed, in ms. */
const HOST_ROW_LAG_MS = 4_500;

/** Longest time in which a process releases its ownership, in ms. */
const STOP_LIMIT_MS = 2_000;

const HEX = 16;
const ID_LENGTH = 16;

/** Maximum attempts of a task. */
export const MAX_ATTEMPTS = 3;

/** CPU cap of an organisation. */
export const CAP_CPU_MILLIS = 40_000;

/** Capacity with which a host starts. */
export const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** A step of four short tasks without placement constraints; tests override single fields. */
export const PLAIN_STEP: StepSpec = {
  taskCount: 4,
  need: { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 },
  estimateMs: 500,
  after: [],
  keepsCheckpoints: false,
  isGang: false,
  prefersOneRack: false,
  hostLabel: null,
  dataRack: null,
  maxPerHost: 0,
  isSpeculative: false,
  isLasting: false,
  image: '',
  tailTargetMs: 0,
  isFilling: false,
  maxAway: 0,
};

const CONFIGURATION: FleetConfiguration = {
  version: 1,
  queues: [
    {
      name: QUEUE,
      httpHost: 'bakery.example',
      pathPrefix: '/bakes/',
      pool: POOL,
      priority: 0,
      maxAttempts: MAX_ATTEMPTS,
      stretch: 1.6,
      targetLatencyMs: 600,
      isOpen: false,
      advice: null,
    },
  ],
  pools: [
    { name: POOL, isSpare: false, checksRoom: true },
    { name: SPARE_POOL, isSpare: true, checksRoom: true },
  ],
  organisations: [
    {
      name: 'guild',
      keys: ['guild-key'],
      weight: 1,
      cap: { cpuMillis: CAP_CPU_MILLIS, memoryMb: 0, gpus: 0 },
    },
  ],
  maxBodyBytes: 65_536,
};

/** One emulated process, a candidate for ownership. */
type Daemon = {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly ownership: Ownership;
  readonly controller: Controller;
  readonly store: EmulatedJobStore;
};

/** Several candidates for ownership, their hosts and their store on one clock. */
export class EmulatedJobFleet {
  readonly time = new EmulatedTime();

  readonly oracle = new JobOracle(MAX_ATTEMPTS, CAP_CPU_MILLIS);

  readonly rows = new EmulatedRows();

  readonly faults: HostFaults = {
    delayedFraction: 0,
    partitionedHosts: new Set(),
    partitionedRoutes: new Set(),
    lateAnswersMs: new Map(),
    lostOrders: new Set(),
    lateOrdersMs: new Map(),
  };

  readonly logLines: string[] = [];

  readonly #random: Random;

  readonly #hosts = new Map<string, EmulatedHost>();

  readonly #workers = new EmulatedWorkerRows(this.rows, this.time);

  readonly #daemons = new Map<string, Daemon>();

  #cloud: EmulatedCloud | null = null;

  #jobCount = 0;

  #incarnationCount = 0;

  constructor(seed: number, hostCount: number) {
    this.#random = new Random(seed);
    for (let index = 0; index < hostCount; index += 1) {
      this.startHost(`host-${index}`);
    }
  }

  /**
   * Creates the cloud interface that processes started later use: a machine for every host, and
   * `spareCount` machines in the spare pool on which nothing runs.
   */
  createCloud(spareCount: number): EmulatedCloud {
    const cloud = new EmulatedCloud(this.time, {
      findHost: (id) => this.#hosts.get(id) ?? null,
      endHost: (id) => {
        this.#hosts.get(id)?.endForOrder();
        this.killHost(id);
      },
      startWorker: (machine) => {
        this.#incarnationCount += 1;
        return this.startHost(`${machine}-${this.#incarnationCount}`).id;
      },
      isSparePool: (pool) => pool === SPARE_POOL,
    });
    this.#hosts.forEach((_, id) => cloud.addMachine(`m-${id}`, POOL, id));
    for (let index = 0; index < spareCount; index += 1) {
      cloud.addMachine(`m-spare-${index}`, SPARE_POOL, null);
    }
    this.#cloud = cloud;
    return cloud;
  }

  /** Requests a maintenance wave, as an operator does. */
  requestWave(wave: MaintenanceWave): void {
    this.#put(OPERATOR_TABLE, `wave/${wave.number}`, wave as unknown as JsonValue);
  }

  /** Finds the state of a wave as operators read it; `null` until one is written. */
  findWaveState(wave: number): JsonValue | null {
    const rows = this.rows.list({ table: STATUS_TABLE });
    return rows.find(({ key }) => key === String(wave))?.value ?? null;
  }

  /** Starts a process; an earlier one of the same name must be dead. */
  startDaemon(name: string): void {
    const clock = new ProcessClock(this.time);
    const store = new EmulatedJobStore(clock, this.time, this.#random, this.rows);
    const logger = new Logger(LogLevel.Info, { daemon: name }, (line) =>
      this.logLines.push(`${this.time.getNow()} ${line}`),
    );
    this.#incarnationCount += 1;
    const ownership = new Ownership({
      store,
      clock,
      logger,
      candidate: { name, incarnation: String(this.#incarnationCount), address: name, fitness: 0.5 },
      listener: {
        startTerm: (term) => this.#daemons.get(name)?.controller.startTerm(term),
        endTerm: () => this.#daemons.get(name)?.controller.endTerm(),
      },
    });
    const controller = new Controller({
      holder: name,
      clock,
      logger,
      metrics: new DaemonMetrics().owner,
      bounds: {
        maxHostLeaseMs: MAX_LEASE_MS,
        machineOrderDelayMs: 3_000,
        maintenanceMs: 2_000,
        cancellationMs: 3_000,
        drainMs: DRAIN_MS,
      },
      codec: {
        workersTable: WORKERS_TABLE,
        operatorTable: OPERATOR_TABLE,
        statusTable: STATUS_TABLE,
        decodeWorker: (_id, value) => value as unknown as ListedWorker,
        decodeWave: (_key, value) => value as unknown as MaintenanceWave,
        getWaveStatusKey: (wave) => String(wave),
        encodeWaveStatus: (state: WaveState) => ({ state }),
      },
      store,
      orders: new EmulatedHostOrders({
        process: name,
        clock,
        sharedClock: this.time,
        random: this.#random,
        faults: this.faults,
        findHost: (id) => this.#hosts.get(id) ?? null,
      }),
      cloud: this.#cloud,
      advisor: null,
      ownership,
      getConfiguration: () => CONFIGURATION,
    });
    this.#daemons.set(name, { name, clock, ownership, controller, store });
    void ownership.run();
    void ownership.runRenewals();
  }

  /** Ends a process in good order: it releases its ownership first. */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.#daemons.get(name);
    if (daemon !== undefined) {
      daemon.controller.endTerm();
      await this.time.settle(daemon.ownership.stop(), STOP_LIMIT_MS);
      daemon.clock.kill();
    }
  }

  killDaemon(name: string): void {
    this.#daemons.get(name)?.clock.kill();
  }

  pauseDaemon(name: string): void {
    this.#daemons.get(name)?.clock.pause();
  }

  resumeDaemon(name: string): void {
    this.#daemons.get(name)?.clock.resume();
  }

  /** Partitions one process from the store, or heals that partition. */
  partitionDaemon(name: string, isPartitioned: boolean): void {
    const daemon = this.#daemons.get(name);
    if (daemon !== undefined) {
      daemon.store.isPartitioned = isPartitioned;
    }
  }

  /** Sets the faults of one process's calls to the store that concern one table. */
  setTableFaults(name: string, table: string, faults: TableFaults): void {
    this.#daemons.get(name)?.store.tableFaults.set(table, faults);
  }

  /** Returns true while the store fails, or a process is paused or partitioned from it. */
  hasStoreOrProcessFault(): boolean {
    return (
      this.rows.faults !== NO_STORE_FAULTS ||
      [...this.#daemons.values()].some(
        ({ clock, store }) => !clock.isDead() && (clock.isPaused() || store.isPartitioned),
      )
    );
  }

  /** Keeps the watch of one process on the table of workers from being answered, or lets it be. */
  hangWorkerWatch(name: string, isHanging: boolean): void {
    this.setTableFaults(name, WORKERS_TABLE, { ...NO_TABLE_FAULTS, hasSilentWatches: isHanging });
  }

  /** Finds the process that considers itself the owner, or `null`. */
  findOwner(): string | null {
    const owners = [...this.#daemons.values()].filter(
      ({ clock, ownership }) => !clock.isDead() && ownership.canAct(),
    );
    return owners.at(-1)?.name ?? null;
  }

  listHosts(): readonly EmulatedHost[] {
    return [...this.#hosts.values()];
  }

  /** Starts a new incarnation of a host, whose row is written after a lag; kills the one before. */
  startHost(id: string, rowLagMs = 0, capacity = CAPACITY): EmulatedHost {
    const former = this.#hosts.get(id);
    former?.kill();
    const host = new EmulatedHost(id, this.time, this.oracle, capacity);
    host.checksCapacity = former?.checksCapacity ?? true;
    this.#hosts.set(id, host);
    const worker: ListedWorker = {
      id,
      address: id,
      pool: POOL,
      zone: 'north',
      labels: [],
      capacity,
      isDraining: false,
      leavesInMs: null,
      bornMs: host.bornMs,
    };
    this.#workers.put(worker, rowLagMs);
    return host;
  }

  /** Changes the capacity of a host, which reports it with its next heartbeat. */
  setCapacity(id: string, capacity: Resources): void {
    const host = this.#hosts.get(id);
    if (host !== undefined) {
      host.setCapacity(capacity);
      this.time.startTimer(HEARTBEAT_MS, () => this.#workers.update(host, { capacity }));
    }
  }

  /** Lists a host as draining; it stays and runs on. */
  drainHost(id: string): void {
    const host = this.#hosts.get(id);
    if (host !== undefined) {
      host.drainingSinceMs = this.time.getNow();
      this.#workers.update(host, { isDraining: true });
    }
  }

  /** Kills a host; its row is removed later, unless the host was started again. */
  killHost(id: string): void {
    this.#hosts.get(id)?.kill();
    this.time.startTimer(HOST_ROW_LAG_MS, () => {
      if (this.#hosts.get(id)?.isAlive === false) {
        this.#workers.remove(id);
      }
    });
  }

  /** Submits a job: stores it as any process of the fleet does, or after a lag. */
  submit(steps: readonly Partial<StepSpec>[], rowLagMs = 0): string {
    const record = this.#createRecord(steps);
    const { id } = record;
    this.oracle.jobs.set(id, record);
    const putRow = (): void =>
      this.#put(JOBS_TABLE, id, record as unknown as JsonValue, getJobPartition(id));
    if (rowLagMs === 0) {
      putRow();
    } else {
      this.time.startTimer(rowLagMs, putRow);
    }
    return id;
  }

  /** Asks the owner whether it would admit a job, which is not stored; `null` while there is no owner. */
  async offer(steps: readonly Partial<StepSpec>[]): Promise<OfferReply | null> {
    const owner = this.findOwner();
    const record = this.#createRecord(steps);
    return owner === null
      ? null
      : ((await this.#daemons.get(owner)?.controller.offer(record)) ?? null);
  }

  cancel(jobId: string): void {
    this.oracle.availability.recordCancel(jobId);
    this.oracle.cancellations.recordCancel(jobId, this.time.getNow());
    this.#put(JOBS_TABLE, `${jobId}${CANCELLED_SUFFIX}`, 1, getJobPartition(jobId));
  }

  /** Finds the state of a job as the owner reports it; `null` while there is no owner. */
  async findState(jobId: string): Promise<JobState | null> {
    const owner = this.findOwner();
    return owner === null
      ? null
      : ((await this.#daemons.get(owner)?.controller.findState(jobId)) ?? null);
  }

  /** Finds the term context of the owner; `null` while there is no owner. */
  findOwnerContext(): TermContext | null {
    const owner = this.findOwner();
    const term = owner === null ? null : this.#daemons.get(owner)?.controller.getLoadedTerm();
    return term?.context ?? null;
  }

  /** Ends all processes. */
  close(): void {
    this.#daemons.forEach(({ clock, controller }) => {
      controller.endTerm();
      clock.kill();
    });
  }

  #createRecord(steps: readonly Partial<StepSpec>[]): JobRecord {
    this.#jobCount += 1;
    return {
      id: this.#jobCount.toString(HEX).padStart(ID_LENGTH, '0'),
      queue: QUEUE,
      organisation: 'guild',
      acceptedAtMs: this.time.getWallTime(),
      spec: {
        payload: '',
        steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })),
        repeat: null,
      },
    };
  }

  #put(table: string, key: string, value: JsonValue, part = ''): void {
    this.rows.apply({ conditions: [], writes: [{ table, part, key, value }] });
  }
}
