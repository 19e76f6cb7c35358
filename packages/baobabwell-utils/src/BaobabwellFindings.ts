/** Where a finding stands in a source text; lines and columns count from one. */
export type Place = {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly path: string;
};

/** One thing wrong with an input. */
export type Finding = {
  readonly place: Place;
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

  /** True while nothing wrong was found. */
  isEmpty(): boolean {
    return this.#findings.length === 0;
  }

  /** The findings in order of their place. */
  list(): readonly Finding[] {
    return this.#findings.toSorted(
      (a, b) => a.place.line - b.place.line || a.place.column - b.place.column,
    );
  }
}

/** Formats a finding as `file:line:column path: problem (allowed: …)`. */
export function formatFinding({ place, problem, allowed }: Finding): string {
  const path = place.path === '' ? '' : ` ${place.path}`;
  const where = `${place.file}:${place.line}:${place.column}${path}`;
  return `${where}: ${problem} (allowed: ${allowed})`;
}
