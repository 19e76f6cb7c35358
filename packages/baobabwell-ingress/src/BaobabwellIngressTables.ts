/** Table of accepted jobs; the process that accepts a job writes its row once. */
export const JOBS_TABLE = 'jobs';

/** Table of job progress, written by the owner. */
export const PROGRESS_TABLE = 'progress';

/** Suffix of the key of a row that marks a job as cancelled. */
export const CANCELLED_SUFFIX = '!cancelled';

/**
 * Number of partitions of the jobs table. A partition takes about 150 writes a second, and a fiftieth
 * of that while the store is slow. Even then, all partitions together take as many writes as a fleet
 * accepts jobs in a second.
 */
export const JOB_PARTITION_COUNT = 32;

const HEX_RADIX = 16;

/** Returns the partition of the jobs table that holds a job. */
export function getJobPartition(jobId: string): string {
  const digits = parseInt(jobId.slice(-2), HEX_RADIX);
  return `p${Number.isNaN(digits) ? 0 : digits % JOB_PARTITION_COUNT}`;
}

/** Lists all partitions of the jobs table. */
export function listJobPartitions(): readonly string[] {
  return Array.from({ length: JOB_PARTITION_COUNT }, (_, index) => `p${index}`);
}
