import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, JobRecord, Resources } from '@baobabwell/jobs';
import type { AcceptedWork, AdmissionDecision } from '@baobabwell/placement';

import { TaskPhase } from '@baobabwell/jobs';
import { decideAdmission, getCriticalPathMs, getObjectiveMs } from '@baobabwell/placement';

import { getRunRemainingMs } from './BaobabwellControllerRunDurations';

/** Capacity of a pool, in thousandths of a core. */
export type PoolCapacity = {
  readonly cpuMillis: number;
  readonly arrivingCpuMillis: number;
  readonly allocatableCpuMillis: number;
  /** Capacity of each machine of the fleet; empty while the list of machines is not loaded. */
  readonly machineCapacities: readonly Resources[];
};

/** Returns the estimated remaining work of a job, in thousandths of a core times ms. */
function getRemainingWork(job: Job, { clock, durations }: TermContext): number {
  const { queue } = job.record;
  const nowMs = clock.getNow();
  let work = 0;
  job.listSteps().forEach(({ spec, tasks }) => {
    if (spec.isLasting) {
      return;
    }
    const expectedMs = durations.getExpectedMs(queue, spec);
    tasks.forEach(({ phase, runs }) => {
      if (phase === TaskPhase.Waiting) {
        work += spec.need.cpuMillis * expectedMs;
      } else if (phase === TaskPhase.Placed) {
        const [run] = runs;
        work +=
          spec.need.cpuMillis *
          (run === undefined ? expectedMs : getRunRemainingMs(run, durations, nowMs));
      }
    });
  });
  return work;
}

function listAcceptedWork(context: TermContext, pool: string): readonly AcceptedWork[] {
  const { jobRegistry, clock, durations, getConfiguration } = context;
  const nowMs = clock.getNow();
  const wallMs = clock.getWallTime();
  const queues = new Map(getConfiguration()?.queues.map((queue) => [queue.name, queue]));
  const accepted: AcceptedWork[] = [];
  for (const job of jobRegistry.listOpenJobs()) {
    const queue = queues.get(job.record.queue);
    if (queue?.pool === pool && job.record.spec.repeat === null) {
      const ageMs = wallMs - job.record.acceptedAtMs;
      const dueMs = nowMs - ageMs + getObjectiveMs(job.record.spec, queue, durations);
      accepted.push({ dueMs, remainingWork: getRemainingWork(job, context) });
    }
  }
  return accepted;
}

function canFit(need: Resources, { cpuMillis, memoryMb, gpus }: Resources): boolean {
  return need.cpuMillis <= cpuMillis && need.memoryMb <= memoryMb && need.gpus <= gpus;
}

/** Decides whether to admit an offered job. */
export function decideOffer(
  context: TermContext,
  record: JobRecord,
  queue: QueueSettings,
  poolCapacity: PoolCapacity,
): AdmissionDecision {
  const { spec } = record;
  const isLargerThanAnyHost =
    poolCapacity.machineCapacities.length > 0 &&
    spec.steps.some(
      ({ need }) => !poolCapacity.machineCapacities.some((capacity) => canFit(need, capacity)),
    );
  const hasNoObjective = spec.repeat !== null || spec.steps.some(({ isLasting }) => isLasting);
  if (hasNoObjective && !isLargerThanAnyHost) {
    return { isWanted: true };
  }
  const nowMs = context.clock.getNow();
  return decideAdmission({
    nowMs,
    dueMs: nowMs + getObjectiveMs(spec, queue, context.durations),
    criticalPathMs: getCriticalPathMs(spec, queue.name, context.durations),
    stepCount: spec.steps.length,
    cpuMillis: poolCapacity.cpuMillis,
    arrivingCpuMillis: poolCapacity.arrivingCpuMillis,
    allocatableCpuMillis: poolCapacity.allocatableCpuMillis,
    accepted: listAcceptedWork(context, queue.pool),
    isLargerThanAnyHost,
  });
}
