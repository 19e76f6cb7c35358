import type { Daemon } from './BaobabwellJobEmulatorDaemon';
import type { ProcessorCosts } from './BaobabwellJobEmulatorProcessor';
import type { TableFaults } from './BaobabwellJobEmulatorStore';
import type { TermContext } from '@baobabwell/controller';
import type { MaintenanceWave, QueueSettings } from '@baobabwell/fleet';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, JobState, RepeatSpec, Resources, StepSpec } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';

import { EmulatedTime } from '@baobabwell/emulator';
import { findQueueByName } from '@baobabwell/fleet';
import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE } from '@baobabwell/ingress';
import { computeMemoryLimits } from '@baobabwell/jobs';
import { Random } from '@baobabwell/utils';

import { EmulatedCloud } from './BaobabwellJobEmulatorCloud';
import {
  CAP_CPU_MILLIS,
  CAPACITY,
  CONFIGURATION,
  MAX_ATTEMPTS,
  POOL,
  QUEUE,
  SPARE_POOL,
} from './BaobabwellJobEmulatorConfiguration';
import { createDaemon } from './BaobabwellJobEmulatorDaemon';
import { CrashRecovery, EmulatedHost, HEARTBEAT_MS } from './BaobabwellJobEmulatorHost';
import {
  createJobRecord,
  getAddress,
  getGang,
  getZone,
  ID_SEPARATOR,
} from './BaobabwellJobEmulatorNames';
import { JobOracle } from './BaobabwellJobEmulatorOracle';
import { createHostFaults } from './BaobabwellJobEmulatorOrders';
import { EmulatedPeerReports } from './BaobabwellJobEmulatorPeers';
import { NO_PROCESSOR_COSTS } from './BaobabwellJobEmulatorProcessor';
import { EmulatedRows, NO_STORE_FAULTS, NO_TABLE_FAULTS } from './BaobabwellJobEmulatorStore';
import { EVACUATION_PREFIX, OPERATOR_TABLE, STATUS_TABLE } from './BaobabwellJobEmulatorTables';
import {
  createListedWorker,
  EmulatedWorkerRows,
  WORKERS_TABLE,
} from './BaobabwellJobEmulatorWorkers';

/** Time after which the row of a dead host is removed, in ms. */
const HOST_ROW_LAG_MS = 4_500;

/** Time after which a crashed host is back, in ms. */
const CRASH_RECOVERY_MS = 3_200;

/** Longest time in which a process releases its ownership, in ms. */
const STOP_LIMIT_MS = 2_000;

/** Limit of the heap of a process, in bytes. */
const HEAP_BYTES = 200_000_000;

/** Time after which an offer counts as unanswered, in ms. */
const OFFER_TIMEOUT_MS = 1_000;

/** Several candidates for ownership, their hosts and their store on one clock. */
export class EmulatedJobFleet {
  readonly time = new EmulatedTime();

  readonly oracle = new JobOracle(MAX_ATTEMPTS, CAP_CPU_MILLIS);

  readonly rows = new EmulatedRows();

  readonly faults = createHostFaults();

  readonly logLines: string[] = [];

  /** Tasks that crash each host that starts them. */
  readonly crashingTasks = new Set<string>();

  /** Processes that do not reach their peers. */
  readonly processesWithoutPeers = new Set<string>();

  /** The operator's configuration, in force at once. */
  configuration = CONFIGURATION;

  /** What an owner may keep in memory. */
  memoryLimits = computeMemoryLimits(HEAP_BYTES);

  /** What the activities of processes started later cost. */
  processorCosts: ProcessorCosts = NO_PROCESSOR_COSTS;

  /** How a host comes back after a task crashed it. */
  crashRecovery = CrashRecovery.SameId;

  readonly #random: Random;

  readonly #hosts = new Map<string, EmulatedHost>();

  /** Rows in which the hosts report about themselves. */
  readonly workers = new EmulatedWorkerRows(this.rows, this.time);

  readonly #daemons = new Map<string, Daemon>();

  #cloud: EmulatedCloud | null = null;

  /** Time at which each evacuated zone was evacuated, in ms. */
  readonly #evacuatedAtMs = new Map<string, number>();

  readonly #zoneCount: number;

  #jobCount = 0;

  #incarnationCount = 0;

