import type { TermContext } from './BaobabwellControllerContext';
import type { ReadyStep, UrgentStep } from './BaobabwellControllerFairOrder';
import type { Host } from './BaobabwellControllerHost';
import type { HostSession } from './BaobabwellControllerSession';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Resources, Run, Step } from '@baobabwell/jobs';
import type { Allowance, EjectedHostOffer, Placement, PlacementHost } from '@baobabwell/placement';

import { findQueueOfJob } from '@baobabwell/fleet';
import { HostAdmission, SoleAdmission } from '@baobabwell/host-health';
import { CrashSuspicion, NO_RESOURCES, RunPhase } from '@baobabwell/jobs';
import { compareUrgency, decidePlacements, getUrgency } from '@baobabwell/placement';
import { Activity } from '@baobabwell/processor-time';
import { WakeSignal } from '@baobabwell/utils';

import {
  DISPATCH_DELAY_FACTOR,
  MAX_DISPATCH_WAIT_MS,
  MAX_PENDING_STARTS,
  MAX_START_STORE_MS,
  MIN_DISPATCH_DELAY_MS,
  RUNS_PER_TERM,
  START_TRANSIT_MS,
  START_SURVIVAL_MS,
} from './BaobabwellControllerConstants';
import { placeCopies } from './BaobabwellControllerCopyPlacement';
import { settleFailures } from './BaobabwellControllerFailureReview';
import { FairOrder } from './BaobabwellControllerFairOrder';
import { isHostViewTooOld } from './BaobabwellControllerHostView';

const SECOND_MS = 1_000;

/** Share of the capacity of an ejected host that a probe may use. */
const PROBE_SHARE = 0.25;

/** Interval at which runs that take long are looked for, in ms. */
const COPY_INTERVAL_MS = 100;

/** Finds the tickets with which a step may start, by host; `null` when it requires none. */
export type TicketFinder = (
  step: Step,
  queue: QueueSettings | null,
) => ReadonlyMap<string, string> | null;

/** Returns true for a run whose start its host has not yet been seen to survive. */
function isStarting(run: Run, nowMs: number): boolean {
  const { phase, answeredAtMs, startClockMs, startSentAtMs } = run;
  if (phase === RunPhase.StartPending) {
    return nowMs - startSentAtMs < MAX_START_STORE_MS;
  }
  return startClockMs === null || answeredAtMs === null || nowMs - answeredAtMs < START_SURVIVAL_MS;
}

/** What an ejected host may receive. */
type EjectedAdmission = {
  readonly admission: HostAdmission;
  readonly soleAdmission: SoleAdmission;
};

/** Returns the resources that a host offers to probes; none while one runs there. */
function getProbeResources(host: Host, admission: HostAdmission): Resources {
  if (host.hasShortRuns) {
    return NO_RESOURCES;
  }
  const free = host.getFreeResources();
  const { cpuMillis, memoryMb } = host.getCapacity();
  return admission === HostAdmission.AnyProbe
    ? free
    : {
        cpuMillis: Math.min(free.cpuMillis, cpuMillis * PROBE_SHARE),
        memoryMb: Math.min(free.memoryMb, memoryMb * PROBE_SHARE),
        gpus: 0,
      };
}

/** Number of probes that an ejected host may receive in one round. */
const PROBE_COUNTS: Readonly<Record<HostAdmission, number>> = {
  [HostAdmission.Full]: Infinity,
  [HostAdmission.Probe]: Infinity,
  [HostAdmission.AnyProbe]: 1,
  [HostAdmission.None]: 0,
};

/** Returns what a host offers; `null` for one that offers all that is free. */
function createEjectedOffer(
  host: Host,
  { admission, soleAdmission }: EjectedAdmission,
): EjectedHostOffer | null {
  if (admission === HostAdmission.Full) {
    return null;
  }
  const isProbe = soleAdmission === SoleAdmission.Probe && !host.hasShortRuns;
  const soleProbeCount = isProbe ? 1 : 0;
  return {
    probeResources: getProbeResources(host, admission),
    probeCount: PROBE_COUNTS[admission],
    soleCount: soleAdmission === SoleAdmission.Full ? Infinity : soleProbeCount,
  };
}

/**
 * Creates the description of a host for one round.
 *
 * @param startingAtMs time of the round, in ms, or `null` when no task is a suspect: then the runs that
 * are starting make no difference.
 */
