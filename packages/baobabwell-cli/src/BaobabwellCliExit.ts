/** Exit codes of the command line. They are stable; docs/COMMAND-LINE.md lists them. */
export enum ExitCode {
  Success = 0,
  /** The program failed at run time, or could not reach an entry. */
  Failure = 1,
  /** The command line, the settings or the text of a statement is invalid. */
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

/** Returns the message of an error for users, without its stack. */
export function getErrorMessage(error: unknown): string {
  if (error instanceof AggregateError && error.errors.length > 0) {
    return getErrorMessage(error.errors[0]);
  }
  return error instanceof Error ? error.message : String(error);
}
