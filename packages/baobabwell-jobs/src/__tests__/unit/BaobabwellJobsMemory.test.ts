import type { JobRecord, JobSpec, StepSpec } from '../../index';

import { expect } from 'earl';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import {
  computeMemoryLimits,
  createJobProgress,
  estimateJobBytes,
  JobRegistry,
  JobState,
  OccurrenceSet,
  parseJobProgress,
  RunEnd,
  TaskBudget,
  TaskPhase,
} from '../../index';

/** Size of a row that the store takes at most, in bytes. */
const MAX_ROW_BYTES = 65_536;

/** Jobs that end, and memory that each may keep, in bytes: an owner keeps tens of thousands of them. */
const JOBS = 300;
const ENDED_JOB_BYTES = 3_000;

const WALL_MS = 10_000_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function measureHeap(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function createSpec(step: Partial<StepSpec>, repeatCount = 0): JobSpec {
  return {
    payload: 'x'.repeat(1_000),
    steps: [{ ...PLAIN_STEP, ...step }],
    repeat: repeatCount > 0 ? { count: repeatCount, firstDueMs: 0, intervalMs: 1 } : null,
  };
}

function createRecord(id: string, spec: JobSpec): JobRecord {
  // Each record is read from a row of its own.
  const record = { id, queue: 'bakes', organisation: null, acceptedAtMs: 0, spec };
  return JSON.parse(JSON.stringify(record)) as JobRecord;
}

describe('memory of jobs', () => {
  let registry: JobRegistry;

  beforeEach(() => {
    registry = new JobRegistry(() => ({ maxAttempts: 3 }));
  });

  // Each guards against owners that end one after the other for want of memory.
  [
    { name: 'a job of 100,000 tasks', spec: createSpec({ taskCount: 100_000 }), count: 1 },
    { name: '60 jobs of 2,000 tasks', spec: createSpec({ taskCount: 2_000 }), count: 60 },
    { name: 'a million due occurrences', spec: createSpec({ taskCount: 1 }, 1_000_000), count: 1 },
    { name: '500 jobs of 8 tasks', spec: createSpec({ taskCount: 8 }), count: 500 },
  ].forEach(({ name, spec, count }) => {
    it(`is what admission counts with for ${name}`, () => {
      const before = measureHeap();
      for (let number = 0; number < count; number += 1) {
        const job = registry.addJob(createRecord(`job-${number}`, spec), 1);
        registry.listReadySteps(job, WALL_MS);
      }
      expect(measureHeap() - before).toBeLessThan(count * estimateJobBytes(spec));
    });
  });

  it('is small for jobs that have ended, whose states stay known', () => {
    const spec = createSpec({ taskCount: 100 });
    const before = measureHeap();
    const jobs = Array.from({ length: JOBS }, (_, number) => {
      const job = registry.addJob(createRecord(`job-${number}`, spec), 1);
      registry.listReadySteps(job, WALL_MS).forEach(({ tasks }) => {
        tasks.forEach((task) => registry.applyEnd(task.addRun('host', 1, 0), RunEnd.Done, '', 0));
      });
      registry.removeUnsavedJob(job);
      registry.removeEndedJob(job);
      return job;
    });
    registry.compactEndedJobs();
    expect(jobs.every((job) => job.listSteps().length === 1)).toEqual(true);
    const rows = jobs.map((job) => createJobProgress(job));
    jobs.forEach((job) => registry.recordStored(job, JobState.Completed, 2));
    registry.compactEndedJobs();
    expect(jobs.map((job) => createJobProgress(job))).toEqual(rows);
    expect(jobs.every((job) => job.getVisibleState() === JobState.Completed)).toEqual(true);
    expect(measureHeap() - before).toBeLessThan(JOBS * ENDED_JOB_BYTES);
    expect(registry.findTask('job-3.0.0.7')?.phase).toEqual(TaskPhase.Done);
    registry.compactEndedJobs();
    expect([jobs[3]?.listSteps().length, registry.openBytes]).toEqual([0, 0]);
  });

  it('keeps what may still run of a job that has ended', () => {
    const job = registry.addJob(createRecord('a', createSpec({ taskCount: 2 })), 1);
    const [step] = registry.listReadySteps(job, WALL_MS);
    const run = step?.tasks[0]?.addRun('host', 1, 0);
    registry.cancelJob(job, 0);
    registry.recordStored(job, JobState.Cancelled, 2);
    registry.removeEndedJob(job);
    registry.compactEndedJobs();
    expect(registry.listRuns(job).length).toEqual(1);
    if (run !== undefined) {
      registry.applyEnd(run, RunEnd.Stopped, '', 0);
    }
    registry.compactEndedJobs();
    expect(job.listSteps().length).toEqual(0);
  });

  it('is bounded for jobs that were stored by other processes: they are worked off in turn', () => {
    registry = new JobRegistry(() => ({ maxAttempts: 3 }), new TaskBudget(2_500));
    const spec = createSpec({ taskCount: 1_000 });
    const jobs = ['a', 'b', 'c', 'd'].map((id) => registry.addJob(createRecord(id, spec), 1));
    const listTracked = () =>
      jobs
        .filter((job) => registry.listReadySteps(job, WALL_MS).length > 0)
        .map(({ record }) => record.id);
    expect(listTracked()).toEqual(['a', 'b']);
    const [first] = jobs;
    if (first !== undefined) {
      registry.cancelJob(first, 0);
      registry.recordStored(first, JobState.Cancelled, 2);
      registry.removeEndedJob(first);
    }
    registry.compactEndedJobs();
    expect(listTracked()).toEqual(['b', 'c']);
  });

  // Guards against LOST: an accepted job that waits for memory which admission counted as its own.
  it('suffices for all that admission accepts at the same time', () => {
    const { jobBytes, tasks } = computeMemoryLimits(200_000_000);
    registry = new JobRegistry(() => ({ maxAttempts: 3 }), new TaskBudget(tasks));
    const spec = createSpec({ taskCount: 145_000 });
    const jobs = ['a', 'b'].map((id) => registry.addJob(createRecord(id, spec), 1));
    expect(registry.openBytes).toBeLessThanOrEqual(jobBytes);
    expect(jobs.map((job) => registry.listReadySteps(job, WALL_MS).length)).toEqual([1, 1]);
  });

  it('works off due occurrences some at a time, and all of them', () => {
    const spec = createSpec({ taskCount: 1 }, 5_000);
    const job = registry.addJob(createRecord('a', spec), 1);
    let rounds = 0;
    while (!job.isEnded && rounds < 100) {
      rounds += 1;
      const steps = registry.listReadySteps(job, WALL_MS);
      expect(steps.length).toBeLessThanOrEqual(1_000);
      // Later ones end first: each tenth of the earlier ones stays open for a round.
      steps.toReversed().forEach(({ tasks, occurrence }) => {
        if (occurrence % 10 !== 0 || rounds % 2 === 0) {
          tasks.forEach((task) => registry.applyEnd(task.addRun('h', 1, 0), RunEnd.Done, '', 0));
        }
      });
      const text = JSON.stringify(createJobProgress(job));
      expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MAX_ROW_BYTES);
    }
    expect([job.state, job.doneOccurrences.size]).toEqual([JobState.Completed, 5_000]);
  });

  // Guards against a row that the store refuses, with every transaction that holds it: no job is completed then.
  it('keeps a row that the store takes when thousands of tasks fail or have checkpoints', () => {
    const spec = createSpec({ taskCount: 100_000, keepsCheckpoints: true });
    const job = registry.addJob(createRecord('a', spec), 1);
    const [step] = registry.listReadySteps(job, WALL_MS);
    const fail = (index: number, run: number) => {
      const task = step?.tasks[index];
      if (task !== undefined) {
        registry.applyEnd(task.addRun('host', run, 0), RunEnd.Failed, `saved-${index}`, 0);
      }
    };
    for (let index = 0; index < 20_000; index += 1) {
      fail(index, 1);
    }
    fail(7, 2);
    const text = JSON.stringify(createJobProgress(job));
    expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MAX_ROW_BYTES);
    const later = new JobRegistry(() => ({ maxAttempts: 3 }));
    const again = later.addJob(createRecord('a', spec), 1);
    const row = parseJobProgress(JSON.parse(text));
    if (row !== null) {
      later.restoreProgress(again, row, 2, 0);
    }
    expect([row?.isShortened, again.listSteps()[0]?.tasks[7]?.failedRuns]).toEqual([true, [1, 2]]);
  });

  it('restores which of 100,000 tasks are done from a row that the store takes', () => {
    const spec = createSpec({ taskCount: 100_000 });
    const job = registry.addJob(createRecord('a', spec), 1);
    registry.listReadySteps(job, WALL_MS)[0]?.tasks.forEach((task, index) => {
      if (index % 3 === 0) {
        registry.applyEnd(task.addRun('host', 1, 0), RunEnd.Done, '', 0);
      }
    });
    const startedAtMs = performance.now();
    const text = JSON.stringify(createJobProgress(job));
    expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MAX_ROW_BYTES);
    const later = new JobRegistry(() => ({ maxAttempts: 3 }));
    const again = later.addJob(createRecord('a', spec), 1);
    const row = parseJobProgress(JSON.parse(text));
    if (row !== null) {
      later.restoreProgress(again, row, 2, 0);
    }
    const [step] = again.listSteps();
    expect([step?.doneCount, step?.tasks[99_999]?.phase]).toEqual([33_334, TaskPhase.Done]);
    expect(step?.tasks[99_998]?.phase).toEqual(TaskPhase.Waiting);
    // An owner that is busy for as long as a lease lasts has lost it.
    expect(performance.now() - startedAtMs).toBeLessThan(2_800);
  });
});

describe('a set of occurrences', () => {
  it('lists what was added, in rows of consecutive ones', () => {
    const set = new OccurrenceSet();
    [3, 1, 0, 7, 6].forEach((occurrence) => set.add(occurrence));
    expect([set.listRanges(), set.firstMissing, set.size]).toEqual([
      [
        [0, 1],
        [3, 3],
        [6, 7],
      ],
      2,
      5,
    ]);
    set.addRange(2, 6);
    expect([set.listRanges(), set.has(5), set.has(8)]).toEqual([[[0, 7]], true, false]);
    expect(set.list()).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
  });
});

describe('limits of an owner', () => {
  it('follow from the heap', () => {
    const limits = computeMemoryLimits(200_000_000);
    expect(limits.jobTasks).toBeGreaterThanOrEqual(100_000);
    const jobs = limits.jobBytes + limits.unofferedBytes;
    expect(jobs + limits.runs * 1_500).toBeLessThan(200_000_000);
  });
});
