import type { HostFaults } from './BaobabwellJobEmulatorOrders';
import type { TermContext } from '@baobabwell/controller';
import type { FleetConfiguration, ListedWorker, MaintenanceWave } from '@baobabwell/fleet';
import type { WaveState } from '@baobabwell/fleet';
import type { JobRecord, JobState, StepSpec } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';

import { Controller } from '@baobabwell/controller';
import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE } from '@baobabwell/ingress';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { Ownership } from '@baobabwell/ownership';
import { Random } from '@baobabwell/utils';

import { EmulatedCloud } from './BaobabwellJobEmulatorCloud';
import { EmulatedHost } from './BaobabwellJobEmulatorHost';
import { JobOracle } from './BaobabwellJobEmulatorOracle';
import { EmulatedHostOrders } from './BaobabwellJobEmulatorOrders';
import { EmulatedJobStore, EmulatedRows } from './BaobabwellJobEmulatorStore';

const WORKERS_TABLE = 'workers';
const OPERATOR_TABLE = 'operator';
const STATUS_TABLE = 'status';
const POOL = 'ovens';
const SPARE_POOL = 'storeroom';
const QUEUE = 'bakes';
/** Time after which the entry of a dead host goes, in ms. */
const HOST_ROW_LAG_MS = 4_500;

const HEX = 16;
const ID_LENGTH = 16;

/** Attempts that a task has, and processor that an organisation may use. */
export const MAX_ATTEMPTS = 3;
export const CAP_CPU_MILLIS = 40_000;

const CAPACITY = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** A step of four short tasks without any wish; tests change what they need. */
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

/** One emulated process. */
type Daemon = {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly ownership: Ownership;
  readonly controller: Controller;
  readonly store: EmulatedJobStore;
};

/** Several owners-to-be, their hosts and their store on one clock. */
export class EmulatedJobFleet {
  readonly time = new EmulatedTime();

  readonly oracle = new JobOracle(MAX_ATTEMPTS, CAP_CPU_MILLIS);

  readonly rows = new EmulatedRows();

  readonly faults: HostFaults = {
    delayedFraction: 0,
    partitionedHosts: new Set(),
    partitionedRoutes: new Set(),
  };

  readonly logLines: string[] = [];

  readonly #random: Random;

  readonly #hosts = new Map<string, EmulatedHost>();

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

  /** Gives every host a machine, adds some that are off, and lets owners order them. */
  createCloud(spareCount: number): EmulatedCloud {
    const cloud = new EmulatedCloud(this.time, {
      findHost: (id) => this.#hosts.get(id) ?? null,
      killHost: (id) => this.killHost(id),
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

  /** Asks for the upkeep of machines, as the operator does. */
  requestWave(wave: MaintenanceWave): void {
    this.#put(OPERATOR_TABLE, `wave/${wave.number}`, wave as unknown as JsonValue);
  }

  /** State of a wave as the operator reads it; `null` while none was written. */
  findWaveState(wave: number): JsonValue | null {
    const rows = this.rows.list({ table: STATUS_TABLE });
    return rows.find(({ key }) => key === String(wave))?.value ?? null;
  }

  /** Starts a process; one of the same name must be dead. */
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
        maxHostLeaseMs: 6_000,
        machineOrderDelayMs: 3_000,
        maintenanceMs: 2_000,
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

  killDaemon(name: string): void {
    this.#daemons.get(name)?.clock.kill();
  }

  pauseDaemon(name: string): void {
    this.#daemons.get(name)?.clock.pause();
  }

  resumeDaemon(name: string): void {
    this.#daemons.get(name)?.clock.resume();
  }

  /** Lets the store turn one process away, or serve it again. */
  partitionDaemon(name: string, isPartitioned: boolean): void {
    const daemon = this.#daemons.get(name);
    if (daemon !== undefined) {
      daemon.store.isPartitioned = isPartitioned;
    }
  }

  /** The process that is the owner as far as it knows, or `null`. */
  findOwner(): string | null {
    const owners = [...this.#daemons.values()].filter(
      ({ clock, ownership }) => !clock.isDead() && ownership.canAct(),
    );
    return owners.at(-1)?.name ?? null;
  }

  listHosts(): readonly EmulatedHost[] {
    return [...this.#hosts.values()];
  }

  /** Starts a life of a host, in place of the one before. */
  startHost(id: string): EmulatedHost {
    this.#hosts.get(id)?.kill();
    const host = new EmulatedHost(id, this.time, this.oracle, CAPACITY);
    this.#hosts.set(id, host);
    const worker: ListedWorker = {
      id,
      address: id,
      pool: POOL,
      zone: 'north',
      labels: [],
      capacity: CAPACITY,
      isDraining: false,
      leavesInMs: null,
      bornMs: host.bornMs,
    };
    this.#put(WORKERS_TABLE, id, worker as unknown as JsonValue);
    return host;
  }

  /** Ends the life of a host; its entry goes later. */
  killHost(id: string): void {
    this.#hosts.get(id)?.kill();
    this.time.startTimer(HOST_ROW_LAG_MS, () => {
      if (this.#hosts.get(id)?.isAlive === false) {
        this.#put(WORKERS_TABLE, id, null);
      }
    });
  }

  /** Hands a job in, as any process of the fleet would store it. */
  submit(steps: readonly Partial<StepSpec>[]): string {
    this.#jobCount += 1;
    const id = this.#jobCount.toString(HEX).padStart(ID_LENGTH, '0');
    const record: JobRecord = {
      id,
      queue: QUEUE,
      organisation: 'guild',
      acceptedAtMs: this.time.getWallTime(),
      spec: {
        payload: '',
        steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })),
        repeat: null,
      },
    };
    this.oracle.jobs.set(id, record);
    this.#put(JOBS_TABLE, id, record as unknown as JsonValue, getJobPartition(id));
    return id;
  }

  cancel(jobId: string): void {
    this.#put(JOBS_TABLE, `${jobId}${CANCELLED_SUFFIX}`, 1, getJobPartition(jobId));
  }

  /** State of a job as the owner shows it; `null` while there is no owner. */
  async findState(jobId: string): Promise<JobState | null> {
    const owner = this.findOwner();
    return owner === null
      ? null
      : ((await this.#daemons.get(owner)?.controller.findState(jobId)) ?? null);
  }

  /** What the owner knows; `null` while there is none. */
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

  #put(table: string, key: string, value: JsonValue, part = ''): void {
    this.rows.apply({ conditions: [], writes: [{ table, part, key, value }] });
  }
}
