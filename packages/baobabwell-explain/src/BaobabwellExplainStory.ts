import type { LoggedEvent } from '@baobabwell/logging';

/** How a request ended, as far as the logs tell. */
export enum RequestOutcome {
  /** The owner refused it; nothing of it ran. */
  Refused = 'refused',
  /** The process that took it could not hand it on. */
  Unavailable = 'unavailable',
  /** It is not known whether it was stored. */
  Unclear = 'unclear',
  InTime = 'in time',
  Late = 'late',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** It was accepted, and no end stands in the logs. */
  Unfinished = 'unfinished',
  /** No line names it. */
  NotFound = 'not found',
}

/** One line of the logs that belongs to the story. */
export type StoryLine = LoggedEvent & {
  /** The request itself is named, not only what it depended on. */
  readonly isOwn: boolean;
};

/** A time in which nothing happened to the request itself. */
export type StoryPause = {
  readonly fromMs: number;
  readonly tookMs: number;
  /** Lines of what it depended on, from that time. */
  readonly meanwhile: readonly StoryLine[];
};

/** Everything that the logs tell of one request. Times are wall-clock ms since 1970. */
export type RequestStory = {
  readonly requestId: string;
  readonly outcome: RequestOutcome;
  /** Why, in the words of the line that decided it. */
  readonly cause: string;
  readonly lines: readonly StoryLine[];
  /** Longest first. */
  readonly pauses: readonly StoryPause[];
};

/** Time before the first and after the last line of a request that still counts as its time, in ms. */
const MARGIN_MS = 2_000;

/** Least time without a line that is told as a pause, in ms: longer than most tasks take. */
const PAUSE_MS = 800;

const MOST_PAUSES = 5;

/** Events of hosts that hold up the work on them. */
const HOST_EVENTS = new Set([
  'host-cordon',
  'host-departed',
  'host-draining',
  'host-in-doubt',
  'host-lease-lapsed',
  'host-life-ended',
  'host-reachable',
  'host-reborn',
  'host-settled',
  'host-unlisted',
  'host-unreachable',
]);

/** Events of the owner and of the store that hold up all work. */
const FLEET_EVENTS = new Set([
  'ownership-acquired',
  'ownership-lost',
  'ownership-not-renewed',
  'ownership-released',
  'ownership-resumed',
  'progress-not-stored',
  'store-history-gone',
  'store-not-relayed',
  'store-watch-failed',
  'term-loaded',
]);

/** Events of the process that took the request. */
const PROCESS_EVENTS = new Set([
  'configuration-applied',
  'peer-not-answering',
  'process-started',
  'process-starting',
  'process-stopped',
  'process-stopping',
  'store-relayed',
]);

/** Jobs that an id names: a job of that id, and those that calls with that id were about. */
function collectJobs(events: readonly LoggedEvent[], id: string): ReadonlySet<string> {
  const named = events.filter(({ fields }) => fields.get('requestId') === id);
  return new Set([id, ...named.map(({ fields }) => fields.get('job') ?? id)]);
}

function isOwn({ fields }: LoggedEvent, jobs: ReadonlySet<string>): boolean {
  const [taskJob = ''] = (fields.get('task') ?? '').split('.');
  return jobs.has(fields.get('job') ?? '') || jobs.has(taskJob);
}

function collectValues(events: readonly LoggedEvent[], field: string): ReadonlySet<string> {
  return new Set(events.map(({ fields }) => fields.get(field) ?? '').filter((text) => text !== ''));
}

/** Tells whether a line of another subject bears on a request. */
function createFilter(own: readonly LoggedEvent[]): (event: LoggedEvent) => boolean {
  const hosts = collectValues(own, 'host');
  const pools = collectValues(own, 'pool');
  const takers = collectValues(
    own.filter(({ event }) => event === 'call-answered'),
    'daemon',
  );
  const fromMs = (own[0]?.atMs ?? 0) - MARGIN_MS;
  const toMs = (own.at(-1)?.atMs ?? 0) + MARGIN_MS;
  return ({ atMs, event, fields }) => {
    if (atMs < fromMs || atMs > toMs) {
      return false;
    }
    if (FLEET_EVENTS.has(event)) {
      return true;
    }
    if (HOST_EVENTS.has(event)) {
      return hosts.has(fields.get('host') ?? '');
    }
    if (event === 'pool-load') {
      return pools.has(fields.get('pool') ?? '');
    }
    return PROCESS_EVENTS.has(event) && takers.has(fields.get('daemon') ?? '');
  };
}

