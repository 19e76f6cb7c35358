import type { TermContext } from './BaobabwellControllerContext';
import type { Job, LeftoverRuns, Resources, Step } from '@baobabwell/jobs';

import { addResources, countLeftoverRuns, NO_RESOURCES, TaskPhase } from '@baobabwell/jobs';

import { MAX_COPY_SHARE } from './BaobabwellControllerConstants';

type PossibleRunsContext = Pick<
  TermContext,
  'clock' | 'getConfiguration' | 'hosts' | 'jobRegistry' | 'queuePools' | 'term'
>;

const NO_RUNS: LeftoverRuns = new Map();

function multiplyResources({ cpuMillis, memoryMb, gpus }: Resources, factor: number): Resources {
  return { cpuMillis: cpuMillis * factor, memoryMb: memoryMb * factor, gpus: gpus * factor };
}

/** Counts the runs that former owners stored as leftover and no host has reported. */
function countUnseenLeftover({ tasks, formerLeftoverCount }: Step): number {
  const tracked = tasks.reduce((count, { runs }) => count + runs.size, 0);
  return Math.max(0, formerLeftoverCount - tracked);
}

/** Counts the tasks of a step of which a second run may exist beside the one that is known. */
function countPossibleCopies({ spec, tasks }: Step): number {
  return spec.isSpeculative
    ? tasks.filter(({ phase, runs }) => phase !== TaskPhase.Waiting && runs.size < 2).length
    : 0;
}

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
  mayRunUnknown({ acceptedVersion, record }: Job, unreconciledPools: ReadonlySet<string>): boolean {
    const { term, queuePools } = this.#context;
    return (
      acceptedVersion <= term.startVersion &&
      [...unreconciledPools].some((pool) => queuePools.mayHaveFormerRuns(record, pool))
    );
  }

  /** Sums what the tasks that may run unknown to this owner use at most, by organisation with a cap. */
  sumUnknownResources(): ReadonlyMap<string, Resources> {
    const { jobRegistry } = this.#context;
    const sums = new Map<string, Resources>();
    const pools = this.listUnreconciledPools();
    if (pools.size === 0) {
      return sums;
    }
    let copyCpuMillis = this.#getMaxCopyCpuMillis(pools);
    this.#filterCapped([...jobRegistry.listOpenJobs(), ...jobRegistry.listEndedJobs()])
      .filter((job) => this.mayRunUnknown(job, pools))
      .forEach((job) => {
        const organisation = job.record.organisation ?? '';
        this.#countUnknownRuns(job).forEach((count, step) => {
          const { need } = step.spec;
          const copies = Math.min(countPossibleCopies(step), copyCpuMillis / (need.cpuMillis || 1));
          copyCpuMillis -= copies * need.cpuMillis;
          const used = multiplyResources(need, count + copies);
          sums.set(organisation, addResources(sums.get(organisation) ?? NO_RESOURCES, used));
        });
      });
    return sums;
  }

  /**
   * Counts the runs of a job that may exist although their tasks need none, as its row has to name them: a
   * successor can't tell them by the tasks that are still to be done.
   */
  countLeftoverRuns(job: Job): LeftoverRuns {
    const [capped] = this.#filterCapped([job]);
    return capped === undefined
      ? NO_RUNS
      : this.#countLeftoverRuns(capped, this.listUnreconciledPools());
  }

  /** Takes the ended jobs of which no run can exist any more: their rows need not name any. */
  takeSettledJobs(): readonly Job[] {
    const { jobRegistry } = this.#context;
    const ended = [...jobRegistry.listEndedJobs()];
    const capped = new Set(this.#filterCapped(ended));
    const pools = this.listUnreconciledPools();
    const settled = ended.filter(
      (job) =>
        !capped.has(job) ||
        [...this.#countLeftoverRuns(job, pools).values()].every((count) => count === 0),
    );
    settled.forEach((job) => jobRegistry.removeEndedJob(job));
    return settled;
  }

  /** Counts the leftover runs of a job whose organisation has a cap. */
  #countLeftoverRuns(job: Job, unreconciledPools: ReadonlySet<string>): LeftoverRuns {
    const isUnknown = this.mayRunUnknown(job, unreconciledPools);
    const unknown = isUnknown && job.isEnded ? this.#countUnknownRuns(job) : NO_RUNS;
    return new Map(
      job.listSteps().map((step) => {
        const unseen = isUnknown ? countUnseenLeftover(step) : 0;
        return [step, countLeftoverRuns(step) + (unknown.get(step) ?? unseen)] as const;
      }),
    );
  }

  /** Counts the runs of a job that former owners may have started and no host has reported, by step. */
  #countUnknownRuns(job: Job): LeftoverRuns {
    const { jobRegistry, clock } = this.#context;
    const due = job.hadEnded ? [] : jobRegistry.listDueSteps(job, clock.getWallTime());
    const counts = new Map(due.map((step) => [step, step.waitingCount]));
    job
      .listSteps()
      .forEach((step) => counts.set(step, (counts.get(step) ?? 0) + countUnseenLeftover(step)));
    return counts;
  }

  #filterCapped(jobs: readonly Job[]): readonly Job[] {
    const organisations = this.#context.getConfiguration()?.organisations ?? [];
    const capped = new Set(
      organisations
        .filter(({ cap: { cpuMillis, memoryMb, gpus } }) => cpuMillis + memoryMb + gpus > 0)
        .map(({ name }) => name),
    );
    return jobs.filter(({ record }) => capped.has(record.organisation ?? ''));
  }

  /** Returns the CPU that copies use at most on hosts that have not reported, in thousandths of a core. */
  #getMaxCopyCpuMillis(pools: ReadonlySet<string>): number {
    let cpuMillis = 0;
    this.#context.hosts.forEach((host) => {
      cpuMillis += pools.has(host.pool) ? host.getCapacity().cpuMillis : 0;
    });
    return cpuMillis * MAX_COPY_SHARE;
  }
}
