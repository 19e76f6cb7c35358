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

/** Gives up the tasks that failed, or crashed hosts, too often by what is known by now. */
export function settleFailures(context: TermContext): void {
  const { jobRegistry, clock, requestCommit } = context;
  jobRegistry.settleFailures(clock.getNow()).forEach((task) => {
    stopFailedJob(context, { task, number: task.lastRun });
    requestCommit();
  });
}
