import type { TermContext } from './BaobabwellControllerContext';
import type { UnansweredStart } from './BaobabwellControllerHost';
import type { EarlyHosts } from './BaobabwellControllerTermLeases';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { RereadLimits, TablePosition } from './BaobabwellControllerTermTables';
import type { ListedWorker } from '@baobabwell/fleet';
import type { OfferReply } from '@baobabwell/ingress';
import type { JobRecord, Run } from '@baobabwell/jobs';
import type { Term } from '@baobabwell/ownership';
import type { Row } from '@baobabwell/platform';
import type { ClockReading } from '@baobabwell/utils';

import { setMaxListeners } from 'node:events';

import { findQueueOfJob } from '@baobabwell/fleet';
import { JOBS_TABLE } from '@baobabwell/ingress';
import { JobRegistry, TaskBudget } from '@baobabwell/jobs';
import { getWidestStepCpu, RefusalCause } from '@baobabwell/placement';
import { readClocks } from '@baobabwell/utils';

import { Committer } from './BaobabwellControllerCommitter';
import {
  ENDED_JOB_MARGIN_MS,
  HOSTS_TABLE,
  LEASE_CHECK_INTERVAL_MS,
  QUEUE_POOLS_TABLE,
} from './BaobabwellControllerConstants';
import { Copies } from './BaobabwellControllerCopies';
import { Dispatcher } from './BaobabwellControllerDispatcher';
import { EndedJobs } from './BaobabwellControllerEndedJobs';
import { Evacuations } from './BaobabwellControllerEvacuations';
import { refuteCrashes } from './BaobabwellControllerFailureReview';
import { FleetControlLoop } from './BaobabwellControllerFleetControlLoop';
import { Handover } from './BaobabwellControllerHandover';
import { Host, mayBeCarriedOut } from './BaobabwellControllerHost';
import { HostMajority } from './BaobabwellControllerHostMajority';
import { HostObserver } from './BaobabwellControllerHostObserver';
import { HostSilences } from './BaobabwellControllerHostSilences';
import { JobRates } from './BaobabwellControllerJobRates';
import { JobRows } from './BaobabwellControllerJobRows';
import { LeaseLog } from './BaobabwellControllerLeaseLog';
import { OfferAdmission } from './BaobabwellControllerOffers';
import { OperatorRequests } from './BaobabwellControllerOperatorRequests';
import { PlacementAdviceCache } from './BaobabwellControllerPlacementAdvice';
import { PossibleRuns } from './BaobabwellControllerPossibleRuns';
import { QueuePools } from './BaobabwellControllerQueuePools';
import { parseHostRow } from './BaobabwellControllerRows';
import { RunDurations } from './BaobabwellControllerRunDurations';
import { HostSession } from './BaobabwellControllerSession';
import { StartGate } from './BaobabwellControllerStartGate';
import { restoreStoredStarts } from './BaobabwellControllerStoredStarts';
import { StoreOutage } from './BaobabwellControllerStoreOutage';
import { TermLeases } from './BaobabwellControllerTermLeases';
import { findCommonPosition, TermTables } from './BaobabwellControllerTermTables';

const SECOND_MS = 1_000;

/** One term of an owner. All its state in memory is created and discarded with the term. */
export class OwnerTerm {
  readonly context: TermContext;

  readonly #abortController = new AbortController();

  readonly #sessions = new Map<string, HostSession>();

  /** Unanswered starts of hosts whose session ended, by host and run: a later listing may carry them out. */
  readonly #unansweredStarts = new Map<string, ReadonlyMap<string, UnansweredStart>>();

  readonly #committer: Committer;

  readonly #dispatcher: Dispatcher;

  readonly #fleetControlLoop: FleetControlLoop;

  readonly #admission: OfferAdmission;

  readonly #tables: TermTables;

  readonly #jobRows: JobRows;

  readonly #endedJobs: EndedJobs;

