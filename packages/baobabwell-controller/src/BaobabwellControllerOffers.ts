import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, JobRecord, Resources } from '@baobabwell/jobs';
import type { AcceptedWork, AdmissionDecision } from '@baobabwell/placement';

import { TaskPhase } from '@baobabwell/jobs';
import {
  decideAdmission,
  getCriticalPathMs,
  getObjectiveMs,
  RefusalCause,
} from '@baobabwell/placement';

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

/** Returns the estimated remaining work of a job, in thousandths of a core times ms. */
function getRemainingWork(job: Job, nowMs: number): number {
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
  const { jobRegistry, clock, getConfiguration } = context;
  const nowMs = clock.getNow();
  const wallMs = clock.getWallTime();
  const queues = new Map(getConfiguration()?.queues.map((queue) => [queue.name, queue]));
  const accepted: AcceptedWork[] = [];
  for (const job of jobRegistry.listOpenJobs()) {
    const queue = queues.get(job.record.queue);
    if (queue?.pool === pool && job.record.spec.repeat === null) {
      const ageMs = wallMs - job.record.acceptedAtMs;
      const dueMs = nowMs - ageMs + getObjectiveMs(job.record.spec, queue);
      accepted.push({ dueMs, remainingWork: getRemainingWork(job, nowMs) });
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
  const decision = decideAdmission({
    nowMs,
    dueMs: nowMs + getObjectiveMs(spec, queue),
    criticalPathMs: getCriticalPathMs(spec),
    stepCount: spec.steps.length,
    cpuMillis: poolCapacity.cpuMillis,
    arrivingCpuMillis: poolCapacity.arrivingCpuMillis,
    allocatableCpuMillis: poolCapacity.allocatableCpuMillis,
    accepted: listAcceptedWork(context, queue.pool),
    isLargerThanAnyHost,
  });
  return decision.isWanted || decision.cause !== RefusalCause.TooLate || poolCapacity.isComplete
    ? decision
    : {
        ...decision,
        reason: 'the owner has just taken over and does not know its hosts yet',
        retryAfterMs: INCOMPLETE_RETRY_MS,
      };
}
