/** Location of a finding in a source text; lines and columns count from one. */
export type SourceLocation = {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly path: string;
};

/** One problem in an input. */
export type Finding = {
  readonly place: SourceLocation;
  readonly problem: string;
  readonly allowed: string;
};

/** Collects findings so that all are reported together rather than one at a time. */
export class FindingList {
  readonly #findings: Finding[] = [];

  /** Records one finding. */
  add(finding: Finding): void {
    this.#findings.push(finding);
  }

  /** Returns true while no finding has been recorded. */
  isEmpty(): boolean {
    return this.#findings.length === 0;
  }

  /** Lists the findings in the order of their location. */
  list(): readonly Finding[] {
    return this.#findings.toSorted(
      (a, b) => a.place.line - b.place.line || a.place.column - b.place.column,
    );
  }
}

/** Formats a finding as `file:line:column path: problem (allowed: …)`. */
export function formatFinding({ place, problem, allowed }: Finding): string {
  const path = place.path === '' ? '' : ` ${place.path}`;
  const location = `${place.file}:${place.line}:${place.column}${path}`;
  return `${location}: ${problem} (allowed: ${allowed})`;
}