  readonly #operatorRequests: OperatorRequests;

  readonly #runDurations: RunDurations;

  readonly #storeOutage: StoreOutage;

  readonly #leases: TermLeases;

  #isLoaded = false;

  constructor(options: TermOptions, term: Term) {
    const jobRegistry = new JobRegistry(
      (record) => findQueueOfJob(options.getConfiguration(), record),
      new TaskBudget(options.getMemoryLimits().tasks),
    );
    const hosts = new Map<string, Host>();
    this.#runDurations = new RunDurations(options);
    const { signal } = this.#abortController;
    this.#storeOutage = new StoreOutage({ ...options, signal });
    const getJobsAgeMs = (): number => this.#tables.getAgeMs(JOBS_TABLE);
    const getRequestsAgeMs = (): number => this.#tables.getAgeMs(options.codec.operatorTable);
    const requestDispatch = (): void => this.#dispatcher.request();
    const base = { ...options, term, hosts, jobRegistry, signal, requestDispatch };
    const queuePools = new QueuePools(base);
    this.context = {
      ...base,
      durations: this.#runDurations.estimator,
      runDurations: this.#runDurations,
      jobRates: new JobRates(options),
      copies: new Copies({ ...options, hosts, durations: this.#runDurations.estimator }),
      evacuations: new Evacuations(),
      handover: new Handover({ ...options, term, signal: this.#abortController.signal }),
      hostMajority: new HostMajority({ ...options, hosts, term }),
      hostObserver: new HostObserver({ ...base, durations: this.#runDurations.estimator }),
      hostSilences: new HostSilences(),
      leaseLog: new LeaseLog({ ...options, term }),
      possibleRuns: new PossibleRuns({ ...base, queuePools }),
      queuePools,
      waves: new Map(),
      requestCommit: () => this.#committer.request(),
      storeProgress: async (job) => this.#committer.storeProgress(job),
      stopRun: (run, reason) => this.#stopRun(run, reason),
      getJobsAgeMs,
      getRequestsAgeMs,
      startGate: new StartGate({
        ...options,
        getJobsAgeMs,
        getRequestsAgeMs,
        storeOutage: this.#storeOutage,
      }),
      getWorkersAgeMs: () => this.#tables.getAgeMs(options.codec.workersTable),
    };
    this.#runDurations.registerHandover(this.context.handover);
    this.#tables = new TermTables(this.context);
    this.#leases = new TermLeases(this.context);
    const { endedJobMs } = options.bounds;
    this.#endedJobs = new EndedJobs(this.context, endedJobMs + ENDED_JOB_MARGIN_MS);
    this.#jobRows = new JobRows(this.context, this.#endedJobs);
    this.#operatorRequests = new OperatorRequests(this.context, () =>
      this.#fleetControlLoop.requestRound(),
    );
    this.#committer = new Committer(this.context, (id) => this.#sessions.get(id)?.requestHold());
    const advice = new PlacementAdviceCache(this.context);
    this.#dispatcher = new Dispatcher(
      this.context,
      (id) => this.#sessions.get(id) ?? null,
      (step, queue) => advice.findTickets(step, queue),
    );
    // Every host session and every watch listens on this signal for the end of the term.
    setMaxListeners(0, this.#abortController.signal);
    this.#fleetControlLoop = new FleetControlLoop(
      this.context,
      (id, reason) => this.#recordDeparture(id, reason),
      (id, reason) => this.#sessions.get(id)?.recordIncarnationEnd(reason),
    );
    this.#admission = new OfferAdmission(this.context, (pool) =>
      this.#fleetControlLoop.getPoolCapacity(pool),
    );
  }

  /** True once all persisted state has been read. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Decides whether to admit a job; a job that is already tracked is admitted. */
  offer(record: JobRecord): OfferReply {
    const { jobRegistry, logger, metrics, getConfiguration } = this.context;
    const queue = findQueueOfJob(getConfiguration(), record);
    if (jobRegistry.findJob(record.id) !== null || queue === null) {
      return { isWanted: true, refusals: [] };
    }
    const decision = this.#admission.decide(record, queue);
    if (!decision.isWanted) {
      const { cause, reason, retryAfterMs } = decision;
      if (cause !== RefusalCause.TooLarge && cause !== RefusalCause.Memory) {
        this.#fleetControlLoop.recordRefusal(queue.pool, getWidestStepCpu(record.spec));
      }
      metrics.refusedJobs.inc({ queue: queue.name, reason: cause });
      logger.recordInfo('job-refused', {
        job: record.id,
        queue: queue.name,
        cause,
        reason,
        retryAfterMs,
        ...this.#admission.describeBasis(queue),
      });
    }
    return { ...decision, refusals: this.#admission.listRefusals(queue.name) };
  }

  /** Ends the term: no further orders are sent. */
  end(): void {
    this.#abortController.abort();
    this.#leases.stop();
    this.context.metrics.resetGauges();
  }

  /** Renews the leases on hosts after the term has ended by a release; see {@link TermLeases}. */
  async keepLeases(releasedAt: ClockReading): Promise<void> {
    await this.#leases.keepAfterRelease(releasedAt);
  }

  /** Reads the persisted state, then runs the control loops until the term ends. */
  async run(earlyHosts: EarlyHosts | null): Promise<void> {
    const { clock, logger, metrics, term, codec, ownership, signal } = this.context;
    const startedAt = readClocks(clock);
    // Not awaited: what the former owner learned may come later or not at all.
    void this.context.handover.load();
    const hostsRead = this.#leases.loadHosts(this.#tables, startedAt, earlyHosts);
    this.#fleetControlLoop.load();
    const jobs = this.#jobRows.load(this.#tables, term.startVersion);
    const [workers, requests, queuePools] = await this.#tables.readAll(
      [codec.workersTable, codec.operatorTable, QUEUE_POOLS_TABLE].map((table) => ({ table })),
      term.startVersion,
    );
    const [hosts, jobsPosition] = await Promise.all([hostsRead, jobs]);
    if (signal.aborted) {
      return;
    }
    this.#leases.finishLoad();
    this.context.queuePools.load(queuePools?.rows ?? []);
    // Without a pause: the first answers of hosts are counted against all hosts of former owners.
    hosts?.rows.forEach((row) => this.#applyHostRow(row));
    restoreStoredStarts(this.context);
    workers?.rows.forEach((row) => this.#applyWorkerRow(row));
    requests?.rows.forEach((row) => this.#operatorRequests.apply(row));
    this.#isLoaded = true;
    ownership.recordLoaded(term);
    this.#jobRows.finishLoad();
    metrics.terms.inc({ start: term.isHandover ? 'handover' : 'takeover' });
    metrics.termLoadSeconds.observe((clock.getNow() - startedAt.monotonicMs) / SECOND_MS);
    logger.recordInfo('term-loaded', {
      epoch: term.epoch,
      tookMs: Math.round(clock.getNow() - startedAt.monotonicMs),
      jobs: [...this.context.jobRegistry.listJobs()].length,
      endedJobs: this.#endedJobs.countFormer(),
      hosts: this.context.hosts.size,
    });
    this.#committer.request();
    const startPosition = { version: 0, requestedAt: startedAt };
    await Promise.all([
      this.#committer.run(),
      this.context.queuePools.run(),
      this.#dispatcher.run(),
      this.#fleetControlLoop.run(),
      this.#runDurations.run(signal),
      this.#jobRows.runPruning(),
      this.#endedJobs.run(),
      this.#watchLease(),
      this.#storeOutage.run(),
      this.#watch(JOBS_TABLE, jobsPosition ?? startPosition, (row) => this.#jobRows.apply(row)),
      this.#watch(codec.workersTable, workers ?? startPosition, (row) => this.#applyWorkerRow(row)),
      this.#watch(HOSTS_TABLE, hosts ?? startPosition, (row) => this.#committer.recordHostRow(row)),
      this.#watch(codec.operatorTable, requests ?? startPosition, (row) =>
        this.#operatorRequests.apply(row),
      ),
    ]);
  }

  async #watch(table: string, from: TablePosition, apply: (row: Row) => void): Promise<void> {
    await this.#tables.watch(table, from, apply, {
      // Only changes after the watched version can be missing from the history.
      rereadCompacted: async (version) =>
        this.#rereadTable(table, apply, { appliedVersion: version, minVersion: version + 1 }),
      // A store that answers no renewal answers no read either.
      rereadUnwatched: async (version) =>
        this.context.ownership.canAct()
          ? this.#rereadTable(table, apply, {
              appliedVersion: version,
              minVersion: version,
              maxAttempts: 1,
            })
          : null,
    });
  }

