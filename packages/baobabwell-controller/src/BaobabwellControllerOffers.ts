import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { RecentRefusal } from '@baobabwell/ingress';
import type { Job, JobRecord, JobSpec, Resources, StepSpec } from '@baobabwell/jobs';
import type { LogFields } from '@baobabwell/logging';
import type { AcceptedWork, AdmissionDecision } from '@baobabwell/placement';

import { findQueueOfJob } from '@baobabwell/fleet';
import { computeDemand, RefusalMemory } from '@baobabwell/ingress';
import { fitsInto, TaskPhase } from '@baobabwell/jobs';
import {
  decideAdmission,
  getCriticalPathMs,
  getObjectiveMs,
  RefusalCause,
  WorkQueue,
} from '@baobabwell/placement';

import { MemoryAdmission } from './BaobabwellControllerMemoryAdmission';
import { getRunRemainingMs } from './BaobabwellControllerRunDurations';

/** Retry delay of refusals while hosts have not reported to a new owner, in ms. */
const INCOMPLETE_RETRY_MS = 1_000;

/** Capacity of a pool, in thousandths of a core. */
export type PoolCapacity = {
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  readonly allocatableCpuMillis: number;
  /**
   * False while hosts have not reported to this owner yet; they count by their listed capacity, with a
   * margin.
   */
  readonly isComplete: boolean;
  /** Capacity of each machine of the fleet; empty while the list of machines is not loaded. */
  readonly machineCapacities: readonly Resources[];
};

/** Capacity of a pool at a time, in ms. */
type KnownCapacity = { readonly atMs: number; readonly capacity: PoolCapacity };

/** Accepted work of a pool ahead of one queue, as it was a short time ago. */
type PoolState = {
  /** Monotonic times at which the state was built and until which it is used, in ms. */
  readonly builtAtMs: number;
  readonly untilMs: number;
  readonly work: WorkQueue;
  /** Thousandths of a core that a MB of memory is worth in the pool. */
  readonly cpuMillisPerMb: number;
  /** CPU that the waiting tasks of ready steps require, in thousandths of a core. */
  waitingCpuMillis: number;
};

/** An admitted job that is not stored yet. */
type AdmittedJob = { readonly record: JobRecord; readonly atMs: number; readonly dueMs: number };

/** Shortest time for which the accepted work of a pool is not summed again, in ms. */
const POOL_STATE_MS = 50;

/** The same as a multiple of the time that the sums took, so that offers never fill the processor. */
const POOL_STATE_FACTOR = 40;

/** Time for which the capacity of a pool is not summed again, in ms: machines join by the second. */
const CAPACITY_MS = 50;

/** Time within which an admitted job is stored and seen, in ms. */
const STORE_TIME_MS = 1_000;

/** Time for which the first offer of a job counts when the job is offered again, in ms. */
const FIRST_OFFER_MS = 15_000;

/** Counts how often a need fits into free resources. */
function countPieces({ need, maxPerHost }: StepSpec, free: Resources): number {
  const pieces = Math.min(
    need.cpuMillis > 0 ? free.cpuMillis / need.cpuMillis : Infinity,
    need.memoryMb > 0 ? free.memoryMb / need.memoryMb : Infinity,
    need.gpus > 0 ? free.gpus / need.gpus : Infinity,
    maxPerHost > 0 ? maxPerHost : Infinity,
  );
  return Math.max(0, Math.floor(pieces));
}

function getStateKey(pool: string, priority: number): string {
  return `${priority} ${pool}`;
}

function listFirstSteps({ steps }: JobSpec): readonly StepSpec[] {
  return steps.filter(({ after, isLasting }) => after.length === 0 && !isLasting);
}

function sumFirstCpu(spec: JobSpec): number {
  return listFirstSteps(spec).reduce(
    (sum, { taskCount, need }) => sum + taskCount * need.cpuMillis,
    0,
  );
}

/** Removes the oldest entries of a map; entries are in the order of their time. */
function pruneOldest<Value>(map: Map<string, Value>, isOld: (value: Value) => boolean): void {
  for (const [key, value] of map) {
    if (!isOld(value)) {
      break;
    }
    map.delete(key);
  }
}

