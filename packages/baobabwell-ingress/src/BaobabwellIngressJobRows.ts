import type { WatchableTableService } from '@baobabwell/platform';
import type { Deadline } from '@baobabwell/utils';

import { CANCELLED_SUFFIX, getJobPartition, JOBS_TABLE } from './BaobabwellIngressTables';

/** Rows of a job that exist in the store. */
export type JobRows = { readonly isStored: boolean; readonly isCancelled: boolean };

/** Reads which rows of a job exist; returns `null` when the store does not answer before the deadline. */
export async function findJobRows(
  store: WatchableTableService,
  jobId: string,
  deadline: Deadline,
): Promise<JobRows | null> {
  const part = getJobPartition(jobId);
  const range = { table: JOBS_TABLE, part, from: jobId, to: `${jobId}~` };
  const page = await store.list(range, { deadline });
  if (!page.ok) {
    return null;
  }
  const keys = new Set(page.value.rows.map(({ key }) => key));
  return {
    isStored: keys.has(jobId),
    isCancelled: keys.has(`${jobId}${CANCELLED_SUFFIX}`),
  };
}
