import type { JobRecord } from '../../index';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import { createJobProgress, JobRegistry, parseJobProgress, RunEnd } from '../../index';

/** Size of a row that the store takes at most, in bytes. */
const MAX_ROW_BYTES = 65_536;

const OCCURRENCES = 16_000;

/** Occurrences that are under way or have a checkpoint, while most are done. */
const OPEN_OCCURRENCES = 1_000;

const RECORD: JobRecord = {
  id: 'a',
  queue: 'bakes',
  organisation: null,
  acceptedAtMs: 0,
  spec: {
    payload: '',
    steps: [{ ...PLAIN_STEP, taskCount: 1, keepsCheckpoints: true }],
    repeat: { count: OCCURRENCES, firstDueMs: 0, intervalMs: 1 },
  },
};

describe('progress rows of a job with many occurrences', () => {
  // Guards against a row that the store refuses, with every transaction that holds it.
  it('stay within the size of a row, and restore what is done and begun', () => {
    const registry = new JobRegistry(() => ({ maxAttempts: 2 }));
    const job = registry.addJob(RECORD, 1);
    for (let index = 0; index < OCCURRENCES; index += 1) {
      // The ends come out of order: each tenth occurrence of the last ones stays open.
      const occurrence = (index * 7) % OCCURRENCES;
      const isOpen = occurrence >= OCCURRENCES - 10 * OPEN_OCCURRENCES && occurrence % 10 === 0;
      const task = job.getOccurrence(occurrence)[0]?.tasks[0];
      const run = task?.addRun('host', 1, 0);
      if (run !== undefined && !isOpen) {
        registry.applyEnd(run, RunEnd.Done, '', 0);
      } else if (run !== undefined && occurrence === OCCURRENCES - 10) {
        registry.applyEnd(run, RunEnd.Failed, 'half', 0);
      }
    }
    const text = JSON.stringify(createJobProgress(job));
    expect(Buffer.byteLength(text) <= MAX_ROW_BYTES).toEqual(true);
    const row = parseJobProgress(JSON.parse(text));
    const later = new JobRegistry(() => ({ maxAttempts: 2 }));
    const again = later.addJob(RECORD, 1);
    if (row !== null) {
      later.restoreProgress(again, row, 2, 0);
    }
    expect(again.doneOccurrences.list()).toEqual(job.doneOccurrences.list());
    const begun = again.getOccurrence(OCCURRENCES - 10)[0]?.tasks[0];
    expect([begun?.checkpoint, begun?.failedRuns]).toEqual(['half', [1]]);
    expect(later.listDueSteps(again, OCCURRENCES).map(({ occurrence }) => occurrence)).toEqual(
      registry.listDueSteps(job, OCCURRENCES).map(({ occurrence }) => occurrence),
    );
  });
});
