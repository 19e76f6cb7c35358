/**
 * Load pattern: many small tasks and a few wide ones share a pool whose hosts also run long running
 * tasks. Small tasks go to the fullest host that fits them (best fit), so that the other hosts keep
 * capacity for wide tasks or can leave the pool. Hosts that have just started are slower for some time;
 * they are used when no warm host fits. Long running tasks are spread over hosts, so that
 * the loss of one host ends few tasks of a step. Tasks that may crash their hosts start alone: one at
 * a time on a host, on which little else runs and nothing else has just started.
 */
import type { HostCapacity } from './BaobabwellPlacementCapacity';
import type {
  Allowance,
  Placement,
  PlacementHost,
  PlacementSnapshot,
} from './BaobabwellPlacementModel';
import type { Resources, Step, Task } from '@baobabwell/jobs';

import { CrashSuspicion, fitsInto, TaskPhase } from '@baobabwell/jobs';

import {
  createHostCapacity,
  findLargest,
  fitsOffer,
  fitsStep,
  isAdmitted,
} from './BaobabwellPlacementCapacity';
import { decideReservedHosts } from './BaobabwellPlacementSuspects';

/** A host that fits the tasks of a step, with its score. */
type Candidate = { readonly capacity: HostCapacity; readonly farPenalty: number; score: number };

/** Hosts that fit the tasks of one step; only what is placed in the meantime changes them. */
type HostSearch = {
  readonly candidates: Candidate[];
  /** Only ejected hosts may run the tasks. */
  readonly isSole: boolean;
  lastChosen: Candidate | null;
};

/** Share of a pool's free resources that the waiting tasks require, by dimension; they add up to 1. */
type Scarcity = { readonly cpu: number; readonly memory: number };

function isSuspect({ crashes }: Task): boolean {
  return crashes.suspicion !== CrashSuspicion.None;
}

/**
 * Score of a task that runs on a cold host all the time: it weighs more than how full hosts are, and less
 * than the data of the task.
 */
const COLD_SCORE = 10_000;

/** Score of a cold host for a long running task: it decides between hosts that are equal otherwise. */
const COLD_LONG_RUNNING_SCORE = 500;

/** Returns the share of a task's estimated duration for which a host is cold. */
function getColdShare({ spec }: Step, { coldLeftMs }: PlacementHost): number {
  return coldLeftMs <= 0 ? 0 : Math.min(1, coldLeftMs / Math.max(1, spec.estimateMs));
}

/** What a host on another rack than the rest of its step costs. */
const FAR_RACK_PENALTY = 40_000;

/** Returns a key that is the same for hosts of one rack and kind: the labels name both. */
function getRackKey({ labels }: PlacementHost): string {
  return labels.join(' ');
}

function countPieces({ need }: Step['spec'], { cpuMillis, memoryMb }: HostCapacity): number {
  const byCpu = need.cpuMillis > 0 ? cpuMillis / need.cpuMillis : Infinity;
  const byMemory = need.memoryMb > 0 ? memoryMb / need.memoryMb : Infinity;
  return Math.max(0, Math.floor(Math.min(byCpu, byMemory)));
}

/**
 * Finds the rack for the tasks of a step that slow each other down on several racks: the one on which
 * they run already, or the one with room for most of them.
 */
function findRoomiestRack(step: Step, capacities: readonly HostCapacity[]): string | null {
  const rooms = new Map<string, number>();
  capacities.forEach((capacity) => {
    const key = getRackKey(capacity.host);
    const present = step.countRunsOnHost(capacity.host.id) * step.spec.taskCount;
    const room = (rooms.get(key) ?? 0) + countPieces(step.spec, capacity) + present;
    rooms.set(key, room);
  });
  const sorted = [...rooms].toSorted(([, left], [, right]) => right - left);
  return sorted[0]?.[0] ?? null;
}

/** Tracks the free capacity of hosts and the allowances during one placement pass. */
class CapacityTracker {
  readonly #snapshot: PlacementSnapshot;

  readonly #capacities = new Map<string, readonly HostCapacity[]>();

  readonly #allowances: ReadonlyMap<string, Allowance>;

  readonly #reservedHosts: ReadonlySet<string>;

