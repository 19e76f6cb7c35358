import type { JobRecord, StepSpec } from '../../index';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import {
  createJobProgress,
  JobRegistry,
  JobState,
  parseJobProgress,
  parseTaskName,
  RunEnd,
  RunEndEffect,
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

describe('JobRegistry', () => {
  function createRegistry(): JobRegistry {
    return new JobRegistry(() => ({ maxAttempts: 2 }));
  }

  it('restores a job from its row with done tasks, failed runs and checkpoints', () => {
    const registry = createRegistry();
    const job = registry.addJob(createRecord([{}, { after: [0] }]), 1);
    const [first, second] = job.getOccurrence(0)[0]?.tasks ?? [];
    const done = first?.addRun('host', 1, 0);
    const failed = second?.addRun('host', 1, 0);
    expect(done && registry.applyEnd(done, RunEnd.Done, '', 0)).toEqual(RunEndEffect.TaskDone);
    expect(failed && registry.applyEnd(failed, RunEnd.Failed, 'half', 0)).toEqual(
      RunEndEffect.Requeued,
    );
    const row = parseJobProgress(JSON.parse(JSON.stringify(createJobProgress(job))));
    const later = createRegistry();
    const again = later.addJob(createRecord([{}, { after: [0] }]), 1);
    if (row !== null) {
      later.restoreProgress(again, row, 2, 0);
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

  it('counts a failed run once if it is reported twice', () => {
    const registry = createRegistry();
    const job = registry.addJob(createRecord([{ taskCount: 1 }]), 1);
    const task = job.getOccurrence(0)[0]?.tasks[0];
    const run = task?.addRun('host', 1, 0);
    const same = task?.addRun('host', 1, 0);
    expect(run && registry.applyEnd(run, RunEnd.Failed, '', 0)).toEqual(RunEndEffect.Requeued);
    expect(same && registry.applyEnd(same, RunEnd.Failed, '', 0)).toEqual(RunEndEffect.Requeued);
    const other = task?.addRun('host', 2, 0);
    expect(other && registry.applyEnd(other, RunEnd.Failed, '', 0)).toEqual(RunEndEffect.JobFailed);
    expect(job.state).toEqual(JobState.Failed);
  });

  // Guards against LOST: a job shown as failed by a limit that its queue never had.
  it('fails no job while the limit of its queue is not known, and then by that limit', () => {
    let maxAttempts: number | null = null;
    const registry = new JobRegistry(() => (maxAttempts === null ? null : { maxAttempts }));
    const job = registry.addJob(createRecord([{ taskCount: 1 }]), 1);
    const task = job.getOccurrence(0)[0]?.tasks[0];
    const effects = [1, 2, 3, 4].map((number) => {
      const run = task?.addRun('host', number, 0);
      return run && registry.applyEnd(run, RunEnd.Failed, '', 0);
    });
    expect([...new Set(effects)]).toEqual([RunEndEffect.Requeued]);
    expect(registry.settleFailures(0)).toEqual([]);
    maxAttempts = 5;
    expect(registry.settleFailures(0)).toEqual([]);
    expect(job.state).toEqual(JobState.Queued);
    const row = parseJobProgress(JSON.parse(JSON.stringify(createJobProgress(job))));
    const later = new JobRegistry(() => ({ maxAttempts: 4 }));
    const restored = later.addJob(createRecord([{ taskCount: 1 }]), 1);
    if (row !== null) {
      later.restoreProgress(restored, row, 2, 0);
    }
    expect(later.settleFailures(0).map(({ name }) => name)).toEqual(['a.0.0.0']);
    expect(restored.state).toEqual(JobState.Failed);
  });

  it('lists the steps of an occurrence from its due time on', () => {
    const registry = createRegistry();
    const repeat = { count: 2, firstDueMs: 1_000, intervalMs: 500 };
    const job = registry.addJob(createRecord([{}], { repeat }), 1);
    const counts = [999, 1_000, 1_499, 1_500].map(
      (wallMs) => registry.listReadySteps(job, wallMs).length,
    );
    expect(counts).toEqual([0, 1, 1, 2]);
  });

  it('shows the end of a job only once it is persisted', () => {
    const registry = createRegistry();
    const job = registry.addJob(createRecord([{ taskCount: 1 }]), 1);
    const run = job.getOccurrence(0)[0]?.tasks[0]?.addRun('host', 1, 0);
    job.hasStarted = true;
    if (run !== undefined) {
      registry.applyEnd(run, RunEnd.Done, '', 0);
    }
    expect(job.getVisibleState()).toEqual(JobState.Running);
    registry.recordStored(job, job.state, 3);
    expect(job.getVisibleState()).toEqual(JobState.Completed);
  });

  it('parses task names and rejects other texts', () => {
    expect(parseTaskName('a.0.1.17')).toEqual({ jobId: 'a', occurrence: 0, step: 1, index: 17 });
    expect(['a.0.1', 'a.0.1.x', 'a.0.1.-2', ''].map(parseTaskName)).toEqual([
      null,
      null,
      null,
      null,
    ]);
  });
});