/** Decides which offered jobs are admitted. */
export class OfferAdmission {
  readonly #context: TermContext;

  readonly #getPoolCapacity: (pool: string) => PoolCapacity;

  readonly #states = new Map<string, PoolState>();

  readonly #capacities = new Map<string, KnownCapacity>();

  readonly #refusals = new RefusalMemory();

  readonly #admitted = new Map<string, AdmittedJob>();

  /** Monotonic time at which each job was offered first, in ms. */
  readonly #firstOffersAtMs = new Map<string, number>();

  readonly #memory: MemoryAdmission;

  constructor(context: TermContext, getPoolCapacity: (pool: string) => PoolCapacity) {
    this.#context = context;
    const { jobRegistry, clock, getMemoryLimits: getLimits } = context;
    this.#memory = new MemoryAdmission({ jobRegistry, clock, getLimits });
    this.#getPoolCapacity = getPoolCapacity;
  }

  /** Decides whether to admit an offered job. */
  decide(record: JobRecord, queue: QueueSettings): AdmissionDecision {
    const refusal = this.#memory.check(record);
    if (refusal !== null) {
      return refusal;
    }
    const decision = this.#decideByWork(record, queue);
    if (decision.isWanted) {
      this.#memory.add(record);
    }
    return decision;
  }

  #decideByWork(record: JobRecord, queue: QueueSettings): AdmissionDecision {
    const { clock, durations, jobRates } = this.#context;
    const { spec, organisation } = record;
    const nowMs = clock.getNow();
    const state = this.#getState(queue, nowMs);
    const { machineCapacities, ...capacity } = this.#getCapacity(queue.pool, nowMs);
    const isLargerThanAnyHost =
      machineCapacities.length > 0 &&
      spec.steps.some(({ need }) => !machineCapacities.some((machine) => fitsInto(need, machine)));
    const isBeyondRate = jobRates.addOffer(record);
    const hasNoObjective = spec.repeat !== null || spec.steps.some(({ isLasting }) => isLasting);
    if (hasNoObjective && !isLargerThanAnyHost) {
      return { isWanted: true };
    }
    const dueMs = this.#getFirstOfferMs(record.id, nowMs) + getObjectiveMs(spec, queue, durations);
    const firstSteps = listFirstSteps(spec);
    const decision = decideAdmission({
      nowMs,
      jobId: record.id,
      organisation: organisation ?? '',
      isBeyondRate,
      rateDelayMs: jobRates.getDelayMs(organisation),
      dueMs,
      criticalPathMs: getCriticalPathMs(spec, queue.name, durations),
      taskMs: Math.max(0, ...firstSteps.map((step) => this.#getExpectedMs(queue.name, step))),
      firstWork: this.#sumWork(queue.name, firstSteps, state.cpuMillisPerMb),
      stepCount: spec.steps.length,
      ...capacity,
      accepted: state.work,
      workAgeMs: nowMs - state.builtAtMs,
      isLargerThanAnyHost,
      hasFreeRoom: () => this.#hasFreeRoom(firstSteps, queue.pool, state),
    });
    if (decision.isWanted) {
      this.#addAdmitted({ record, atMs: nowMs, dueMs }, queue.name, state);
    } else {
      jobRates.removeOffer(record);
      if (decision.cause !== RefusalCause.TooLarge && capacity.isComplete) {
        this.#recordRefusal(record, queue, decision.retryAfterMs, nowMs);
      }
    }
    return decision.isWanted || decision.cause === RefusalCause.TooLarge || capacity.isComplete
      ? decision
      : {
          ...decision,
          reason: 'the owner has just taken over and does not know its hosts yet',
          retryAfterMs: INCOMPLETE_RETRY_MS,
        };
  }

  /** Returns the log fields with what the latest decision for a queue was based on. */
  describeBasis({ pool, priority }: QueueSettings): LogFields {
    const capacity = this.#capacities.get(pool)?.capacity;
    const state = this.#states.get(getStateKey(pool, priority));
    const nowMs = this.#context.clock.getNow();
    return {
      roomCpu: capacity?.cpuMillis ?? null,
      arrivingCpu: capacity?.arrivingCpuMillis ?? null,
      workAgeMs: state === undefined ? null : Math.round(nowMs - state.builtAtMs),
    };
  }

  /** Lists the latest refusals of a queue, which entries apply to like jobs without an offer. */
  listRefusals(queue: string): readonly RecentRefusal[] {
    return this.#refusals.list(queue, this.#context.clock.getNow());
  }

  #recordRefusal(
    record: JobRecord,
    queue: QueueSettings,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    const demand = computeDemand(record, queue);
    if (demand === null) {
      return;
    }
    const laxityMs = demand.laxityMs - (nowMs - this.#getFirstOfferMs(record.id, nowMs));
    this.#refusals.add([{ ...demand, laxityMs, retryAfterMs, ageMs: 0 }], nowMs);
  }

  #getFirstOfferMs(jobId: string, nowMs: number): number {
    pruneOldest(this.#firstOffersAtMs, (atMs) => nowMs - atMs > FIRST_OFFER_MS);
    const firstAtMs = this.#firstOffersAtMs.get(jobId) ?? nowMs;
    this.#firstOffersAtMs.set(jobId, firstAtMs);
    return firstAtMs;
  }

  #addAdmitted(admitted: AdmittedJob, queue: string, current: PoolState): void {
    this.#admitted.set(admitted.record.id, admitted);
    const state = current;
    state.work.add(this.#createAdmittedWork(admitted, queue, state.cpuMillisPerMb));
    state.waitingCpuMillis += sumFirstCpu(admitted.record.spec);
  }

  #createAdmittedWork(
    { record, dueMs }: AdmittedJob,
    queue: string,
    cpuMillisPerMb: number,
  ): AcceptedWork {
    return {
      organisation: record.organisation ?? '',
      dueMs,
      runningWork: 0,
      waitingWork: this.#sumWork(queue, record.spec.steps, cpuMillisPerMb),
      isLate: false,
    };
  }