  readonly #scarcities = new Map<string, Scarcity>();

  /** Largest free amounts on any host of a pool when the pass began; later ones are smaller. */
  readonly #largestFree = new Map<string, Resources>();

  /** Largest free amounts on any ejected host of a pool, for tasks that no other host may run. */
  readonly #largestSole = new Map<string, Resources>();

  /** Whether only ejected hosts may run a step, by pool and by what the step requires. */
  readonly #areSole = new Map<string, boolean>();

  /** CPU per memory of all free resources, in thousandths of a core per MB. */
  readonly #cpuMillisPerMb: number;

  constructor(snapshot: PlacementSnapshot) {
    this.#snapshot = snapshot;
    snapshot.hosts.forEach((hosts, pool) =>
      this.#capacities.set(pool, hosts.map(createHostCapacity)),
    );
    this.#allowances = new Map(
      [...snapshot.allowances].map(([name, allowance]) => [name, { ...allowance }]),
    );
    this.#reservedHosts = decideReservedHosts(snapshot);
    let cpuMillis = 0;
    let memoryMb = 1;
    this.#capacities.forEach((capacities) =>
      capacities.filter(isAdmitted).forEach((capacity) => {
        cpuMillis += Math.max(0, capacity.cpuMillis);
        memoryMb += Math.max(0, capacity.memoryMb);
      }),
    );
    this.#cpuMillisPerMb = cpuMillis / memoryMb;
  }

  /** Returns false if no host of the pool can have room for a task of the step. */
  mayFit(step: Step, pool: string): boolean {
    if (fitsStep(step, this.#getLargestFree(pool))) {
      return true;
    }
    const sole = this.#largestSole.get(pool);
    return sole !== undefined && fitsStep(step, sole) && this.#isSole(step, pool);
  }

  /** Returns true if no host of the pool may ever run a task of the step that is not ejected. */
  #isSole(step: Step, pool: string): boolean {
    const { hostLabel, need, isFilling } = step.spec;
    const allowed = this.#snapshot.findAllowedHosts(step);
    const key = [pool, hostLabel, need.cpuMillis, need.memoryMb, need.gpus, isFilling].join(' ');
    const known = allowed === null ? this.#areSole.get(key) : undefined;
    if (known !== undefined) {
      return known;
    }
    const isSole = !(this.#capacities.get(pool) ?? []).some(
      (capacity) =>
        isAdmitted(capacity) &&
        allowed?.has(capacity.host.id) !== false &&
        (hostLabel === null || capacity.host.labels.includes(hostLabel)) &&
        fitsStep(step, capacity.host.shortTaskResources),
    );
    if (allowed === null) {
      this.#areSole.set(key, isSole);
    }
    return isSole;
  }

  #getLargestFree(pool: string): Resources {
    const existing = this.#largestFree.get(pool);
    if (existing !== undefined) {
      return existing;
    }
    const capacities = this.#capacities.get(pool) ?? [];
    const largest = findLargest(
      capacities
        .filter(({ probeCount }) => probeCount > 0)
        .map(({ cpuMillis, memoryMb, gpus, probeCpuMillis, probeMemoryMb }) => ({
          cpuMillis: Math.min(cpuMillis, probeCpuMillis),
          memoryMb: Math.min(memoryMb, probeMemoryMb),
          gpus,
        })),
    );
    this.#largestFree.set(pool, largest);
    const sole = capacities.filter((capacity) => !isAdmitted(capacity) && capacity.soleCount > 0);
    if (sole.length > 0) {
      this.#largestSole.set(pool, findLargest(sole));
    }
    return largest;
  }

  /** Starts a search for hosts of the tasks of a step. */
  createSearch(step: Step, pool: string): HostSearch {
    const capacities = this.#capacities.get(pool) ?? [];
    const [task] = step.tasks;
    const allowed = this.#snapshot.findAllowedHosts(step);
    const candidates: Candidate[] = [];
    const scarcity = this.#getScarcity(pool);
    const rack = step.spec.prefersOneRack ? findRoomiestRack(step, capacities) : null;
    const isSole = this.#largestSole.has(pool) && this.#isSole(step, pool);
    capacities.forEach((capacity) => {
      const isAllowed = allowed?.has(capacity.host.id) !== false;
      if (task !== undefined && isAllowed && this.#hasRoom(step, capacity, isSole)) {
        const isFar = rack !== null && getRackKey(capacity.host) !== rack;
        const farPenalty = isFar ? FAR_RACK_PENALTY : 0;
        const score = this.#getScore(step, capacity, scarcity) + farPenalty;
        candidates.push({ capacity, farPenalty, score });
      }
    });
    return { candidates, isSole, lastChosen: null };
  }

  /** Finds the best host for a task, or `null` if no host fits it. */
  findHost(task: Task, pool: string, current: HostSearch): HostCapacity | null {
    const search = current;
    const { lastChosen } = search;
    if (lastChosen !== null) {
      const { capacity } = lastChosen;
      if (this.#hasRoom(task.step, capacity, search.isSole)) {
        lastChosen.score =
          this.#getScore(task.step, capacity, this.#getScarcity(pool)) + lastChosen.farPenalty;
      } else {
        search.candidates.splice(search.candidates.indexOf(lastChosen), 1);
      }
    }
    let best: Candidate | null = null;
    let bestScore = Infinity;
    search.candidates.forEach((candidate) => {
      const score = candidate.score + this.#getTaskPenalty(task, candidate.capacity);
      if (score < bestScore && this.#canStartBeside(task, candidate.capacity)) {
        best = candidate;
        bestScore = score;
      }
    });
    search.lastChosen = best;
    return (best as Candidate | null)?.capacity ?? null;
  }

  /**
   * Returns true if a step may run on some hosts only: if its tasks do not fit, tasks of other
   * steps may still fit on the remaining hosts.
   */
  isConstrained(step: Step): boolean {
    const { hostLabel, maxPerHost } = step.spec;
    return hostLabel !== null || maxPerHost > 0 || this.#snapshot.findAllowedHosts(step) !== null;
  }

  isWithinAllowance(step: Step): boolean {
    const { organisation } = step.job.record;
    const allowance = organisation === null ? undefined : this.#allowances.get(organisation);
    return allowance === undefined || fitsInto(step.spec.need, allowance);
  }

  /** Reserves capacity and allowance for one task (factor 1), or releases them (factor -1). */
  applyReservation(task: Task, capacity: HostCapacity, factor: 1 | -1): void {
    const { step } = task;
    const { need, isFilling, tailTargetMs } = step.spec;
    const updated = capacity;
    updated.runCount += factor;
    updated.startingCount += factor;
    if (isSuspect(task)) {
      updated.suspectStep = factor === 1 ? step : null;
    }
    updated.cpuMillis -= isFilling ? 0 : factor * need.cpuMillis;
    updated.probeCpuMillis -= isFilling ? 0 : factor * need.cpuMillis;
    updated.memoryMb -= factor * need.memoryMb;
    updated.probeMemoryMb -= factor * need.memoryMb;
    updated.probeCount -= factor;
    updated.soleCount -= factor;
    updated.gpus -= factor * need.gpus;
    updated.bestEffortCount += isFilling ? factor : 0;
    updated.servingCount += tailTargetMs > 0 ? factor : 0;
    updated.stepCounts.set(step, (updated.stepCounts.get(step) ?? 0) + factor);
    const { organisation } = step.job.record;
    const allowance = organisation === null ? undefined : this.#allowances.get(organisation);
    if (allowance !== undefined) {
      allowance.cpuMillis -= factor * need.cpuMillis;
      allowance.memoryMb -= factor * need.memoryMb;
      allowance.gpus -= factor * need.gpus;
    }
  }

  /** Computes how scarce each dimension of a pool is; an idle dimension does not guide placement. */
  #getScarcity(pool: string): Scarcity {
    const existing = this.#scarcities.get(pool);
    if (existing !== undefined) {
      return existing;
    }
    const free = { cpu: 1, memory: 1 };
    const needs = { cpu: 0, memory: 0 };
    const admitted = (this.#capacities.get(pool) ?? []).filter(isAdmitted);
    admitted.forEach(({ cpuMillis, memoryMb }) => {
      free.cpu += Math.max(0, cpuMillis);
      free.memory += Math.max(0, memoryMb);
    });
    this.#snapshot.steps.forEach(({ step, pool: stepPool }) => {
      const { need, isFilling } = step.spec;
      if (stepPool === pool) {
        needs.cpu += isFilling ? 0 : step.waitingCount * need.cpuMillis;
        needs.memory += step.waitingCount * need.memoryMb;
      }
    });
    const cpu = needs.cpu / free.cpu;
    const memory = needs.memory / free.memory;
    const sum = cpu + memory;
    const scarcity = sum === 0 ? { cpu: 1, memory: 0 } : { cpu: cpu / sum, memory: memory / sum };
    this.#scarcities.set(pool, scarcity);
    return scarcity;
  }

  /** Returns true if a task of the step fits on the host, whatever else starts there. */
  #hasRoom(step: Step, capacity: HostCapacity, isSole: boolean): boolean {
    const { host, stepCounts } = capacity;
    const { hostLabel, maxPerHost } = step.spec;
    const isOffered = isSole ? capacity.soleCount > 0 : fitsOffer(step, capacity);
    if (!isOffered || !fitsStep(step, capacity)) {
      return false;
    }
    if (hostLabel !== null && !host.labels.includes(hostLabel)) {
      return false;
    }
    const count = step.countRunsOnHost(host.id) + (stepCounts.get(step) ?? 0);
    return maxPerHost === 0 || count < maxPerHost;
  }

  /** Returns false if a task would start beside one that may crash the host. */
  #canStartBeside({ step, crashes }: Task, { host, suspectStep }: HostCapacity): boolean {
    // The members of a gang start together, on whatever hosts there are.
    const hasSuspect = suspectStep !== null && !(step.spec.isGang && suspectStep === step);
    const isReserved =
      this.#reservedHosts.has(host.id) &&
      crashes.suspicion !== CrashSuspicion.Strong &&
      !step.spec.isGang;
    return !hasSuspect && !host.isStartingSuspect && !isReserved;
  }

  /** Returns what a host costs for one task beyond its score for the step. */
  #getTaskPenalty(task: Task, { host, startingCount, runCount }: HostCapacity): number {
    let penalty = 0;
    if (isSuspect(task)) {
      penalty += startingCount * 100_000_000;
      penalty += task.crashes.suspicion === CrashSuspicion.Strong ? runCount * 10_000_000 : 0;
    }
    return penalty + (task.avoidedHosts.has(host.id) ? 1_000_000 : 0);
  }

  /** Scores a host for a step; a lower score is better. */
  #getScore(step: Step, capacity: HostCapacity, scarcity: Scarcity): number {
    const { host } = capacity;
    const { spec } = step;
    let score = spec.dataRack !== null && !host.labels.includes(spec.dataRack) ? 50_000 : 0;
    const onHost = step.countRunsOnHost(host.id) + (capacity.stepCounts.get(step) ?? 0);
    if (spec.isFilling) {
      return (
        score + capacity.servingCount * 5_000 + capacity.bestEffortCount * 2_000 + onHost * 1_000
      );
    }
    if (spec.isLasting) {
      score += host.coldLeftMs > 0 ? COLD_LONG_RUNNING_SCORE : 0;
      return (
        score + onHost * 10_000 + capacity.bestEffortCount * 3_000 + capacity.servingCount * 1_000
      );
    }
    score += getColdShare(step, host) * COLD_SCORE;
    // Memory counts as much as the CPU that a host of the pool has beside it.
    const cpuMillis = Math.min(capacity.cpuMillis, capacity.probeCpuMillis);
    const memoryMb = Math.min(capacity.memoryMb, capacity.probeMemoryMb);
    const free = scarcity.cpu * cpuMillis + scarcity.memory * memoryMb * this.#cpuMillisPerMb;
    // Hosts that long running tasks keep in the pool anyway are filled first.
    return score + free / 100 - (host.hasLongRunning ? 1_000 : 0);
  }
}