  async #rereadTable(
    table: string,
    apply: (row: Row) => void,
    limits: RereadLimits,
  ): Promise<TablePosition | null> {
    const { minVersion, maxAttempts } = limits;
    if (table === JOBS_TABLE) {
      return this.#jobRows.reread(this.#tables, limits);
    }
    const pages = await this.#tables.readAll([{ table }], minVersion, maxAttempts);
    const position = findCommonPosition(pages);
    if (position === null) {
      return null;
    }
    const rows = pages.flatMap((page) => page?.rows ?? []);
    rows.forEach(apply);
    if (table === this.context.codec.workersTable) {
      const present = new Set(rows.map(({ key }) => key));
      this.context.hosts.forEach((host, id) => {
        if (host.listedWorker !== null && !present.has(id)) {
          this.#applyWorkerRow({ key: id, value: null, version: 0 });
        }
      });
    }
    if (table === this.context.codec.operatorTable) {
      this.#operatorRequests.withdrawMissing(rows, position.version);
    }
    return position;
  }

  #applyHostRow(stored: Row): void {
    const { key, value } = stored;
    this.#committer.recordHostRow(stored);
    const row = parseHostRow(value);
    if (row !== null) {
      const host = this.#leases.createHost(key, row);
      this.context.hostMajority.addFormerHost(host);
      this.#addHost(host, { bornMs: row.bornMs, isRegistered: true });
    }
  }

  #applyWorkerRow({ key, value }: Row): void {
    const { codec, logger, hosts, requestDispatch, requestCommit } = this.context;
    const worker = value === null ? null : codec.decodeWorker(key, value);
    const trackedHost = hosts.get(key);
    if (worker === null) {
      if (value !== null) {
        logger.recordWarning('worker-row-ignored', { key });
      } else if (trackedHost?.listedWorker) {
        trackedHost.updateListing(null, this.#getNow());
        logger.recordInfo('host-unlisted', { host: key, pool: trackedHost.pool });
        this.#sessions.get(key)?.requestHold();
      }
      return;
    }
    refuteCrashes(this.context, worker);
    if (trackedHost === undefined) {
      // No owner has started runs on an incarnation that is not stored.
      const host = new Host(
        { id: key, address: worker.address },
        worker.pool,
        worker,
        this.#getNow(),
      );
      this.#addHost(host, { bornMs: worker.bornMs, isRegistered: false });
      host.isReconciled = true;
      host.history.hasKnownPositions = true;
      const { pool, address, zone, coldLeftMs } = worker;
      logger.recordInfo('host-listed', { host: key, pool, address, zone, coldLeftMs });
      requestCommit();
      return;
    }
    this.#updateHost(trackedHost, worker);
    requestDispatch();
  }

  #updateHost(trackedHost: Host, worker: ListedWorker): void {
    const { logger } = this.context;
    if (trackedHost.pool !== worker.pool || trackedHost.incarnation.address !== worker.address) {
      logger.recordWarning('host-changed', { host: worker.id, pool: worker.pool });
      this.#sessions.get(worker.id)?.recordIncarnationEnd('listed with another pool or address');
      const { id, address, pool } = worker;
      this.#addHost(new Host({ id, address }, pool, worker, this.#getNow()), {
        bornMs: worker.bornMs,
        isRegistered: false,
      });
      this.context.requestCommit();
      return;
    }
    const host = trackedHost;
    if (worker.isDraining && host.listedWorker?.isDraining !== true) {
      logger.recordInfo('host-draining', { host: worker.id, leavesInMs: worker.leavesInMs });
      this.#fleetControlLoop.requestRound();
    }
    host.updateListing(worker, this.#getNow());
    this.#operatorRequests.updateHost(host);
    if (worker.bornMs !== null && host.bornMs !== null && worker.bornMs > host.bornMs) {
      this.#sessions.get(worker.id)?.recordRestart(worker.bornMs);
    }
    host.bornMs ??= worker.bornMs;
    this.#sessions.get(worker.id)?.requestHold();
  }

  #addHost(added: Host, state: { readonly bornMs: number | null; readonly isRegistered: boolean }) {
    const { hosts, requestDispatch } = this.context;
    const host = added;
    host.bornMs = state.bornMs ?? host.bornMs;
    host.isRegistered = state.isRegistered;
    host.mayBeStored = state.isRegistered;
    this.#operatorRequests.updateHost(host);
    const former = hosts.get(host.incarnation.id);
    const unanswered = former?.unansweredStarts ?? this.#unansweredStarts.get(host.incarnation.id);
    this.#unansweredStarts.delete(host.incarnation.id);
    host.addUnansweredStarts(unanswered ?? new Map(), this.#getNow());
    hosts.set(host.incarnation.id, host);
    const session = new HostSession(this.context, host);
    this.#sessions.set(host.incarnation.id, session);
    void session.run().then(() => {
      if (hosts.get(host.incarnation.id) === host) {
        hosts.delete(host.incarnation.id);
        this.#sessions.delete(host.incarnation.id);
        this.#recordUnansweredStarts(host);
        this.#committer.removeHost(host.incarnation.id);
      }
    });
    requestDispatch();
  }

  #recordUnansweredStarts({ incarnation, unansweredStarts }: Host): void {
    const nowMs = this.#getNow();
    this.#unansweredStarts.forEach((starts, id) => {
      if (![...starts.values()].some((start) => mayBeCarriedOut(start, nowMs))) {
        this.#unansweredStarts.delete(id);
      }
    });
    if (unansweredStarts.size > 0) {
      this.#unansweredStarts.set(incarnation.id, unansweredStarts);
    }
  }

  /**
   * Records that a host was moved or went down. Nothing runs on it any more, so no later owner has to
   * call it.
   */
  #recordDeparture(hostId: string, reason: string): void {
    const host = this.context.hosts.get(hostId);
    this.#sessions.get(hostId)?.recordDeparture(reason);
    if (host?.runs.size === 0 && host.isReconciled) {
      host.isRegistered = false;
      this.#committer.removeHost(hostId);
    }
  }

  #stopRun(run: Run, reason: string): void {
    void this.#sessions.get(run.hostId)?.stopRun(run, reason);
  }

  /** Has idle hosts held as well once the owner's lease has expired for some time. */
  async #watchLease(): Promise<void> {
    const { clock, signal, hostMajority } = this.context;
    let shouldHoldAll = false;
    while (!signal.aborted) {
      await clock.wait(LEASE_CHECK_INTERVAL_MS, signal);
      hostMajority.updateCounts();
      const hadToHoldAll = shouldHoldAll;
      shouldHoldAll = hostMajority.shouldHoldAll();
      if (shouldHoldAll && !hadToHoldAll) {
        this.#sessions.forEach((session) => session.requestHold());
      }
    }
  }

  #getNow(): number {
    return this.context.clock.getNow();
  }
}
