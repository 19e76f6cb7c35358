import type { LoggedEvent } from '@baobabwell/logging';

/** Outcome of a request, derived from the logs. */
export enum RequestOutcome {
  /** The owner refused the request; none of its tasks ran. */
  Refused = 'refused',
  /** The process that received the request could not forward it to the owner. */
  Unavailable = 'unavailable',
  /** The logs do not show whether the request was stored. */
  Unknown = 'unclear',
  InTime = 'in time',
  Late = 'late',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** The request was accepted, and the logs contain no event that ends it. */
  Unfinished = 'unfinished',
  /** No line contains the request's id. */
  NotFound = 'not found',
}

/** A logged event that concerns a request or something that the request depends on. */
export type TimelineEvent = LoggedEvent & {
  /** True when the event names the request itself rather than a dependency of it. */
  readonly isOwn: boolean;
};

/** An interval between two consecutive events of a request. */
export type TimelineGap = {
  readonly fromMs: number;
  readonly tookMs: number;
  /** Events of the request's dependencies within the interval. */
  readonly relatedEvents: readonly TimelineEvent[];
};

/**
 * Events and outcome of one request. Times are wall-clock ms since 1970. The JSON output has the
 * fields under these names.
 */
export type RequestTimeline = {
  readonly requestId: string;
  readonly outcome: RequestOutcome;
  /** Reason for the outcome, as given by the event that determined it. */
  readonly cause: string;
  readonly lines: readonly TimelineEvent[];
  /** Gaps between events of the request, longest first. */
  readonly pauses: readonly TimelineGap[];
};

/** Events of dependencies are included from this long before the first to this long after the last event, in ms. */
const TIMELINE_MARGIN_MS = 2_000;

/** Shortest interval that is reported as a gap, in ms; most tasks finish within it. */
const MIN_GAP_MS = 800;

const MAX_GAPS = 5;