/**
 * Records the requirements that fitted no host in this pass, by pool. A task that requires at least
 * as much does not fit either, so the search is skipped for it.
 */
class UnplacedRequirements {
  readonly #byPool = new Map<string, Resources[]>();

  /** Records that a task of the step fits no host in the pool. */
  add({ spec }: Step, pool: string): void {
    const requirements = this.#byPool.get(pool) ?? [];
    requirements.push(spec.need);
    this.#byPool.set(pool, requirements);
  }

  /** Returns true if a task that requires no more than a task of this step did not fit. */
  matches({ spec }: Step, pool: string): boolean {
    const { need, isFilling } = spec;
    return (
      !isFilling && (this.#byPool.get(pool) ?? []).some((unplaced) => fitsInto(unplaced, need))
    );
  }
}

function placeGang(
  step: Step,
  tasks: readonly Task[],
  pool: string,
  tracker: CapacityTracker,
): Placement[] {
  const reserved: { readonly capacity: HostCapacity; readonly placement: Placement }[] = [];
  const search = tracker.createSearch(step, pool);
  for (const task of tasks) {
    const capacity = tracker.isWithinAllowance(step) ? tracker.findHost(task, pool, search) : null;
    if (capacity === null) {
      reserved.forEach(({ capacity: other, placement }) =>
        tracker.applyReservation(placement.task, other, -1),
      );
      return [];
    }
    tracker.applyReservation(task, capacity, 1);
    reserved.push({ capacity, placement: { task, hostId: capacity.host.id } });
  }
  return reserved.map(({ placement }) => placement);
}

function placeTasks(
  step: Step,
  tasks: readonly Task[],
  pool: string,
  tracker: CapacityTracker,
  unplaced: UnplacedRequirements,
): Placement[] {
  const placements: Placement[] = [];
  if (tasks.length === 0 || !tracker.isWithinAllowance(step) || unplaced.matches(step, pool)) {
    return placements;
  }
  const search = tracker.createSearch(step, pool);
  for (const task of tasks) {
    if (!tracker.isWithinAllowance(step)) {
      break;
    }
    const capacity = tracker.findHost(task, pool, search);
    if (capacity === null && isSuspect(task)) {
      // It waits for a host of its own; other tasks may still fit.
      continue;
    }
    if (capacity === null) {
      if (!tracker.isConstrained(step)) {
        unplaced.add(step, pool);
      }
      break;
    }
    tracker.applyReservation(task, capacity, 1);
    placements.push({ task, hostId: capacity.host.id });
  }
  return placements;
}

/** Lists waiting tasks of a step that may start now, at most a number of them. */
function listWaiting({ tasks, waitingCount }: Step, nowMs: number, maxCount: number): Task[] {
  const waiting: Task[] = [];
  let leftCount = waitingCount;
  for (const task of tasks) {
    if (leftCount === 0 || waiting.length >= maxCount) {
      break;
    }
    if (task.phase === TaskPhase.Waiting) {
      leftCount -= 1;
      if (task.notBeforeMs <= nowMs && !task.isWithheld) {
        waiting.push(task);
      }
    }
  }
  return waiting;
}

/** Decides which waiting tasks start now and on which hosts. */
export function decidePlacements(snapshot: PlacementSnapshot): readonly Placement[] {
  const tracker = new CapacityTracker(snapshot);
  const unplaced = new UnplacedRequirements();
  const { left, total } = snapshot.startBudget ?? { left: Infinity, total: Infinity };
  let budget = left;
  const place = (step: Step, pool: string): readonly Placement[] => {
    const { isGang, taskCount } = step.spec;
    if (!isGang) {
      // A wide step leaves half of what may start to the steps behind it.
      const waiting = listWaiting(step, snapshot.nowMs, Math.ceil(budget / 2));
      return placeTasks(step, waiting, pool, tracker, unplaced);
    }
    const waiting = listWaiting(step, snapshot.nowMs, Infinity);
    if (waiting.length < taskCount) {
      return [];
    }
    if (taskCount > budget && budget < total) {
      // The members start together: steps behind them wait until enough orders are answered.
      budget = 0;
      return [];
    }
    return placeGang(step, waiting, pool, tracker);
  };
  return snapshot.steps.flatMap(({ step, pool }) => {
    // Most steps of a full pool end here.
    if (budget <= 0 || !tracker.mayFit(step, pool)) {
      return [];
    }
    const placements = place(step, pool);
    budget -= placements.length;
    return placements;
  });
}
