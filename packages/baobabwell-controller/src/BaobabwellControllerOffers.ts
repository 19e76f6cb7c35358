import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, JobRecord, Resources } from '@baobabwell/jobs';
import type { AcceptedWork, AdmissionDecision } from '@baobabwell/placement';

import { TaskPhase } from '@baobabwell/jobs';
import { decideAdmission, getCriticalPathMs, getObjectiveMs } from '@baobabwell/placement';

/** Room of a pool, in thousandths of a core. */
export type PoolRoom = {
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  readonly callableCpuMillis: number;
  /** Capacity of each machine of the fleet; empty while it is not known. */
  readonly largest: readonly Resources[];
};

/** Work that is left of a job, in thousandths of a core times ms, by the estimates. */
function getWorkLeft(job: Job, nowMs: number): number {
  let work = 0;
  job.listSteps().forEach(({ spec, tasks }) => {
    if (spec.isLasting) {
      return;
    }
    tasks.forEach(({ phase, runs }) => {
      if (phase === TaskPhase.Waiting) {
        work += spec.need.cpuMillis * spec.estimateMs;
      } else if (phase === TaskPhase.Placed) {
        const [run] = runs;
        const elapsedMs = run === undefined ? 0 : nowMs - run.startSentAtMs;
        work += spec.need.cpuMillis * Math.max(0, spec.estimateMs - elapsedMs);
      }
    });
  });
  return work;
}

function listAcceptedWork(context: TermContext, pool: string): readonly AcceptedWork[] {
  const { ledger, clock, getConfiguration } = context;
  const nowMs = clock.getNow();
  const wallMs = clock.getWallTime();
  const queues = new Map(getConfiguration()?.queues.map((queue) => [queue.name, queue]));
  const accepted: AcceptedWork[] = [];
  for (const job of ledger.listOpenJobs()) {
    const queue = queues.get(job.record.queue);
    if (queue?.pool === pool && job.record.spec.repeat === null) {
      const ageMs = wallMs - job.record.acceptedAtMs;
      const dueMs = nowMs - ageMs + getObjectiveMs(job.record.spec, queue);
      accepted.push({ dueMs, remainingWork: getWorkLeft(job, nowMs) });
    }
  }
  return accepted;
}

function fits(need: Resources, { cpuMillis, memoryMb, gpus }: Resources): boolean {
  return need.cpuMillis <= cpuMillis && need.memoryMb <= memoryMb && need.gpus <= gpus;
}

/** Decides whether a job that was just offered is wanted. */
export function decideOffer(
  context: TermContext,
  record: JobRecord,
  queue: QueueSettings,
  room: PoolRoom,
): AdmissionDecision {
  const { spec } = record;
  const isLargerThanAnyHost =
    room.largest.length > 0 &&
    spec.steps.some(({ need }) => !room.largest.some((capacity) => fits(need, capacity)));
  const isTimed = spec.repeat !== null || spec.steps.some(({ isLasting }) => isLasting);
  if (isTimed && !isLargerThanAnyHost) {
    return { isWanted: true };
  }
  const nowMs = context.clock.getNow();
  return decideAdmission({
    nowMs,
    dueMs: nowMs + getObjectiveMs(spec, queue),
    criticalPathMs: getCriticalPathMs(spec),
    stepCount: spec.steps.length,
    cpuMillis: room.cpuMillis,
    arrivingCpuMillis: room.arrivingCpuMillis,
    allocatableCpuMillis: room.callableCpuMillis,
    accepted: listAcceptedWork(context, queue.pool),
    isLargerThanAnyHost,
  });
}
