import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';

import { Run } from '@baobabwell/jobs';

/** Finds the run that an earlier owner started, for an end in the host's first report. */
export function findFormerRun(
  { jobRegistry }: TermContext,
  host: Host,
  { name, number }: { readonly name: string; readonly number: number },
): Run | null {
  const task = host.isReconciled ? null : jobRegistry.findTask(name);
  if (task === null) {
    return null;
  }
  const run = new Run(task, number, host.incarnation.id, host.trackedSinceMs);
  run.isStartKnown = false;
  return run;
}