function createPlacementHost(
  host: Host,
  nowMs: number,
  startingAtMs: number | null,
  ejectedAdmission: EjectedAdmission,
): PlacementHost {
  const startingRuns =
    startingAtMs === null
      ? []
      : [...host.runs.values()].filter((run) => isStarting(run, startingAtMs));
  return {
    id: host.incarnation.id,
    pool: host.pool,
    labels: host.listedWorker?.labels ?? [],
    freeResources: host.getFreeResources(),
    shortTaskResources: host.getShortTaskResources(),
    ejectedOffer: createEjectedOffer(host, ejectedAdmission),
    servingCount: host.servingCount,
    bestEffortCount: host.bestEffortCount,
    coldLeftMs: host.getColdLeftMs(nowMs),
    hasLongRunning: host.longRunningCount > 0,
    runCount: host.runs.size,
    startingCount: startingRuns.length,
    isStartingSuspect: startingRuns.some(
      ({ task }) => task.crashes.suspicion !== CrashSuspicion.None,
    ),
  };
}

/** Places waiting tasks on hosts and starts their runs. */
export class Dispatcher {
  readonly #context: TermContext;

  readonly #getSession: (hostId: string) => HostSession | null;

  readonly #findTickets: TicketFinder;

  readonly #wakeSignal: WakeSignal;

  #isRequested = false;

  readonly #fairOrder: FairOrder;

  #copiedAtMs = -Infinity;

  /** Number of start orders that have no answer yet. */
  #pendingStarts = 0;

  /** True when the last round placed as many tasks as it might: the next one goes on with the answers. */
  #hasSpentBudget = false;

  /** Pools in which a task waited at the end of the last round. */
  #waitingPools: ReadonlySet<string> = new Set();

  /** True while no runs are started in some pools because the view of their hosts is too old. */
  #isWithholding = false;

  constructor(
    context: TermContext,
    getSession: (hostId: string) => HostSession | null,
    findTickets: TicketFinder,
  ) {
    this.#context = context;
    this.#wakeSignal = new WakeSignal(context.clock);
    this.#fairOrder = new FairOrder(context);
    this.#getSession = getSession;
    this.#findTickets = findTickets;
  }

  /** Requests a round of placements. */
  request(): void {
    this.#isRequested = true;
    this.#wakeSignal.notify();
  }

  /** Runs rounds of placements until the term ends. */
  async run(): Promise<void> {
    const { signal, clock, processorTime } = this.#context;
    let delayMs = MIN_DISPATCH_DELAY_MS;
    while (!signal.aborted) {
      await clock.wait(delayMs, signal);
      if (!this.#isRequested) {
        await this.#wakeSignal.wait(MAX_DISPATCH_WAIT_MS, signal);
      }
      this.#isRequested = false;
      settleFailures(this.#context);
      const maxVersion = this.#context.startGate.findMaxStartableVersion();
      if (!signal.aborted && maxVersion !== null) {
        const startedAtMs = clock.getNow();
        const { spentMs: sendingBeforeMs } = processorTime.get(Activity.Starts);
        processorTime.measure(Activity.Placement, () => this.placeOnce(maxVersion));
        if (startedAtMs - this.#copiedAtMs >= COPY_INTERVAL_MS) {
          this.#copiedAtMs = startedAtMs;
          processorTime.measure(Activity.Copies, () => this.#placeCopies(maxVersion));
        }
        // Orders have to be sent in any case; only decisions are repeated by the next round.
        const sendingMs = processorTime.get(Activity.Starts).spentMs - sendingBeforeMs;
        const decisionMs = clock.getNow() - startedAtMs - sendingMs;
        delayMs = Math.max(MIN_DISPATCH_DELAY_MS, DISPATCH_DELAY_FACTOR * decisionMs);
      }
    }
  }

  /** Places all tasks that can start now, of jobs accepted up to the given version of the store. */
  placeOnce(maxVersion: number): void {
    const withheldPools = this.#listWithheldPools();
    const { processorTime } = this.#context;
    const ready = processorTime.measure(Activity.Order, () => this.listReadySteps());
    const steps = ready.filter(
      ({ step, pool }) => step.job.acceptedVersion <= maxVersion && !withheldPools.has(pool),
    );
    if (steps.length > 0) {
      this.#placeSteps(steps);
    }
    const waiting = ready.filter(({ step }) => step.waitingCount > 0);
    this.#waitingPools = new Set(waiting.map(({ pool }) => pool));
  }

  #placeSteps(steps: readonly ReadyStep[]): void {
    const nowMs = this.#context.clock.getNow();
    const tickets = new Map<Step, ReadonlyMap<string, string> | null>();
    steps.forEach(({ step, queue }) => tickets.set(step, this.#findTickets(step, queue)));
    const startBudget = this.#getStartBudget();
    const placements = decidePlacements({
      hasSuspects: this.#context.jobRegistry.hasSuspects(),
      startBudget,
      nowMs,
      steps,
      hosts: this.#listHosts(nowMs, new Set(steps.map(({ pool }) => pool))),
      allowances: this.#listAllowances(),
      findAllowedHosts: (step) => tickets.get(step) ?? null,
    });
    this.#hasSpentBudget = placements.length >= startBudget.left;
    this.#startPlacements(placements, tickets);
  }

  /** Returns how many tasks may be placed: orders without an answer, and runs, take memory. */
  #getStartBudget(): { readonly left: number; readonly total: number } {
    const { hosts, getMemoryLimits } = this.#context;
    let runCount = 0;
    hosts.forEach(({ runs }) => {
      runCount += runs.size;
    });
    const left = Math.min(
      MAX_PENDING_STARTS - this.#pendingStarts,
      getMemoryLimits().runs - runCount,
    );
    return { left, total: MAX_PENDING_STARTS };
  }

  #placeCopies(maxVersion: number): void {
    placeCopies(this.#context, maxVersion, {
      listClosedPools: () => [
        ...this.#context.possibleRuns.listUnreconciledPools(),
        ...this.#listWithheldPools(),
        ...this.#waitingPools,
      ],
      listHosts: (pools) => this.#listHosts(this.#context.clock.getNow(), pools),
      listAllowances: () => this.#listAllowances(),
      findTickets: this.#findTickets,
      startPlacements: (placements, tickets) => this.#startPlacements(placements, tickets),
    });
  }

