import type { RequestTimeline, TimelineEvent, TimelineGap } from './BaobabwellExplainTimeline';

/** Fields that a printed line shows elsewhere, or that repeat the request id. */
const HIDDEN_FIELDS = new Set(['at', 'level', 'event', 'daemon', 'job']);

/** Maximum number of dependency events that are printed for one gap. */
const MAX_RELATED_EVENTS = 6;

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().slice('2026-01-01T'.length, -1);
}

function formatFields({ fields }: TimelineEvent): string {
  return [...fields]
    .filter(([name, value]) => !HIDDEN_FIELDS.has(name) && value !== 'null' && value !== '')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

function formatTimelineEvent(line: TimelineEvent): string {
  const mark = line.isOwn ? ' ' : '~';
  const daemon = line.fields.get('daemon') ?? '?';
  return `${mark} ${formatTime(line.atMs)} ${daemon} ${line.event} ${formatFields(line)}`.trimEnd();
}

function formatGap({ fromMs, tookMs, relatedEvents }: TimelineGap): string[] {
  const head = `${tookMs} ms from ${formatTime(fromMs)}:`;
  if (relatedEvents.length === 0) {
    return [`${head} no related events; tasks of the request may have been running`];
  }
  const shown = relatedEvents
    .slice(0, MAX_RELATED_EVENTS)
    .map((line) => `  ${formatTimelineEvent(line)}`);
  const more = relatedEvents.length - shown.length;
  return [head, ...shown, ...(more > 0 ? [`    and ${more} more`] : [])];
}

/** Formats a timeline as text; `~` marks events of the request's dependencies. */
export function formatTimeline({
  requestId,
  outcome,
  cause,
  lines,
  pauses,
}: RequestTimeline): string {
  return [
    `${requestId}: ${outcome}; ${cause}`,
    ...(lines.length === 0 ? [] : ['', 'in order:', ...lines.map(formatTimelineEvent)]),
    ...(pauses.length === 0 ? [] : ['', 'longest gaps:', ...pauses.flatMap(formatGap)]),
  ].join('\n');
}
