/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The program failed while running. */
  Failure = 1,
  /** The command line or the settings are wrong. */
  BadInput = 2,
  /** The fleet refused the command. */
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
