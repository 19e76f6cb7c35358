import type { CallRequest, CallResult } from '@baobabwell/calls';

import { expect } from 'earl';

import { CallReason } from '@baobabwell/calls';
import { Logger, LogLevel } from '@baobabwell/logging';
import { EntryMetrics } from '@baobabwell/metrics';
import { Outcome, PriorityClass } from '@baobabwell/model';

import { CallRecorder } from '../../BaobabwellEntryCallRecorder';

const OBJECTIVE = { success: 0.99, latency: 2_000, window: 86_400_000 };
const WORKER = '10.0.0.1:8500';

function createRequest(id: string, queue = 'enrolments'): CallRequest {
  return { id, queue, priority: PriorityClass.Urgent, isRepeatable: true } as CallRequest;
}

function createResult(outcome: Outcome, reason: CallReason): CallResult {
  return { outcome, reason, isRepeatSafe: true, retryAfterMs: null, answer: null };
}

describe('CallRecorder', () => {
  let lines: string[];
  let metrics: EntryMetrics;
  let recorder: CallRecorder;

  beforeEach(() => {
    lines = [];
    metrics = new EntryMetrics();
    recorder = new CallRecorder({
      logger: new Logger(LogLevel.Debug, { entry: 'entry-1' }, (line) => lines.push(line)),
      metrics,
      findObjective: (queue) => (queue === 'enrolments' ? OBJECTIVE : null),
    });
  });

  function listLines(): readonly string[] {
    return lines.map((line) => line.replace(/^at=\S+ /, ''));
  }

  it('writes the id of the call in each of its log lines', function () {
    const request = createRequest('call-7');
    const slotRequest = {
      callId: 'call-7',
      pool: 'ovens',
      team: 'guilds',
      priority: PriorityClass.Urgent,
      deadlineAt: 0,
      excludedHosts: new Set<string>(),
    };
    const task = { id: 'call-7.1', queue: 'enrolments', team: 'guilds' } as Parameters<
      CallRecorder['recordDispatched']
    >[0];
    recorder.recordAccepted(request);
    recorder.recordWaiting(slotRequest);
    recorder.recordWaitEnded(slotRequest, 12.4, 'none');
    recorder.recordDispatched(task, WORKER);
    recorder.recordAttempt(task, { kind: 'lost', cause: 'closed' }, WORKER);
    recorder.recordEnded(request, createResult(Outcome.Unknown, CallReason.AnswerLost), 40.2);
    expect(listLines()).toMatchSnapshot(this);
  });

  it('counts towards the objective only results that the service decided', async function () {
    const completed = createResult(Outcome.Completed, CallReason.Answered);
    recorder.recordEnded(createRequest('a'), completed, 2_000);
    recorder.recordEnded(createRequest('b'), completed, 2_001);
    recorder.recordEnded(createRequest('c'), createResult(Outcome.NotRun, CallReason.NoHost), 1);
    recorder.recordEnded(
      createRequest('d'),
      createResult(Outcome.NotRun, CallReason.KeyRefused),
      1,
    );
    recorder.recordEnded(createRequest('e', 'other'), completed, 1);
    const { values } = await metrics.objectiveCalls.get();
    expect(values.map(({ labels, value }) => ({ ...labels, value }))).toMatchSnapshot(this);
  });

  it('counts calls of unknown queues under one label value', async () => {
    const unknown = createResult(Outcome.NotRun, CallReason.UnknownQueue);
    ['x', 'y', 'z'].forEach((queue) => {
      recorder.recordEnded(createRequest(queue, queue), unknown, 1);
    });
    const { values } = await metrics.calls.get();
    expect(values.map(({ labels, value }) => [labels.queue, value])).toEqual([['unknown', 3]]);
  });
});
