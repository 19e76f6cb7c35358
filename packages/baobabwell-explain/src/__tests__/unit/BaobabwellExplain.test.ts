import type { LogFields, LoggedEvent } from '@baobabwell/logging';

import { expect } from 'earl';

import { formatEvent, parseEvent } from '@baobabwell/logging';

import { buildTimeline, formatTimeline, RequestOutcome } from '../../index';

const START_MS = Date.parse('2026-03-01T10:00:00.000Z');

function createEvent(atMs: number, daemon: string, event: string, fields: LogFields): LoggedEvent {
  const line = formatEvent(new Date(START_MS + atMs), 'info', event, { daemon, ...fields });
  return parseEvent(line) as LoggedEvent;
}

const SEEN = createEvent(20, 'b', 'job-seen', { job: 'j1', queue: 'bake', ageMs: 20 });
const STARTED = createEvent(60, 'b', 'start-ordered', {
  job: 'j1',
  task: 'j1.0.0.0',
  run: 1,
  host: 'oven-1',
  pool: 'ovens',
});

describe('buildTimeline', () => {
  it('reports the reason that the owner gave for a refusal', () => {
    const timeline = buildTimeline('j1', [
      createEvent(30, 'a', 'call-answered', {
        job: 'j1',
        request: 'submit',
        answer: 'refused',
        reason: 'the work ahead takes 4000 ms, 700 ms are left',
        retryAfterMs: 3_300,
      }),
      createEvent(28, 'b', 'job-refused', { job: 'j1', queue: 'bake', cause: 'too-late' }),
      createEvent(25, 'b', 'job-refused', { job: 'j2', queue: 'bake', cause: 'too-late' }),
    ]);
    expect(timeline.outcome).toEqual(RequestOutcome.Refused);
    expect(timeline.cause).toEqual('a: the work ahead takes 4000 ms, 700 ms are left');
    expect(timeline.lines.map(({ event }) => event)).toEqual(['job-refused', 'call-answered']);
  });

  it('reports the gaps of a late job with the related events', function reportsLateJob() {
    const timeline = buildTimeline('j1', [
      createEvent(4_900, 'c', 'job-completed', { job: 'j1', tookMs: 4_900, objectiveMs: 1_600 }),
      SEEN,
      STARTED,
      createEvent(700, 'b', 'host-in-doubt', { host: 'oven-1' }),
      createEvent(710, 'b', 'host-in-doubt', { host: 'oven-2' }),
      createEvent(2_400, 'c', 'ownership-acquired', { epoch: 2 }),
      createEvent(4_200, 'c', 'start-ordered', { job: 'j1', task: 'j1.0.0.0', run: 1001 }),
    ]);
    expect(timeline.outcome).toEqual(RequestOutcome.Late);
    expect(formatTimeline(timeline)).toMatchSnapshot(this);
  });

  it('finds the job by the request id of one of its calls', () => {
    const call = createEvent(10, 'a', 'call-answered', {
      requestId: 'r7',
      job: 'j1',
      answer: 'accepted',
    });
    const timeline = buildTimeline('r7', [call, SEEN, STARTED]);
    expect(timeline.lines.map(({ event }) => event)).toEqual([
      'call-answered',
      'job-seen',
      'start-ordered',
    ]);
  });

  it('reports an unknown or unfinished job without guessing its outcome', () => {
    expect(buildTimeline('j9', [SEEN, STARTED]).outcome).toEqual(RequestOutcome.NotFound);
    expect(buildTimeline('j1', [SEEN, STARTED]).outcome).toEqual(RequestOutcome.Unfinished);
  });

  it('treats a job that was stored after an answer with unknown outcome as accepted', () => {
    const unknownAnswer = createEvent(10, 'a', 'call-answered', {
      job: 'j1',
      answer: 'unclear',
      reason: 'store: no answer',
    });
    expect(buildTimeline('j1', [unknownAnswer]).outcome).toEqual(RequestOutcome.Unknown);
    expect(buildTimeline('j1', [unknownAnswer, SEEN]).outcome).toEqual(RequestOutcome.Unfinished);
  });
});