function listPauses(lines: readonly StoryLine[]): readonly StoryPause[] {
  const own = lines.filter((line) => line.isOwn);
  return own
    .flatMap((line, index) => {
      const before = own[index - 1];
      const tookMs = before === undefined ? 0 : line.atMs - before.atMs;
      if (before === undefined || tookMs < PAUSE_MS) {
        return [];
      }
      const meanwhile = lines.filter(
        (other) => !other.isOwn && other.atMs >= before.atMs && other.atMs <= line.atMs,
      );
      return [{ fromMs: before.atMs, tookMs, meanwhile }];
    })
    .toSorted((left, right) => right.tookMs - left.tookMs)
    .slice(0, MOST_PAUSES);
}

type Ending = { readonly outcome: RequestOutcome; readonly cause: string };

function getField({ fields }: LoggedEvent, name: string): string {
  return fields.get(name) ?? '';
}

function describeEnd(end: LoggedEvent): Ending {
  const took = `${getField(end, 'tookMs')} ms`;
  if (end.event === 'job-cancelled') {
    return { outcome: RequestOutcome.Cancelled, cause: 'a caller cancelled it' };
  }
  if (end.event === 'job-failed') {
    const task = getField(end, 'task');
    const cause = `task ${task} failed as often as it may, after ${took}`;
    return { outcome: RequestOutcome.Failed, cause };
  }
  const objective = getField(end, 'objectiveMs');
  const isLate = objective !== 'null' && Number(getField(end, 'tookMs')) > Number(objective);
  return {
    outcome: isLate ? RequestOutcome.Late : RequestOutcome.InTime,
    cause: `it took ${took}, its objective is ${objective} ms`,
  };
}

const ANSWERS: ReadonlyMap<string, RequestOutcome> = new Map([
  ['refused', RequestOutcome.Refused],
  ['unavailable', RequestOutcome.Unavailable],
  ['unclear', RequestOutcome.Unclear],
]);

/** Finds how a request ended: by its job, or by the last answer when there is no job. */
function findEnding(own: readonly LoggedEvent[]): Ending {
  const end = own.findLast(({ event }) =>
    ['job-completed', 'job-failed', 'job-cancelled'].includes(event),
  );
  if (end !== undefined) {
    return describeEnd(end);
  }
  const wasSeen = own.some(({ event }) => event === 'job-seen');
  const answers = own.filter(({ event }) => event === 'call-answered');
  const wasAccepted = answers.some((line) => getField(line, 'answer') === 'accepted');
  if (wasSeen || wasAccepted) {
    const cause = wasSeen ? 'no end stands in these logs' : 'no owner saw it in these logs';
    return { outcome: RequestOutcome.Unfinished, cause };
  }
  const last = answers.at(-1);
  const outcome = last && ANSWERS.get(getField(last, 'answer'));
  if (last === undefined || outcome === undefined) {
    const cause = own.length === 0 ? 'no line names it' : 'no line tells how it ended';
    return {
      outcome: own.length === 0 ? RequestOutcome.NotFound : RequestOutcome.Unfinished,
      cause,
    };
  }
  return { outcome, cause: `${getField(last, 'daemon')}: ${getField(last, 'reason')}` };
}

/**
 * Builds the story of a request from the lines of all processes, in any order.
 *
 * @param requestId id of a job, or the id that a caller gave a call about one.
 */
export function buildStory(requestId: string, events: readonly LoggedEvent[]): RequestStory {
  const ordered = events.toSorted((left, right) => left.atMs - right.atMs);
  const jobs = collectJobs(ordered, requestId);
  const own = ordered.filter((event) => isOwn(event, jobs));
  const matches = createFilter(own);
  const lines = ordered.flatMap((event) => {
    const names = isOwn(event, jobs);
    return names || (own.length > 0 && matches(event)) ? [{ ...event, isOwn: names }] : [];
  });
  return { requestId, ...findEnding(own), lines, pauses: listPauses(lines) };
}
