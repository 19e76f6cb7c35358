import type { RequestStory, StoryLine, StoryPause } from './BaobabwellExplainStory';

/** Fields that stand elsewhere in a printed line, or repeat the question. */
const HIDDEN_FIELDS = new Set(['at', 'level', 'event', 'daemon', 'job']);

/** Lines of other subjects that are told of one pause. */
const MOST_MEANWHILE = 6;

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString().slice('2026-01-01T'.length, -1);
}

function formatFields({ fields }: StoryLine): string {
  return [...fields]
    .filter(([name, value]) => !HIDDEN_FIELDS.has(name) && value !== 'null' && value !== '')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

function formatLine(line: StoryLine): string {
  const mark = line.isOwn ? ' ' : '~';
  const daemon = line.fields.get('daemon') ?? '?';
  return `${mark} ${formatTime(line.atMs)} ${daemon} ${line.event} ${formatFields(line)}`.trimEnd();
}

function formatPause({ fromMs, tookMs, meanwhile }: StoryPause): string[] {
  const head = `${tookMs} ms from ${formatTime(fromMs)}:`;
  if (meanwhile.length === 0) {
    return [`${head} nothing else is told; its tasks may have run`];
  }
  const shown = meanwhile.slice(0, MOST_MEANWHILE).map((line) => `  ${formatLine(line)}`);
  const more = meanwhile.length - shown.length;
  return [head, ...shown, ...(more > 0 ? [`    and ${more} more`] : [])];
}

/** Formats a story for people; lines marked `~` tell of what the request depended on. */
export function formatStory({ requestId, outcome, cause, lines, pauses }: RequestStory): string {
  return [
    `${requestId}: ${outcome}; ${cause}`,
    ...(lines.length === 0 ? [] : ['', 'in order:', ...lines.map(formatLine)]),
    ...(pauses.length === 0 ? [] : ['', 'longest pauses:', ...pauses.flatMap(formatPause)]),
  ].join('\n');
}
