import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Job } from '@baobabwell/jobs';

type PossibleRunsContext = Pick<TermContext, 'hosts' | 'queuePools' | 'term'>;

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
}