  /** Returns the state of the pool of a queue for jobs of its priority. */
  #getState({ pool, priority }: QueueSettings, nowMs: number): PoolState {
    const key = getStateKey(pool, priority);
    const existing = this.#states.get(key);
    if (existing !== undefined && nowMs < existing.untilMs) {
      return existing;
    }
    const built = this.#buildState(pool, priority, nowMs);
    const tookMs = this.#context.clock.getNow() - nowMs;
    const state = {
      ...built,
      untilMs: nowMs + Math.max(POOL_STATE_MS, POOL_STATE_FACTOR * tookMs),
    };
    this.#states.set(key, state);
    return state;
  }

  #getCapacity(pool: string, nowMs: number): PoolCapacity {
    const known = this.#capacities.get(pool);
    if (known !== undefined && nowMs - known.atMs < CAPACITY_MS) {
      return known.capacity;
    }
    const capacity = this.#getPoolCapacity(pool);
    this.#capacities.set(pool, { atMs: nowMs, capacity });
    return capacity;
  }

  #buildState(pool: string, priority: number, nowMs: number): Omit<PoolState, 'untilMs'> {
    const { jobRegistry, clock, getConfiguration, hosts } = this.#context;
    const configuration = getConfiguration();
    const organisations = configuration?.organisations ?? [];
    const wallMs = clock.getWallTime();
    const findQueue = (record: JobRecord): QueueSettings | null => {
      const queue = findQueueOfJob(configuration, record);
      return queue?.pool === pool && queue.priority <= priority ? queue : null;
    };
    let totalCpu = 0;
    let totalMemory = 0;
    hosts.forEach((host) => {
      const isInPool = host.pool === pool;
      totalCpu += isInPool ? host.getCapacity().cpuMillis : 0;
      totalMemory += isInPool ? host.getCapacity().memoryMb : 0;
    });
    const cpuMillisPerMb = totalMemory > 0 ? totalCpu / totalMemory : 0;
    const accepted: AcceptedWork[] = [];
    let waitingCpuMillis = 0;
    for (const job of jobRegistry.listOpenJobs()) {
      const queue = findQueue(job.record);
      if (queue !== null && job.record.spec.repeat === null) {
        // The first listing creates the tasks of the job.
        jobRegistry.listReadySteps(job, wallMs).forEach(({ spec, waitingCount }) => {
          waitingCpuMillis += spec.isLasting ? 0 : waitingCount * spec.need.cpuMillis;
        });
        accepted.push(this.#createAcceptedWork(job, queue, priority, cpuMillisPerMb, nowMs));
      }
    }
    pruneOldest(this.#admitted, ({ atMs }) => nowMs - atMs > STORE_TIME_MS);
    this.#admitted.forEach((admitted) => {
      const queue = findQueue(admitted.record);
      if (queue !== null && jobRegistry.findJob(admitted.record.id) === null) {
        accepted.push(this.#createAdmittedWork(admitted, queue.name, cpuMillisPerMb));
        waitingCpuMillis += sumFirstCpu(admitted.record.spec);
      }
    });
    const weights = new Map(organisations.map(({ name, weight }) => [name, weight]));
    return {
      builtAtMs: nowMs,
      work: new WorkQueue(accepted, weights),
      cpuMillisPerMb,
      waitingCpuMillis,
    };
  }

  #createAcceptedWork(
    job: Job,
    queue: QueueSettings,
    priority: number,
    cpuMillisPerMb: number,
    nowMs: number,
  ): AcceptedWork {
    const { record } = job;
    const { durations } = this.#context;
    let runningWork = 0;
    let waitingWork = 0;
    job.listSteps().forEach(({ spec, tasks, doneCount, waitingCount }) => {
      if (spec.isLasting || doneCount === spec.taskCount) {
        return;
      }
      const taskCpu = this.#getWeighedCpu(spec, cpuMillisPerMb);
      const expectedMs = this.#getExpectedMs(record.queue, spec);
      waitingWork += waitingCount * taskCpu * expectedMs;
      const hasPlaced = doneCount + waitingCount < spec.taskCount;
      (hasPlaced ? tasks : []).forEach(({ phase, runs }) => {
        if (phase === TaskPhase.Placed) {
          const [run] = runs;
          runningWork +=
            taskCpu * (run === undefined ? expectedMs : getRunRemainingMs(run, durations, nowMs));
        }
      });
    });
    const ageMs = this.#context.clock.getWallTime() - record.acceptedAtMs;
    const dueMs = nowMs - ageMs + getObjectiveMs(record.spec, queue, durations);
    return {
      organisation: record.organisation ?? '',
      // Work of a higher priority is placed before, whenever it is due.
      dueMs: queue.priority < priority ? -Infinity : dueMs,
      runningWork,
      waitingWork,
      isLate: dueMs <= nowMs,
    };
  }

  #getExpectedMs(queue: string, step: StepSpec): number {
    return this.#context.durations.getExpectedMs(queue, step);
  }

  /** Returns the CPU of a task, or what its memory is worth if that is more. */
  #getWeighedCpu({ need }: StepSpec, cpuMillisPerMb: number): number {
    return Math.max(need.cpuMillis, need.memoryMb * cpuMillisPerMb);
  }

  #sumWork(queue: string, steps: readonly StepSpec[], cpuMillisPerMb: number): number {
    return steps.reduce(
      (sum, step) =>
        sum +
        step.taskCount *
          this.#getWeighedCpu(step, cpuMillisPerMb) *
          this.#getExpectedMs(queue, step),
      0,
    );
  }

  /** Returns true if the first steps fit on free pieces of hosts beside all that waits. */
  #hasFreeRoom(steps: readonly StepSpec[], pool: string, state: PoolState): boolean {
    const nowMs = this.#context.clock.getNow();
    let freeCpuMillis = -state.waitingCpuMillis;
    const missing = new Map(steps.map((step) => [step, step.taskCount]));
    this.#context.hosts.forEach((host) => {
      if (host.pool !== pool || !host.canTakeWork(nowMs)) {
        return;
      }
      const free = host.getFreeResources();
      freeCpuMillis += free.cpuMillis;
      missing.forEach((count, step) => {
        const { hostLabel } = step;
        const isAllowed =
          hostLabel === null || host.listedWorker?.labels.includes(hostLabel) === true;
        missing.set(step, count - (isAllowed ? countPieces(step, free) : 0));
      });
    });
    const requiredCpu = steps.reduce((sum, step) => sum + step.taskCount * step.need.cpuMillis, 0);
    return freeCpuMillis >= requiredCpu && [...missing.values()].every((count) => count <= 0);
  }
}
