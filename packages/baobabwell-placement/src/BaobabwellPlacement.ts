/**
 * Load pattern: many small tasks and a few wide ones share a pool whose hosts also carry tasks that
 * last. Small tasks fill the fullest host that has room, so that the others keep room for wide tasks
 * or can leave the pool; tasks that last are spread, so that one host's loss takes few of a step.
 */
import type { Resources, Step, Task } from '@baobabwell/jobs';

import { TaskPhase } from '@baobabwell/jobs';

/** A host that may take tasks. */
export type PlacementHost = {
  readonly id: string;
  readonly pool: string;
  readonly labels: readonly string[];
  /** Room that is not promised to any run. */
  readonly free: Resources;
  /** Tasks that serve run there; tasks that fill go elsewhere first. */
  readonly servingCount: number;
  readonly fillingCount: number;
  /** Tasks that last keep it in its pool. */
  readonly hasLasting: boolean;
};

/** What an organisation may still start; `null` fields have no limit. */
export type Allowance = {
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
};

/** Says of a host whether a step may run there. */
export type AllowedHosts = { readonly has: (hostId: string) => boolean };

/** What placements are decided from. */
export type PlacementSnapshot = {
  readonly nowMs: number;
  /** Hosts by pool. */
  readonly hosts: ReadonlyMap<string, readonly PlacementHost[]>;
  /** Steps in the order in which they take room, with their pool. */
  readonly steps: readonly { readonly step: Step; readonly pool: string }[];
  /** What each organisation may still start; those left out have no limit. */
  readonly allowances: ReadonlyMap<string, Allowance>;
  /** Finds the hosts that the advisor allows for a step; `null` where none is asked. */
  readonly findAllowedHosts: (step: Step) => AllowedHosts | null;
};

/** A task that is to start on a host. */
export type Placement = { readonly task: Task; readonly hostId: string };

type Room = {
  readonly host: PlacementHost;
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  readonly stepCounts: Map<Step, number>;
  fillingCount: number;
  servingCount: number;
};

function createRoom(host: PlacementHost): Room {
  const { servingCount, fillingCount } = host;
  return { host, ...host.free, stepCounts: new Map(), servingCount, fillingCount };
}

/** Room as it stands while placements of one pass are decided. */
class RoomBook {
  readonly #snapshot: PlacementSnapshot;

  readonly #rooms = new Map<string, readonly Room[]>();

  readonly #allowances: ReadonlyMap<string, Allowance>;

  constructor(snapshot: PlacementSnapshot) {
    this.#snapshot = snapshot;
    snapshot.hosts.forEach((hosts, pool) => this.#rooms.set(pool, hosts.map(createRoom)));
    this.#allowances = new Map(
      [...snapshot.allowances].map(([name, allowance]) => [name, { ...allowance }]),
    );
  }

