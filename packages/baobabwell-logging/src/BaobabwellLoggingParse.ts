/** One parsed log line. */
export type LoggedEvent = {
  /** Wall-clock time, in ms since 1970. */
  readonly atMs: number;
  readonly level: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
};

const PAIR = /([A-Za-z][\w-]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

function parseValue(text: string): string {
  if (!text.startsWith('"')) {
    return text;
  }
  try {
    return String(JSON.parse(text));
  } catch {
    // A crash truncated the line; the start of the value is still useful.
    return text.slice(1);
  }
}

/**
 * Parses a line that a logger wrote. Skips text before it, such as the prefix of a log collector.
 *
 * @returns `null` if a logger did not write the line.
 */
export function parseEvent(line: string): LoggedEvent | null {
  const start = line.indexOf('at=');
  if (start < 0) {
    return null;
  }
  const fields = new Map<string, string>();
  for (const [, name = '', value = ''] of line.slice(start).matchAll(PAIR)) {
    fields.set(name, parseValue(value));
  }
  const atMs = Date.parse(fields.get('at') ?? '');
  const event = fields.get('event');
  if (event === undefined || Number.isNaN(atMs)) {
    return null;
  }
  return { atMs, level: fields.get('level') ?? '', event, fields };
}
