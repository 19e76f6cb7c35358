import type { JobRecord, StepSpec } from '../../index';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import {
  createJobProgress,
  EndEffect,
  JobLedger,
  JobState,
  parseJobProgress,
  parseTaskName,
  RunEnd,
} from '../../index';

const STEP: StepSpec = {
  ...PLAIN_STEP,
  taskCount: 2,
  need: { cpuMillis: 500, memoryMb: 100, gpus: 0 },
  estimateMs: 300,
  keepsCheckpoints: true,
};

function createRecord(
  steps: readonly Partial<StepSpec>[],
  change: Partial<JobRecord['spec']> = {},
) {
  return {
    id: 'a',
    queue: 'bakes',
    organisation: null,
    acceptedAtMs: 0,
    spec: {
      payload: '',
      steps: steps.map((step) => ({ ...STEP, ...step })),
      repeat: null,
      ...change,
    },
  };
}

describe('the ledger of jobs', () => {
  function createLedger(): JobLedger {
    return new JobLedger(() => ({ maxAttempts: 2 }));
  }

  it('brings a job back from its row with done tasks, failed runs and checkpoints', () => {
    const ledger = createLedger();
    const job = ledger.addJob(createRecord([{}, { after: [0] }]), 1);
    const [first, second] = job.getOccurrence(0)[0]?.tasks ?? [];
    const done = first?.addRun('host', 1, 0);
    const failed = second?.addRun('host', 1, 0);
    expect(done && ledger.applyEnd(done, RunEnd.Done, '', 0)).toEqual(EndEffect.TaskDone);
    expect(failed && ledger.applyEnd(failed, RunEnd.Failed, 'half', 0)).toEqual(EndEffect.Requeued);
    const row = parseJobProgress(JSON.parse(JSON.stringify(createJobProgress(job))));
    const later = createLedger();
    const again = later.addJob(createRecord([{}, { after: [0] }]), 1);
    if (row !== null) {
      later.applyProgress(again, row, 2, 0);
    }
    const tasks = again
      .getOccurrence(0)[0]
      ?.tasks.map(({ phase, lastRun, failedRuns, checkpoint }) => ({
        phase,
        lastRun,
        failedRuns,
        checkpoint,
      }));
    expect(tasks).toEqual([
      { phase: 'done', lastRun: 0, failedRuns: [], checkpoint: '' },
      { phase: 'waiting', lastRun: 1, failedRuns: [1], checkpoint: 'half' },
    ] as never);
  });

  it('counts one failed run once, whoever reports it', () => {
    const ledger = createLedger();
    const job = ledger.addJob(createRecord([{ taskCount: 1 }]), 1);
    const task = job.getOccurrence(0)[0]?.tasks[0];
    const run = task?.addRun('host', 1, 0);
    const same = task?.addRun('host', 1, 0);
    expect(run && ledger.applyEnd(run, RunEnd.Failed, '', 0)).toEqual(EndEffect.Requeued);
    expect(same && ledger.applyEnd(same, RunEnd.Failed, '', 0)).toEqual(EndEffect.Requeued);
    const other = task?.addRun('host', 2, 0);
    expect(other && ledger.applyEnd(other, RunEnd.Failed, '', 0)).toEqual(EndEffect.JobFailed);
    expect(job.state).toEqual(JobState.Failed);
  });

  it('starts an occurrence at its time and no sooner', () => {
    const ledger = createLedger();
    const repeat = { count: 2, firstDueMs: 1_000, intervalMs: 500 };
    const job = ledger.addJob(createRecord([{}], { repeat }), 1);
    const counts = [999, 1_000, 1_499, 1_500].map(
      (wallMs) => ledger.listReadySteps(job, wallMs).length,
    );
    expect(counts).toEqual([0, 1, 1, 2]);
  });

  it('tells callers of an end only once it is stored', () => {
    const ledger = createLedger();
    const job = ledger.addJob(createRecord([{ taskCount: 1 }]), 1);
    const run = job.getOccurrence(0)[0]?.tasks[0]?.addRun('host', 1, 0);
    job.hasStarted = true;
    if (run !== undefined) {
      ledger.applyEnd(run, RunEnd.Done, '', 0);
    }
    expect(job.getShownState()).toEqual(JobState.Running);
    ledger.recordStored(job, job.state, 3);
    expect(job.getShownState()).toEqual(JobState.Completed);
  });

  it('reads names of tasks, and nothing else as one', () => {
    expect(parseTaskName('a.0.1.17')).toEqual({ jobId: 'a', occurrence: 0, step: 1, index: 17 });
    expect(['a.0.1', 'a.0.1.x', 'a.0.1.-2', ''].map(parseTaskName)).toEqual([
      null,
      null,
      null,
      null,
    ]);
  });
});
