import type { TermContext } from './BaobabwellControllerContext';

/** An evacuation and what is left in its data centre. */
export type EvacuationReport = {
  readonly zone: string;
  /** Time since this owner learned of the request, in ms. */
  readonly ageMs: number;
  readonly hosts: number;
  readonly runs: number;
  /** Runs of long running tasks among them. */
  readonly longRuns: number;
};

/** Lists the evacuations that are in force, with what is left in their data centres. */
export function listEvacuationReports({
  evacuations,
  hosts,
  clock,
}: Pick<TermContext, 'evacuations' | 'hosts' | 'clock'>): readonly EvacuationReport[] {
  return evacuations.list().map(({ zone, seenAtMs }) => {
    const remaining = [...hosts.values()].filter(({ listedWorker }) => listedWorker?.zone === zone);
    return {
      zone,
      ageMs: Math.round(clock.getNow() - seenAtMs),
      hosts: remaining.length,
      runs: remaining.reduce((sum, { runs }) => sum + runs.size, 0),
      longRuns: remaining.reduce((sum, { longRunningCount }) => sum + longRunningCount, 0),
    };
  });
}
