/**
 * Load pattern: a few tasks of a step take several times as long as the others and keep their job waiting,
 * while hosts of the pool have free capacity that no waiting task needs. Such a task gets one copy on
 * another host; the first end counts.
 */
import type { Allowance, AllowedHosts, Placement, PlacementHost } from './BaobabwellPlacementModel';
import type { Resources, Run, Step } from '@baobabwell/jobs';

import { CrashSuspicion, fitsInto, RunPhase, TaskPhase } from '@baobabwell/jobs';

/** A run of a task that may be copied, with what is expected of it. */
export type CopyCandidate = {
  readonly run: Run;
  readonly pool: string;
  /** Expected remaining time of the run, and expected duration of a fresh run, in ms. */
  readonly remainingMs: number;
  readonly freshMs: number;
  readonly maxAttempts: number;
  /** Share of the copies in the queue that ended before the run that they copied. */
  readonly wonShare: number;
};

/** A pool in which no task waits. */
export type CopyPool = {
  readonly hosts: readonly PlacementHost[];
  /** CPU that further copies may use, in thousandths of a core. */
  readonly cpuMillis: number;
};

/** Input of `decideCopies`. */
export type CopySnapshot = {
  readonly candidates: readonly CopyCandidate[];
  readonly pools: ReadonlyMap<string, CopyPool>;
  /** Labels of the host of a run. */
  readonly findLabels: (hostId: string) => readonly string[];
  readonly allowances: ReadonlyMap<string, Allowance>;
  readonly findAllowedHosts: (step: Step) => AllowedHosts | null;
};

/** Remaining time of a run from which a copy is worth its CPU, as a multiple of a fresh run. */
const MIN_GAIN = 2;

/** Least time that a copy has to save, in ms: ordering and stopping a run take time too. */
const MIN_SAVED_MS = 500;

/** Share of won copies below which a queue gets no more of them. */
const MIN_WON_SHARE = 0.1;

type MutablePool = { cpuMillis: number; readonly free: Map<string, Resources> };

function subtractNeed(free: Resources, need: Resources): Resources {
  return {
    cpuMillis: free.cpuMillis - need.cpuMillis,
    memoryMb: free.memoryMb - need.memoryMb,
    gpus: free.gpus - need.gpus,
  };
}

/** Returns true if a task may have a copy at all. */
function canCopy({ run, maxAttempts, wonShare }: CopyCandidate): boolean {
  const { task } = run;
  const { spec, job } = task.step;
  return (
    spec.isSpeculative &&
    !spec.isGang &&
    !spec.isLasting &&
    !job.isEnded &&
    task.phase === TaskPhase.Placed &&
    task.runs.size === 1 &&
    run.phase === RunPhase.Running &&
    task.failedRuns.length < maxAttempts - 1 &&
    task.crashes.suspicion === CrashSuspicion.None &&
    wonShare >= MIN_WON_SHARE
  );
}

function getSavedMs({ remainingMs, freshMs }: CopyCandidate): number {
  return remainingMs - freshMs;
}

function isWorthCopy(candidate: CopyCandidate): boolean {
  const { remainingMs, freshMs } = candidate;
  return remainingMs >= MIN_GAIN * freshMs && getSavedMs(candidate) >= MIN_SAVED_MS;
}

/** Scores a host for a copy; a lower score is better. */
function getScore(
  { dataRack }: { readonly dataRack: string | null },
  { labels, coldLeftMs }: PlacementHost,
  usedLabels: readonly string[],
  free: Resources,
): number {
  const isFar = dataRack !== null && !labels.includes(dataRack);
  const isAlike = labels.length > 0 && labels.every((label) => usedLabels.includes(label));
  const cold = coldLeftMs > 0 ? 500_000 : 0;
  return (isFar ? 2_000_000 : 0) + (isAlike ? 1_000_000 : 0) + cold - free.cpuMillis / 1_000;
}

/** Decides which runs get a copy, and where. */
export function decideCopies(snapshot: CopySnapshot): readonly Placement[] {
  const { candidates, pools, findLabels, findAllowedHosts } = snapshot;
  const remaining = new Map<string, MutablePool>();
  const allowances = new Map(
    [...snapshot.allowances].map(([name, allowance]): [string, Resources] => [name, allowance]),
  );
  const placements: Placement[] = [];

  const findHost = ({ run, pool }: CopyCandidate, free: Map<string, Resources>) => {
    const { step, avoidedHosts } = run.task;
    const { spec } = step;
    const allowed = findAllowedHosts(step);
    const usedLabels = findLabels(run.hostId);
    let best: PlacementHost | null = null;
    let bestScore = Infinity;
    (pools.get(pool)?.hosts ?? []).forEach((host) => {
      const own = free.get(host.id) ?? host.freeResources;
      const copies = placements.filter(
        ({ task, hostId }) => hostId === host.id && task.step === step,
      );
      const count = step.countRunsOnHost(host.id) + copies.length;
      const isOpen =
        host.id !== run.hostId &&
        !avoidedHosts.has(host.id) &&
        !host.isStartingSuspect &&
        fitsInto(spec.need, own) &&
        (spec.hostLabel === null || host.labels.includes(spec.hostLabel)) &&
        (spec.maxPerHost === 0 || count < spec.maxPerHost) &&
        allowed?.has(host.id) !== false;
      const score = isOpen ? getScore(spec, host, usedLabels, own) : Infinity;
      if (score < bestScore) {
        best = host;
        bestScore = score;
      }
    });
    return best as PlacementHost | null;
  };

  candidates
    .filter((candidate) => canCopy(candidate) && isWorthCopy(candidate))
    .toSorted((left, right) => getSavedMs(right) - getSavedMs(left))
    .forEach((candidate) => {
      const { task } = candidate.run;
      const { need } = task.step.spec;
      const { organisation } = task.step.job.record;
      const pool = pools.get(candidate.pool);
      const allowance = organisation === null ? undefined : allowances.get(organisation);
      if (pool === undefined || (allowance !== undefined && !fitsInto(need, allowance))) {
        return;
      }
      const room = remaining.get(candidate.pool) ?? { cpuMillis: pool.cpuMillis, free: new Map() };
      remaining.set(candidate.pool, room);
      const host = need.cpuMillis <= room.cpuMillis ? findHost(candidate, room.free) : null;
      if (host === null) {
        return;
      }
      room.cpuMillis -= need.cpuMillis;
      room.free.set(host.id, subtractNeed(room.free.get(host.id) ?? host.freeResources, need));
      if (organisation !== null && allowance !== undefined) {
        allowances.set(organisation, subtractNeed(allowance, need));
      }
      placements.push({ task, hostId: host.id });
    });
  return placements;
}