  /** Lists the steps with waiting tasks in the order in which they are placed. */
  listReadySteps(): readonly ReadyStep[] {
    const { jobRegistry, clock, durations, getConfiguration, possibleRuns, queuePools } =
      this.#context;
    const nowMs = clock.getNow();
    const wallMs = clock.getWallTime();
    const configuration = getConfiguration();
    const unreconciledPools = possibleRuns.listUnreconciledPools();
    const ready: UrgentStep[] = [];
    for (const job of jobRegistry.listOpenJobs()) {
      const queue = findQueueOfJob(configuration, job.record);
      if (
        queue !== null &&
        queuePools.canStart(job.record.queue, queue.pool) &&
        !possibleRuns.mayRunUnknown(job, unreconciledPools)
      ) {
        jobRegistry
          .listReadySteps(job, wallMs)
          .filter(({ waitingCount }) => waitingCount > 0)
          .forEach((step) => {
            const urgency = getUrgency(step, queue, durations, nowMs, wallMs);
            ready.push({ step, pool: queue.pool, queue, urgency });
          });
      }
    }
    return this.#fairOrder.sort(
      ready.toSorted((left, right) => compareUrgency(left.urgency, right.urgency)),
    );
  }

  /** Lists the pools whose hosts may have changed too long ago without the owner knowing. */
  #listWithheldPools(): ReadonlySet<string> {
    const { ownership, bounds, logger, getConfiguration, getWorkersAgeMs } = this.#context;
    const ageMs = getWorkersAgeMs();
    const view = {
      ageMs,
      maxAgeMs: bounds.drainMs - START_TRANSIT_MS,
      canRenew: ownership.canAct(),
    };
    const pools = (getConfiguration()?.pools ?? [])
      .filter(({ checksRoom }) => isHostViewTooOld(view, checksRoom))
      .map(({ name }) => name);
    const isWithholding = pools.length > 0;
    const fields = { pools: pools.length, workersAgeMs: Math.round(ageMs) };
    if (isWithholding && !this.#isWithholding) {
      logger.recordWarning('starts-withheld', fields);
    } else if (!isWithholding && this.#isWithholding) {
      logger.recordInfo('starts-resumed', fields);
    }
    this.#isWithholding = isWithholding;
    return new Set(pools);
  }

  #listHosts(
    nowMs: number,
    pools: ReadonlySet<string>,
  ): ReadonlyMap<string, readonly PlacementHost[]> {
    const byPool = new Map<string, PlacementHost[]>();
    const { hostObserver } = this.#context;
    const hasSuspects = this.#context.jobRegistry.hasSuspects();
    pools.forEach((pool) => hostObserver.updatePool(pool));
    this.#context.hosts.forEach((host) => {
      if (pools.has(host.pool) && host.canTakeWork(nowMs)) {
        const { id } = host.incarnation;
        const admission = hostObserver.getAdmission(id);
        const soleAdmission = hostObserver.getSoleAdmission(id);
        const hosts = byPool.get(host.pool) ?? [];
        const startingAtMs = hasSuspects ? nowMs : null;
        hosts.push(createPlacementHost(host, nowMs, startingAtMs, { admission, soleAdmission }));
        byPool.set(host.pool, hosts);
      }
    });
    return byPool;
  }

  /** Lists the resources that each organisation with a cap may still reserve. */
  #listAllowances(): ReadonlyMap<string, Allowance> {
    const allowances = new Map<string, Allowance>();
    this.#context.getConfiguration()?.organisations.forEach(({ name, cap }) => {
      if (cap.cpuMillis > 0 || cap.memoryMb > 0 || cap.gpus > 0) {
        allowances.set(name, {
          cpuMillis: cap.cpuMillis || Infinity,
          memoryMb: cap.memoryMb || Infinity,
          gpus: cap.gpus || Infinity,
        });
      }
    });
    const reserve = (organisation: string | null, used: Resources): void => {
      const allowance = organisation === null ? undefined : allowances.get(organisation);
      if (allowance !== undefined) {
        allowance.cpuMillis -= used.cpuMillis;
        allowance.memoryMb -= used.memoryMb;
        allowance.gpus -= used.gpus;
      }
    };
    this.#context.hosts.forEach(({ runs }) =>
      runs.forEach(({ task: { step } }) => reserve(step.job.record.organisation, step.spec.need)),
    );
    this.#context.possibleRuns
      .sumUnknownResources()
      .forEach((used, organisation) => reserve(organisation, used));
    return allowances;
  }

  #startPlacements(
    placements: readonly Placement[],
    tickets: ReadonlyMap<Step, ReadonlyMap<string, string> | null>,
  ): readonly Run[] {
    const gangRuns = new Map<Step, number>();
    const start = ({ task, hostId }: Placement): Run => {
      const { step } = task;
      if (step.spec.isGang && !gangRuns.has(step)) {
        gangRuns.set(
          step,
          Math.max(...step.tasks.map((member) => this.#getNextRun(member.lastRun))),
        );
      }
      const number = gangRuns.get(step) ?? this.#getNextRun(task.lastRun);
      const run = task.addRun(hostId, number, this.#context.clock.getNow());
      const ticket = tickets.get(step)?.get(hostId) ?? null;
      this.#startRun(run, ticket);
      return run;
    };
    return this.#context.processorTime.measure(Activity.Starts, () => placements.map(start));
  }

  #startRun(placedRun: Run, ticket: string | null): void {
    const { hosts, logger, metrics, term } = this.#context;
    const run = placedRun;
    const { task, hostId, number } = run;
    const host = hosts.get(hostId);
    const session = this.#getSession(hostId);
    if (host === undefined || session === null) {
      task.removeRun(run);
      return;
    }
    run.hostBornMs = host.bornMs;
    run.isOnColdHost = host.getColdLeftMs(this.#context.clock.getNow()) > 0;
    if (task.crashes.suspicion !== CrashSuspicion.None) {
      run.phase = RunPhase.StartPending;
    }
    host.addRun(run);
    this.#context.copies.recordRun(run);
    const { job } = task.step;
    if (!job.hasStarted) {
      job.hasStarted = true;
      const ageMs = this.#context.clock.getWallTime() - job.record.acceptedAtMs;
      metrics.firstStartSeconds.observe({ queue: job.record.queue }, ageMs / SECOND_MS);
    }
    logger.recordInfo('start-ordered', {
      job: job.record.id,
      task: task.name,
      run: number,
      host: hostId,
      pool: host.pool,
      epoch: term.epoch,
      freeCpuMillis: host.getFreeResources().cpuMillis,
      jobsAgeMs: Math.round(this.#context.getJobsAgeMs()),
    });
    this.#pendingStarts += 1;
    void session.startRun(run, ticket).finally(() => {
      this.#pendingStarts -= 1;
      if (this.#hasSpentBudget) {
        this.request();
      }
    });
  }

  #getNextRun(lastRun: number): number {
    const { epoch } = this.#context.term;
    return Math.max(lastRun, (epoch - 1) * RUNS_PER_TERM) + 1;
  }
}
