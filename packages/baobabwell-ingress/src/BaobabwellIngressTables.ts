/** Table of accepted jobs, written once by whoever accepted them. */
export const JOBS_TABLE = 'jobs';

/** Table of the progress of jobs, written by the owner. */
export const PROGRESS_TABLE = 'progress';

/** Ends the key of a row that says a job was cancelled. */
export const CANCELLED_SUFFIX = '!cancelled';

/**
 * Parts of the table of jobs. Each takes some 150 writes a second, and a fiftieth of that while the
 * store is slow: all of them together then still take what a fleet accepts in a second.
 */
export const JOB_PARTS = 32;

const HEX = 16;

/** Part of the table that holds a job. */
export function getJobPart(jobId: string): string {
  const digits = parseInt(jobId.slice(-2), HEX);
  return `p${Number.isNaN(digits) ? 0 : digits % JOB_PARTS}`;
}

/** All parts of the table of jobs. */
export function listJobParts(): readonly string[] {
  return Array.from({ length: JOB_PARTS }, (_, part) => `p${part}`);
}