  constructor(seed: number, hostCount: number, zoneCount = 1) {
    this.#random = new Random(seed);
    this.#zoneCount = zoneCount;
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
      getZone: (machine) => getZone(machine, this.#zoneCount),
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

  /** Evacuates a zone, as an operator does. */
  evacuate(zone: string): void {
    this.#evacuatedAtMs.set(zone, this.time.getNow());
    this.#put(OPERATOR_TABLE, `${EVACUATION_PREFIX}${zone}`, {});
  }

  /** Withdraws the evacuation of a zone. */
  withdrawEvacuation(zone: string): void {
    this.#evacuatedAtMs.delete(zone);
    this.#put(OPERATOR_TABLE, `${EVACUATION_PREFIX}${zone}`, null);
  }

  /** Counts the runs on the hosts of a zone. */
  countRunsInZone(zone: string): number {
    return [...this.#hosts.values()]
      .filter(({ id }) => getZone(id, this.#zoneCount) === zone)
      .reduce((count, host) => count + host.countRuns(), 0);
  }

  /** Removes a row of the store. */
  removeRow(table: string, key: string): void {
    this.#put(table, key, null);
  }

  /** Finds the state of a wave as operators read it; `null` until one is written. */
  findWaveState(wave: number): JsonValue | null {
    const row = this.rows.list({ table: STATUS_TABLE }).find(({ key }) => key === String(wave));
    return row?.value ?? null;
  }

  /** Starts a process; an earlier one of the same name must be dead or stopped. */
  startDaemon(name: string): void {
    this.killDaemon(name);
    this.#incarnationCount += 1;
    const daemon = createDaemon({
      name,
      incarnation: String(this.#incarnationCount),
      time: this.time,
      random: this.#random,
      rows: this.rows,
      faults: this.faults,
      processorCosts: this.processorCosts,
      cloud: this.#cloud,
      peerReports: new EmulatedPeerReports(name, this.#daemons, this.processesWithoutPeers),
      findHost: (id) => this.#hosts.get(id) ?? null,
      getConfiguration: () => this.configuration,
      getMemoryLimits: () => this.memoryLimits,
      recordLine: (line) => this.logLines.push(line),
    });
    this.#daemons.set(name, daemon);
    void daemon.ownership.run();
    void daemon.ownership.runRenewals();
  }

  /**
   * Ends a process in good order: it releases its ownership first, and ends once it renews no leases on hosts
   * any more.
   */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.#daemons.get(name);
    if (daemon !== undefined) {
      const { controller, clock } = daemon;
      await this.time.settle(controller.stop(), STOP_LIMIT_MS);
      void controller.waitForLeases().then(() => clock.kill());
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

  /** Keeps the watch of one process on the operator's table from being answered, or lets it be. */
  hangOperatorWatch(name: string, isHanging: boolean): void {
    this.setTableFaults(name, OPERATOR_TABLE, { ...NO_TABLE_FAULTS, hasSilentWatches: isHanging });
  }

  /** Delays the answers to one process that concern the operator's table, those of watches without end. */
  delayOperatorTable(name: string, listAnswerMs: number): void {
    const faults = { ...NO_TABLE_FAULTS, hasSilentWatches: listAnswerMs > 0, listAnswerMs };
    this.setTableFaults(name, OPERATOR_TABLE, faults);
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
    const zone = getZone(id, this.#zoneCount);
    host.findEvacuatedAtMs = () => this.#evacuatedAtMs.get(zone) ?? null;
    host.shouldCrashOnTask = (task) => this.crashingTasks.has(task);
    host.onCrash = (task) => {
      if (this.oracle.findStep(task)?.isGang === true) {
        this.endGangMembers(task);
      }
      this.#recoverCrashedHost(host);
    };
    this.#hosts.set(id, host);
    this.workers.put(createListedWorker(host, zone, capacity), rowLagMs);
    return host;
  }

  /** Changes the capacity of a host, which reports it with its next heartbeat. */
  setCapacity(id: string, capacity: Resources): void {
    const host = this.#hosts.get(id);
    if (host !== undefined) {
      host.setCapacity(capacity);
      this.time.startTimer(HEARTBEAT_MS, () => this.workers.update(host, { capacity }));
    }
  }

  /** Lists a host as draining; it stays and runs on. */
  drainHost(id: string): void {
    const host = this.#hosts.get(id);
    if (host !== undefined) {
      host.drainingSinceMs = this.time.getNow();
      this.workers.update(host, { isDraining: true });
    }
  }

  /** Kills a host; its row is removed later, unless the host was started again. */
  killHost(id: string): void {
    this.#hosts.get(id)?.kill();
    this.time.startTimer(HOST_ROW_LAG_MS, () => {
      if (this.#hosts.get(id)?.isAlive === false) {
        this.workers.remove(id);
      }
    });
  }

  /** Ends the members of a gang whose other member ended, as the hosts do among themselves. */
  endGangMembers(task: string): void {
    this.#hosts.forEach((host) => host.endGangMembers(getGang(task)));
  }

  /** Crashes hosts in the same moment; they come back as after a crash by a task. */
  crashHosts(ids: readonly string[]): void {
    ids.forEach((id) => {
      const host = this.#hosts.get(id);
      if (host?.isAlive === true) {
        host.crash();
        this.#recoverCrashedHost(host);
      }
    });
  }

  /** Submits a job: stores it as any process of the fleet does, or after a lag. */
  submit(
    steps: readonly Partial<StepSpec>[],
    {
      rowLagMs = 0,
      repeat = null,
      queue = QUEUE,
    }: { rowLagMs?: number; repeat?: RepeatSpec | null; queue?: string } = {},
  ): string {
    const record = this.#createRecord(steps, repeat, queue);
    if (rowLagMs === 0) {
      this.#putJob(record);
    } else {
      this.oracle.jobs.set(record.id, record);
      this.time.startTimer(rowLagMs, () => this.#putJob(record));
    }
    return record.id;
  }

  /** Asks the owner whether it would admit a job, which is not stored; `null` while there is no owner. */
  async offer(steps: readonly Partial<StepSpec>[]): Promise<OfferReply | null> {
    return this.#offerRecord(this.#createRecord(steps, null));
  }

  /**
   * Offers a job to the owner and stores it unless it is refused, as any process of the fleet does; an
   * owner that does not answer in time refuses nothing.
   */
  async submitOffered(
    steps: readonly Partial<StepSpec>[],
    repeat: RepeatSpec | null = null,
  ): Promise<{ readonly id: string; readonly offer: OfferReply | null }> {
    const record = this.#createRecord(steps, repeat);
    const offer = await Promise.race([
      this.#offerRecord(record),
      this.time.wait(OFFER_TIMEOUT_MS).then(() => null),
    ]);
    if (offer?.isWanted !== false) {
      this.#putJob(record);
    }
    return { id: record.id, offer };
  }

  cancel(jobId: string): void {
    this.oracle.availability.recordCancel(jobId);
    this.oracle.cancellations.recordCancel(jobId, this.time.getNow());
    this.#put(JOBS_TABLE, `${jobId}${CANCELLED_SUFFIX}`, 1, getJobPartition(jobId));
  }

  /** Finds the state of a job as the owner reports it; `null` while there is no owner. */
  async findState(jobId: string): Promise<JobState | null> {
    const owner = this.#daemons.get(this.findOwner() ?? '');
    await this.#sendRequest(owner);
    return (await owner?.controller.findState(jobId)) ?? null;
  }

  /** Counts the waiting jobs of a queue as the owner reports them; `null` while there is no owner. */
  async countWaiting(queue: QueueSettings): Promise<number | null> {
    const owner = this.#daemons.get(this.findOwner() ?? '');
    return (await owner?.controller.countWaiting(queue)) ?? null;
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

  async #offerRecord(record: JobRecord): Promise<OfferReply | null> {
    const owner = this.#daemons.get(this.findOwner() ?? '');
    await this.#sendRequest(owner);
    return (await owner?.controller.offer(record)) ?? null;
  }

  /** Waits until a process serves a request of a peer, if requests take its time. */
  async #sendRequest(owner: Daemon | undefined): Promise<void> {
    if (owner !== undefined && this.processorCosts.requestMs > 0) {
      await owner.clock.wait(0);
      owner.processor.spend(this.processorCosts.requestMs);
    }
  }

  #putJob(record: JobRecord): void {
    const { id } = record;
    this.oracle.jobs.set(id, record);
    this.#put(JOBS_TABLE, id, record as unknown as JsonValue, getJobPartition(id));
  }

  #createRecord(
    steps: readonly Partial<StepSpec>[],
    repeat: RepeatSpec | null,
    queue = QUEUE,
  ): JobRecord {
    this.#jobCount += 1;
    const record = createJobRecord(this.#jobCount, this.time.getWallTime(), steps, repeat);
    const route = findQueueByName(this.configuration, queue) ?? undefined;
    return { ...record, queue, route };
  }

  #recoverCrashedHost(host: EmulatedHost): void {
    if (this.crashRecovery === CrashRecovery.None) {
      this.killHost(host.id);
      return;
    }
    this.time.startTimer(CRASH_RECOVERY_MS, () => {
      if (this.crashRecovery === CrashRecovery.SameId) {
        this.startHost(host.id);
        return;
      }
      const crashed = host;
      crashed.isReplaced = true;
      this.#put(WORKERS_TABLE, host.id, null);
      this.#incarnationCount += 1;
      this.startHost(`${getAddress(host.id)}${ID_SEPARATOR}${this.#incarnationCount}`);
    });
  }

  #put(table: string, key: string, value: JsonValue, part = ''): void {
    this.rows.apply({ conditions: [], writes: [{ table, part, key, value }] });
  }
}
