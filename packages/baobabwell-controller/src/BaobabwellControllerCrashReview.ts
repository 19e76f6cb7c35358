import type { TermContext } from './BaobabwellControllerContext';
import type { ListedWorker } from '@baobabwell/fleet';

import { stopFailedJob } from './BaobabwellControllerJobEnds';

/** Takes back the crashes of a host that is listed: in the same incarnation it cannot have crashed. */
export function refuteCrashes(
  { jobRegistry, logger, requestCommit, requestDispatch }: TermContext,
  { id, bornMs }: ListedWorker,
): void {
  const refuted = bornMs === null ? [] : jobRegistry.refuteCrashes(id, bornMs);
  refuted.forEach(({ task, number }) =>
    logger.recordWarning('crash-refuted', {
      job: task.step.job.record.id,
      task: task.name,
      run: number,
      host: id,
      bornMs,
      crashes: task.crashes.runs.length,
    }),
  );
  if (refuted.length > 0) {
    requestCommit();
    requestDispatch();
  }
}

/** Gives up the tasks that have crashed too many hosts, once none of these hosts can return. */
export function settleCrashes(context: TermContext): void {
  const { jobRegistry, clock, requestCommit } = context;
  jobRegistry.settleCrashes(clock.getNow()).forEach((task) => {
    stopFailedJob(context, { task, number: task.crashes.runs.at(-1) ?? task.lastRun });
    requestCommit();
  });
}
