import type { TermContext } from './BaobabwellControllerContext';
import type { StoredStart, Task } from '@baobabwell/jobs';

import { RunPhase, TaskPhase } from '@baobabwell/jobs';

/** Tracks a run that a former owner stored before its start: it may be on its host. */
function restoreStart({ hosts, clock }: TermContext, task: Task, storedStart: StoredStart): void {
  const { run: number, hostId, bornMs } = storedStart;
  const nowMs = clock.getNow();
  const host = hosts.get(hostId);
  const run = task.addRun(hostId, number, nowMs);
  run.isRestored = true;
  run.hostBornMs = bornMs;
  if (host === undefined) {
    // The former owner removed the host's row, and counted the crash if it saw one.
    task.removeRun(run);
    return;
  }
  if (bornMs !== null) {
    // The host's row keeps the incarnation at its first use.
    host.bornMs = Math.max(host.bornMs ?? 0, bornMs);
  }
  run.phase = RunPhase.Running;
  run.answeredAtMs = nowMs;
  host.addRun(run);
}

/** Tracks the runs that former owners stored before their start, once all hosts and jobs are read. */
export function restoreStoredStarts(context: TermContext): void {
  context.jobRegistry
    .listSuspects()
    .filter(({ phase, step }) => phase === TaskPhase.Waiting && !step.job.isEnded)
    .forEach((suspect) => {
      const task = suspect;
      task.storedStarts.forEach((start) => restoreStart(context, task, start));
      task.storedStarts = [];
    });
}