  /** Finds the best room for a task, or `null` when it fits nowhere. */
  findRoom(task: Task, pool: string): Room | null {
    const allowed = this.#snapshot.findAllowedHosts(task.step);
    let best: Room | null = null;
    let bestScore = Infinity;
    (this.#rooms.get(pool) ?? []).forEach((room) => {
      if (!this.#fits(task.step, room) || allowed?.has(room.host.id) === false) {
        return;
      }
      const score = this.#getScore(task, room);
      if (score < bestScore) {
        best = room;
        bestScore = score;
      }
    });
    return best;
  }

  /** True when a step may run on some hosts only: its lack of room says nothing of the others. */
  isBound(step: Step): boolean {
    const { hostLabel, maxPerHost } = step.spec;
    return hostLabel !== null || maxPerHost > 0 || this.#snapshot.findAllowedHosts(step) !== null;
  }

  isAllowed(step: Step): boolean {
    const { organisation } = step.job.record;
    const allowance = organisation === null ? undefined : this.#allowances.get(organisation);
    const { need } = step.spec;
    return (
      allowance === undefined ||
      (need.cpuMillis <= allowance.cpuMillis &&
        need.memoryMb <= allowance.memoryMb &&
        need.gpus <= allowance.gpus)
    );
  }

  /** Takes room and allowance for one task, or gives them back. */
  take(step: Step, room: Room, factor: 1 | -1): void {
    const { need, isFilling, tailTargetMs } = step.spec;
    const taken = room;
    taken.cpuMillis -= isFilling ? 0 : factor * need.cpuMillis;
    taken.memoryMb -= factor * need.memoryMb;
    taken.gpus -= factor * need.gpus;
    taken.fillingCount += isFilling ? factor : 0;
    taken.servingCount += tailTargetMs > 0 ? factor : 0;
    taken.stepCounts.set(step, (taken.stepCounts.get(step) ?? 0) + factor);
    const { organisation } = step.job.record;
    const allowance = organisation === null ? undefined : this.#allowances.get(organisation);
    if (allowance !== undefined) {
      allowance.cpuMillis -= factor * need.cpuMillis;
      allowance.memoryMb -= factor * need.memoryMb;
      allowance.gpus -= factor * need.gpus;
    }
  }

  #fits(step: Step, { host, cpuMillis, memoryMb, gpus, stepCounts }: Room): boolean {
    const { need, isFilling, hostLabel, maxPerHost } = step.spec;
    if ((!isFilling && need.cpuMillis > cpuMillis) || need.memoryMb > memoryMb) {
      return false;
    }
    if (need.gpus > gpus || (hostLabel !== null && !host.labels.includes(hostLabel))) {
      return false;
    }
    const count = step.countOnHost(host.id) + (stepCounts.get(step) ?? 0);
    return maxPerHost === 0 || count < maxPerHost;
  }

  /** Lower is better. */
  #getScore({ step, avoidedHosts }: Task, room: Room): number {
    const { host } = room;
    const { spec } = step;
    let score = 0;
    score += avoidedHosts.has(host.id) ? 1_000_000 : 0;
    score += spec.dataRack !== null && !host.labels.includes(spec.dataRack) ? 50_000 : 0;
    const onHost = step.countOnHost(host.id) + (room.stepCounts.get(step) ?? 0);
    if (spec.isFilling) {
      return score + room.servingCount * 5_000 + room.fillingCount * 2_000 + onHost * 1_000;
    }
    if (spec.isLasting) {
      return score + onHost * 10_000 + room.fillingCount * 3_000 + room.servingCount * 1_000;
    }
    // Hosts that cannot leave the pool anyway are filled first.
    return score + room.cpuMillis / 100 - (host.hasLasting ? 1_000 : 0);
  }
}

/** Needs that found no room in a pass, by pool: a task that asks for no less finds none either. */
class FailedNeeds {
  readonly #byPool = new Map<string, Resources[]>();

  /** Records that a task found no room anywhere in its pool. */
  add({ spec }: Step, pool: string): void {
    const needs = this.#byPool.get(pool) ?? [];
    needs.push(spec.need);
    this.#byPool.set(pool, needs);
  }

  /** True when a task that asks for no more than this one found no room. */
  matches({ spec }: Step, pool: string): boolean {
    const { need, isFilling } = spec;
    return (this.#byPool.get(pool) ?? []).some(
      ({ cpuMillis, memoryMb, gpus }) =>
        !isFilling && cpuMillis <= need.cpuMillis && memoryMb <= need.memoryMb && gpus <= need.gpus,
    );
  }
}

function placeGang(step: Step, tasks: readonly Task[], pool: string, book: RoomBook): Placement[] {
  const taken: { readonly room: Room; readonly placement: Placement }[] = [];
  for (const task of tasks) {
    const room = book.isAllowed(step) ? book.findRoom(task, pool) : null;
    if (room === null) {
      taken.forEach(({ room: other }) => book.take(step, other, -1));
      return [];
    }
    book.take(step, room, 1);
    taken.push({ room, placement: { task, hostId: room.host.id } });
  }
  return taken.map(({ placement }) => placement);
}

function placeTasks(
  step: Step,
  tasks: readonly Task[],
  pool: string,
  book: RoomBook,
  failed: FailedNeeds,
): Placement[] {
  const placements: Placement[] = [];
  if (failed.matches(step, pool)) {
    return placements;
  }
  for (const task of tasks) {
    if (!book.isAllowed(step)) {
      break;
    }
    const room = book.findRoom(task, pool);
    if (room === null) {
      if (!book.isBound(step)) {
        failed.add(step, pool);
      }
      break;
    }
    book.take(step, room, 1);
    placements.push({ task, hostId: room.host.id });
  }
  return placements;
}

/** Decides which waiting tasks start now, and where. */
export function decidePlacements(snapshot: PlacementSnapshot): readonly Placement[] {
  const book = new RoomBook(snapshot);
  const failed = new FailedNeeds();
  return snapshot.steps.flatMap(({ step, pool }) => {
    const waiting = step.tasks.filter(
      ({ phase, notBeforeMs }) => phase === TaskPhase.Waiting && notBeforeMs <= snapshot.nowMs,
    );
    if (step.spec.isGang) {
      const isWhole = waiting.length === step.spec.taskCount;
      return isWhole ? placeGang(step, waiting, pool, book) : [];
    }
    return placeTasks(step, waiting, pool, book, failed);
  });
}
