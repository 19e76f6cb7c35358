import type { Run } from '@baobabwell/jobs';

/** Returns the log fields that identify a run. */
export function describeRun({ task, number, hostId }: Run): Record<string, string | number> {
  return { job: task.step.job.record.id, task: task.name, run: number, host: hostId };
}
