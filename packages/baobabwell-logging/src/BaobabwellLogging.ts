import type { ConsolaInstance, ConsolaReporter } from 'consola';

import { createConsola } from 'consola';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Writes one formatted line of the given event. */
export type WriteLine = (line: string, event: string) => void;

/** Returns whether a line of an event may be written now; called before the line is formatted. */
export type AdmitLine = (event: string) => boolean;

/** Log level: events that are less severe are not written. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

const NEEDS_QUOTES = /[\s"=]/;

function formatValue(value: string | number | boolean | null): string {
  const text = String(value);
  if (typeof value !== 'string') {
    return text;
  }
  return NEEDS_QUOTES.test(text) || text === '' ? JSON.stringify(text) : text;
}

/** Formats one event as a line of key=value pairs. */
export function formatEvent(at: Date, level: string, event: string, fields: LogFields): string {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [`at=${at.toISOString()}`, `level=${level}`, `event=${event}`, ...pairs].join(' ');
}

function createReporter(write: WriteLine): ConsolaReporter {
  return {
    log({ date, type, args }) {
      const [event, fields] = args as [string, LogFields | undefined];
      write(formatEvent(date, type, event, fields ?? {}), event);
    },
  };
}

/** Writes one line of key=value pairs for each event. */
export class Logger {
  readonly #consola: ConsolaInstance;

  readonly #fields: LogFields;

  readonly #level: number;

  readonly #admit: AdmitLine;

  /** @param fields fields that are added to every line of this logger. */
  constructor(
    level: LogLevel,
    fields: LogFields,
    write: WriteLine = (line) => process.stderr.write(`${line}\n`),
    admit: AdmitLine = () => true,
  ) {
    this.#consola = createConsola({
      level: CONSOLA_LEVELS[level],
      reporters: [createReporter(write)],
      throttle: 0,
    });
    this.#fields = fields;
    this.#level = CONSOLA_LEVELS[level];
    this.#admit = admit;
  }

  /** Records that something failed and needs attention. */
  recordError(event: string, fields: LogFields = {}): void {
    if (this.#admit(event)) {
      this.#consola.error(event, { ...this.#fields, ...fields });
    }
  }

  /** Records an unusual condition that the system handles. */
  recordWarning(event: string, fields: LogFields = {}): void {
    if (this.#admit(event)) {
      this.#consola.warn(event, { ...this.#fields, ...fields });
    }
  }

  /** Records an ordinary event. */
  recordInfo(event: string, fields: LogFields = {}): void {
    if (this.#level >= CONSOLA_LEVELS[LogLevel.Info] && this.#admit(event)) {
      this.#consola.info(event, { ...this.#fields, ...fields });
    }
  }

  /** Records a detail for debugging. */
  recordDebug(event: string, fields: LogFields = {}): void {
    if (this.#level >= CONSOLA_LEVELS[LogLevel.Debug] && this.#admit(event)) {
      this.#consola.debug(event, { ...this.#fields, ...fields });
    }
  }
}
