import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord, Run, Step } from '@baobabwell/jobs';
import type { Allowance, CopyPool, Placement, PlacementHost } from '@baobabwell/placement';

import { findQueueOfJob } from '@baobabwell/fleet';
import { decideCopies } from '@baobabwell/placement';

import { MAX_COPY_SHARE } from './BaobabwellControllerConstants';

type Tickets = ReadonlyMap<string, string> | null;

/** What the dispatcher knows and does for the placement of copies. */
export type CopyDispatch = {
  /** Lists the pools in which a task waits, or whose hosts are not all known. */
  readonly listClosedPools: () => readonly string[];
  readonly listHosts: (pools: ReadonlySet<string>) => ReadonlyMap<string, readonly PlacementHost[]>;
  readonly listAllowances: () => ReadonlyMap<string, Allowance>;
  readonly findTickets: (step: Step, queue: QueueSettings | null) => Tickets;
  readonly startPlacements: (
    placements: readonly Placement[],
    tickets: ReadonlyMap<Step, Tickets>,
  ) => readonly Run[];
};

/** Lists pools in which no task waits, with the CPU that copies may use there. */
function listCopyPools(
  { hosts, copies }: TermContext,
  { listHosts }: CopyDispatch,
  pools: ReadonlySet<string>,
): ReadonlyMap<string, CopyPool> {
  const capacities = new Map<string, number>();
  hosts.forEach((host) => {
    const known = capacities.get(host.pool) ?? 0;
    capacities.set(host.pool, known + host.getShortTaskCpuMillis());
  });
  return new Map(
    [...listHosts(pools)].map(([pool, poolHosts]) => {
      const maxCpuMillis = (capacities.get(pool) ?? 0) * MAX_COPY_SHARE;
      return [
        pool,
        {
          hosts: poolHosts.filter(({ ejectedOffer }) => ejectedOffer === null),
          cpuMillis: maxCpuMillis - copies.sumCopiesCpu(pool),
        },
      ];
    }),
  );
}

/** Copies runs that take long, of jobs accepted up to the given version, where nothing waits. */
export function placeCopies(
  context: TermContext,
  maxVersion: number,
  dispatch: CopyDispatch,
): void {
  const { jobRegistry, clock, copies, hosts, queuePools, getConfiguration } = context;
  const findQueue = (record: JobRecord) => findQueueOfJob(getConfiguration(), record);
  const closed = new Set(dispatch.listClosedPools());
  const findOpenQueue = (record: JobRecord) => {
    const queue = findQueue(record);
    const isOpen =
      queue !== null && !closed.has(queue.pool) && queuePools.canStart(record.queue, queue.pool);
    return isOpen ? queue : null;
  };
  const candidates = copies
    .listCandidates(clock.getNow(), findOpenQueue)
    .filter(({ run }) => run.task.step.job.acceptedVersion <= maxVersion);
  if (candidates.length === 0 || jobRegistry.hasSuspects()) {
    return;
  }
  const tickets = new Map<Step, Tickets>();
  const findAllowedHosts = (step: Step) => {
    const known = tickets.get(step);
    const found =
      known === undefined ? dispatch.findTickets(step, findQueue(step.job.record)) : known;
    tickets.set(step, found);
    return found;
  };
  const placements = decideCopies({
    candidates,
    pools: listCopyPools(context, dispatch, new Set(candidates.map(({ pool }) => pool))),
    findLabels: (hostId) => hosts.get(hostId)?.listedWorker?.labels ?? [],
    allowances: dispatch.listAllowances(),
    findAllowedHosts,
  });
  const byTask = new Map(candidates.map((candidate) => [candidate.run.task, candidate]));
  dispatch.startPlacements(placements, tickets).forEach((run) => {
    const candidate = byTask.get(run.task);
    if (candidate !== undefined) {
      copies.recordCopy(run, candidate);
    }
  });
}
