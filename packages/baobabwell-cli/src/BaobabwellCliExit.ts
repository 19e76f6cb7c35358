/** Exit codes of the command line. They are stable; docs/COMMAND-LINE.md lists them. */
export enum ExitCode {
  Success = 0,
  /** The program failed while running, or could not reach an entry. */
  Failure = 1,
  /** The command line, the settings or the text of a statement are wrong. */
  BadInput = 2,
  /** The fleet refused the statement. */
  Refused = 3,
  /** It is not known whether the command took effect. */
  Unknown = 4,
}

/** Writes one line to standard output. */
export function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes one line to standard error. */
export function writeErrorLine(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Gets what a user is told of an error: its message, never its stack. */
export function getMessage(error: unknown): string {
  if (error instanceof AggregateError && error.errors.length > 0) {
    return getMessage(error.errors[0]);
  }
  return error instanceof Error ? error.message : String(error);
}
