/** One log line, read back. */
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
    // A line cut short by a crash: the rest of the value is still worth reading.
    return text.slice(1);
  }
}

/**
 * Parses a line that a logger wrote; text before it, such as a collector's prefix, is skipped.
 *
 * @returns `null` when the line is not one of a logger.
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
