import type { HostCrash, JobRecord, Run, Task } from '../../index';

import { expect } from 'earl';

import { PLAIN_STEP } from '@baobabwell/job-emulator';

import {
  createJobProgress,
  CrashSuspicion,
  decideCrashBlame,
  JobRegistry,
  JobState,
  parseJobProgress,
  RunEndEffect,
} from '../../index';

const RECORD: JobRecord = {
  id: 'a',
  queue: 'bakes',
  organisation: null,
  acceptedAtMs: 0,
  spec: {
    payload: '',
    steps: [
      { ...PLAIN_STEP, taskCount: 4 },
      { ...PLAIN_STEP, taskCount: 1, isLasting: true },
    ],
    repeat: null,
  },
};

const BORN_MS = 70;

/** Time after which a host that refused connections counts as crashed for good, in ms. */
const SETTLED_MS = 20_000;

const CRASH: Omit<HostCrash, 'runs'> = {
  isConfirmed: true,
  hasCommonCause: false,
  hasOtherCrashes: false,
};

describe('crashes of hosts under tasks', () => {
  let registry: JobRegistry;

  let tasks: readonly Task[];

  beforeEach(() => {
    registry = new JobRegistry(() => null);
    const steps = registry.addJob(RECORD, 1).getOccurrence(0);
    tasks = steps.flatMap((step) => step.tasks);
  });

  function start(index: number, number = 1): Run {
    const run = tasks[index]?.addRun('host', number, 0);
    if (run === undefined) {
      throw new Error('no such task');
    }
    run.startClockMs = 0;
    return run;
  }

  function crash(
    index: number,
    number: number,
    isAttributed: boolean,
    isRefutable = false,
  ): RunEndEffect {
    const run = start(index, number);
    run.hostBornMs = BORN_MS;
    run.task.removeRun(run);
    return registry.recordCrash(run, { isAttributed, isRefutable }, 0);
  }

  function blame(
    runs: readonly { readonly run: Run; readonly hasSurvivedStart: boolean }[],
    change: Partial<HostCrash> = {},
    wasSilentAtStart = true,
  ): readonly (string | boolean)[] {
    const { suspects, isAttributed } = decideCrashBlame({
      ...CRASH,
      runs: runs.map((run) => ({ ...run, wasSilentAtStart })),
      ...change,
    });
    return [...suspects.map(({ task }) => task.name), isAttributed];
  }

  it('blames the runs whose start the host did not survive', () => {
    const survived = { run: start(0), hasSurvivedStart: true };
    const first = { run: start(1), hasSurvivedStart: false };
    const second = { run: start(2), hasSurvivedStart: false };
    expect(blame([survived, first, second])).toEqual(['a.0.0.1', 'a.0.0.2', false]);
    expect(blame([survived, first])).toEqual(['a.0.0.1', true]);
    expect(blame([survived, first], { isConfirmed: false })).toEqual(['a.0.0.1', false]);
    expect(blame([survived, first], { hasCommonCause: true })).toEqual(['a.0.0.1', false]);
    expect(blame([survived, first], { hasOtherCrashes: true })).toEqual(['a.0.0.1', false]);
  });

  it('attributes no crash to a run whose start was not answered', () => {
    const run = start(0);
    run.startClockMs = null;
    expect(blame([{ run, hasSurvivedStart: false }])).toEqual(['a.0.0.0', false]);
  });

  it('blames no run for a crash long after its start, also when no answer showed that it survived', () => {
    expect(blame([{ run: start(0), hasSurvivedStart: false }], {}, false)).toEqual([false]);
  });

  it('blames a task that starts beside a suspect as well', () => {
    crash(1, 1, false);
    const suspect = { run: start(1, 2), hasSurvivedStart: false };
    const neighbour = { run: start(2), hasSurvivedStart: false };
    expect(blame([suspect, neighbour])).toEqual(['a.0.0.1', 'a.0.0.2', false]);
  });

  it('blames no run whose start the host survived', () => {
    const short = { run: start(0), hasSurvivedStart: true };
    const lasting = { run: start(4), hasSurvivedStart: true };
    expect(blame([short, lasting])).toEqual([false]);
    expect(blame([{ ...lasting, hasSurvivedStart: false }])).toEqual(['a.0.1.0', true]);
  });

  it('attributes no crash to a run that only its row shows', () => {
    const run = start(0);
    run.isRestored = true;
    expect(blame([{ run, hasSurvivedStart: false }])).toEqual(['a.0.0.0', false]);
  });

  it('fails the job after two attributed crashes, each counted once', () => {
    expect(crash(0, 1, true)).toEqual(RunEndEffect.Requeued);
    expect(crash(0, 1, true)).toEqual(RunEndEffect.None);
    expect(crash(0, 2, true)).toEqual(RunEndEffect.JobFailed);
    expect(tasks[0]?.step.job.state).toEqual(JobState.Failed);
  });

  it('fails the job after three crashes of which one is attributed', () => {
    expect(crash(0, 1, false)).toEqual(RunEndEffect.Requeued);
    expect(crash(0, 2, true)).toEqual(RunEndEffect.Requeued);
    expect(crash(0, 3, false)).toEqual(RunEndEffect.JobFailed);
  });

  it('fails the job after four crashes that could not be attributed', () => {
    const effects = [1, 2, 3, 4].map((number) => crash(0, number, false));
    expect(effects).toEqual([
      RunEndEffect.Requeued,
      RunEndEffect.Requeued,
      RunEndEffect.Requeued,
      RunEndEffect.JobFailed,
    ]);
  });

  it('withholds a task while a host that refused connections may return, then fails its job', () => {
    const effects = [1, 2, 3, 4].map((number) => crash(0, number, false, number === 4));
    expect(effects.at(-1)).toEqual(RunEndEffect.Requeued);
    expect(tasks[0]?.isWithheld).toEqual(true);
    expect(registry.settleFailures(1_000)).toEqual([]);
    expect(registry.settleFailures(SETTLED_MS).map(({ name }) => name)).toEqual(['a.0.0.0']);
    expect(tasks[0]?.step.job.state).toEqual(JobState.Failed);
  });

  it('takes back the crash of a host that returns in the same incarnation only', () => {
    [1, 2, 3, 4].forEach((number) => crash(0, number, false, number > 2));
    expect(registry.refuteCrashes('host', BORN_MS + 1)).toEqual([]);
    expect(registry.refuteCrashes('other', BORN_MS)).toEqual([]);
    expect(tasks[0]?.isWithheld).toEqual(true);
    expect(registry.refuteCrashes('host', BORN_MS).map(({ number }) => number)).toEqual([3, 4]);
    expect([tasks[0]?.crashes.runs, tasks[0]?.isWithheld]).toEqual([[1, 2], false]);
    expect(registry.settleFailures(SETTLED_MS)).toEqual([]);
  });

  it('never fails the job of a long running task, and keeps its latest crashes', () => {
    const numbers = Array.from({ length: 10 }, (_, index) => index + 1);
    const effects = numbers.map((number) => crash(4, number, true));
    expect(effects).toEqual(numbers.map(() => RunEndEffect.Requeued));
    expect(tasks[4]?.crashes.runs).toEqual(numbers.slice(-4));
    expect(tasks[4]?.crashes.suspicion).toEqual(CrashSuspicion.Strong);
  });

  it('suspects a task whose host is silent until the host answers', () => {
    const run = start(0);
    registry.recordPossibleCrash(run, 0);
    expect([run.task.crashes.suspicion, registry.hasSuspects()]).toEqual([
      CrashSuspicion.Weak,
      true,
    ]);
    run.task.crashes.removeUnconfirmed(run.number);
    expect([run.task.crashes.suspicion, registry.hasSuspects()]).toEqual([
      CrashSuspicion.None,
      false,
    ]);
  });

  it('restores crashes and stored starts from the row of a job', () => {
    crash(1, 1, true);
    const running = start(1, 2);
    running.hostBornMs = 70;
    const silent = start(2, 3);
    silent.task.removeRun(silent);
    registry.recordPossibleCrash(silent, 0);
    const job = running.task.step.job;
    const row = parseJobProgress(JSON.parse(JSON.stringify(createJobProgress(job))));
    const later = new JobRegistry(() => null);
    const restored = later.addJob(RECORD, 1);
    if (row !== null) {
      later.restoreProgress(restored, row, 2, 0);
    }
    const [, first, second] = restored.getOccurrence(0)[0]?.tasks ?? [];
    expect(first?.crashes.runs).toEqual([1]);
    expect(first?.crashes.attributedRuns).toEqual([1]);
    expect(first?.storedStarts).toEqual([{ run: 2, hostId: 'host', bornMs: 70 }]);
    expect(second?.storedStarts).toEqual([{ run: 3, hostId: 'host', bornMs: null }]);
    expect(later.listSuspects().length).toEqual(2);
  });

  it('restores which hosts may return from the row of a job', () => {
    [1, 2, 3, 4].forEach((number) => crash(0, number, false, number === 4));
    const { job } = start(1).task.step;
    const row = parseJobProgress(JSON.parse(JSON.stringify(createJobProgress(job))));
    const later = new JobRegistry(() => null);
    const restored = later.addJob(RECORD, 1);
    if (row !== null) {
      later.restoreProgress(restored, row, 2, SETTLED_MS);
    }
    expect(later.settleFailures(SETTLED_MS + 1)).toEqual([]);
    expect(later.refuteCrashes('host', BORN_MS).length).toEqual(1);
  });

  it('writes rows without crashes as older builds do, and reads theirs', () => {
    const job = start(0).task.step.job;
    const row = createJobProgress(job);
    expect(JSON.stringify(row).includes('crashes')).toEqual(false);
    expect(parseJobProgress(JSON.parse(JSON.stringify(row)))).toEqual(row);
  });
});