/** Host events that can delay the work on the host. */
const HOST_EVENTS = new Set([
  'ends-acknowledged-unseen',
  'ends-skipped',
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

/** Owner and store events that can delay all work. */
const FLEET_EVENTS = new Set([
  'event-loop-late',
  'first-lease-renewed',
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

/** Events of a process that can delay the requests that it receives. */
const PROCESS_EVENTS = new Set([
  'configuration-applied',
  'peer-not-answering',
  'process-started',
  'process-starting',
  'process-stopped',
  'process-stopping',
  'store-relayed',
]);

/** Collects the ids of the jobs that a request id refers to: the job with that id and the jobs of calls with that id. */
function collectJobIds(events: readonly LoggedEvent[], id: string): ReadonlySet<string> {
  const named = events.filter(({ fields }) => fields.get('requestId') === id);
  return new Set([id, ...named.map(({ fields }) => fields.get('job') ?? id)]);
}

function isOwnEvent({ fields }: LoggedEvent, jobs: ReadonlySet<string>): boolean {
  const [taskJob = ''] = (fields.get('task') ?? '').split('.');
  return jobs.has(fields.get('job') ?? '') || jobs.has(taskJob);
}

function collectValues(events: readonly LoggedEvent[], field: string): ReadonlySet<string> {
  return new Set(events.map(({ fields }) => fields.get(field) ?? '').filter((text) => text !== ''));
}

/** Creates a predicate that accepts events of the hosts, pools and processes that a request depends on. */
function createRelatedEventFilter(own: readonly LoggedEvent[]): (event: LoggedEvent) => boolean {
  const hosts = collectValues(own, 'host');
  const pools = collectValues(own, 'pool');
  const answeringDaemons = collectValues(
    own.filter(({ event }) => event === 'call-answered'),
    'daemon',
  );
  const fromMs = (own[0]?.atMs ?? 0) - TIMELINE_MARGIN_MS;
  const toMs = (own.at(-1)?.atMs ?? 0) + TIMELINE_MARGIN_MS;
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
    return PROCESS_EVENTS.has(event) && answeringDaemons.has(fields.get('daemon') ?? '');
  };
}

function listGaps(lines: readonly TimelineEvent[]): readonly TimelineGap[] {
  const own = lines.filter((line) => line.isOwn);
  return own
    .flatMap((line, index) => {
      const before = own[index - 1];
      const tookMs = before === undefined ? 0 : line.atMs - before.atMs;
      if (before === undefined || tookMs < MIN_GAP_MS) {
        return [];
      }
      const relatedEvents = lines.filter(
        (other) => !other.isOwn && other.atMs >= before.atMs && other.atMs <= line.atMs,
      );
      return [{ fromMs: before.atMs, tookMs, relatedEvents }];
    })
    .toSorted((left, right) => right.tookMs - left.tookMs)
    .slice(0, MAX_GAPS);
}

type RequestResult = { readonly outcome: RequestOutcome; readonly cause: string };

function getField({ fields }: LoggedEvent, name: string): string {
  return fields.get(name) ?? '';
}

function describeJobEnd(end: LoggedEvent): RequestResult {
  const took = `${getField(end, 'tookMs')} ms`;
  if (end.event === 'job-cancelled') {
    return { outcome: RequestOutcome.Cancelled, cause: 'cancelled by a caller' };
  }
  if (end.event === 'job-failed') {
    const task = getField(end, 'task');
    const crashedRuns = getField(end, 'crashedRuns');
    const reason = ['', 'null'].includes(crashedRuns)
      ? 'reached its maximum number of failures'
      : `was given up, also for crashes of hosts under its runs ${crashedRuns},`;
    return { outcome: RequestOutcome.Failed, cause: `task ${task} ${reason} after ${took}` };
  }
  const objective = getField(end, 'objectiveMs');
  const isLate = objective !== 'null' && Number(getField(end, 'tookMs')) > Number(objective);
  return {
    outcome: isLate ? RequestOutcome.Late : RequestOutcome.InTime,
    cause: `completed in ${took}, objective ${objective} ms`,
  };
}

const OUTCOME_BY_ANSWER: ReadonlyMap<string, RequestOutcome> = new Map([
  ['refused', RequestOutcome.Refused],
  ['unavailable', RequestOutcome.Unavailable],
  ['unclear', RequestOutcome.Unknown],
]);

/** Finds the result of a request from the end of its job, or from the last answer if it has no job. */
function findResult(own: readonly LoggedEvent[]): RequestResult {
  const end = own.findLast(({ event }) =>
    ['job-completed', 'job-failed', 'job-cancelled'].includes(event),
  );
  if (end !== undefined) {
    return describeJobEnd(end);
  }
  const wasSeen = own.some(({ event }) => event === 'job-seen');
  const answers = own.filter(({ event }) => event === 'call-answered');
  const wasAccepted = answers.some((line) => getField(line, 'answer') === 'accepted');
  if (wasSeen || wasAccepted) {
    const cause = wasSeen
      ? 'these logs contain no end of the job'
      : 'these logs contain no owner that received the job';
    return { outcome: RequestOutcome.Unfinished, cause };
  }
  const last = answers.at(-1);
  const outcome = last && OUTCOME_BY_ANSWER.get(getField(last, 'answer'));
  if (last === undefined || outcome === undefined) {
    const cause = own.length === 0 ? 'no line contains this id' : 'no line contains the outcome';
    return {
      outcome: own.length === 0 ? RequestOutcome.NotFound : RequestOutcome.Unfinished,
      cause,
    };
  }
  return { outcome, cause: `${getField(last, 'daemon')}: ${getField(last, 'reason')}` };
}

/**
 * Builds the timeline of a request from the events of all processes, given in any order.
 *
 * @param requestId id of a job, or the request id that a caller sent with a call about a job.
 */
export function buildTimeline(requestId: string, events: readonly LoggedEvent[]): RequestTimeline {
  const ordered = events.toSorted((left, right) => left.atMs - right.atMs);
  const jobs = collectJobIds(ordered, requestId);
  const own = ordered.filter((event) => isOwnEvent(event, jobs));
  const isRelated = createRelatedEventFilter(own);
  const lines = ordered.flatMap((event) => {
    const isRequestEvent = isOwnEvent(event, jobs);
    return isRequestEvent || (own.length > 0 && isRelated(event))
      ? [{ ...event, isOwn: isRequestEvent }]
      : [];
  });
  return { requestId, ...findResult(own), lines, pauses: listGaps(lines) };
}
