import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job, Resources } from '@baobabwell/jobs';

import { addResources, NO_RESOURCES, TaskPhase } from '@baobabwell/jobs';

type PossibleRunsContext = Pick<
  TermContext,
  'clock' | 'getConfiguration' | 'hosts' | 'jobRegistry' | 'queuePools' | 'term'
>;

/**
 * Tells what may still run beside the tracked runs: former owners may have started tasks on hosts that
 * have not reported to this owner, until the leases there have expired.
 */
export class PossibleRuns {
  readonly #context: PossibleRunsContext;

  constructor(context: PossibleRunsContext) {
    this.#context = context;
  }

  /** Lists the pools with hosts whose runs are not all known. */
  listUnreconciledPools(): ReadonlySet<string> {
    const pools = new Set<string>();
    this.#context.hosts.forEach(({ isReconciled, pool }) => {
      if (!isReconciled) {
        pools.add(pool);
      }
    });
    return pools;
  }

  /** Returns true while tasks of a job may run without this owner knowing. */
  mayRunUnknown(
    { acceptedVersion }: Job,
    queue: QueueSettings,
    unreconciledPools: ReadonlySet<string>,
  ): boolean {
    const { term, queuePools } = this.#context;
    return (
      acceptedVersion <= term.startVersion &&
      [...unreconciledPools].some((pool) => queuePools.mayHaveFormerRuns(queue, pool))
    );
  }

  /** Sums what the tasks that may run unknown to this owner use at most, by organisation. */
  sumUnknownResources(): ReadonlyMap<string, Resources> {
    const { jobRegistry, clock, getConfiguration } = this.#context;
    const sums = new Map<string, Resources>();
    const pools = this.listUnreconciledPools();
    if (pools.size === 0) {
      return sums;
    }
    const queues = new Map(getConfiguration()?.queues.map((queue) => [queue.name, queue]));
    const wallMs = clock.getWallTime();
    jobRegistry.listOpenJobs().forEach((job) => {
      const { organisation } = job.record;
      const queue = queues.get(job.record.queue);
      if (organisation === null || queue === undefined || !this.mayRunUnknown(job, queue, pools)) {
        return;
      }
      jobRegistry.listReadySteps(job, wallMs).forEach(({ tasks, spec }) =>
        tasks
          .filter(({ phase }) => phase === TaskPhase.Waiting)
          .forEach(() => {
            const sum = sums.get(organisation) ?? NO_RESOURCES;
            sums.set(organisation, addResources(sum, spec.need));
          }),
      );
    });
    return sums;
  }
}
