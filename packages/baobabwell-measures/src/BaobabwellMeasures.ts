/** Deployments whose size a measure can use. */
export enum Deployment {
  Braudvakt = 'braudvakt',
  Agenda = 'agenda',
}

/** Options of a measure. */
export type MeasureOptions = {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Whether the measure may take longer than 25 s. */
  readonly isLong: boolean;
};

/** A figure, or figures by name. Durations are in milliseconds, shares and ratios are fractions. */
export type Figure = number | null | readonly Figure[] | { readonly [name: string]: Figure };

/** Figures by name. */
export type Figures = { readonly [name: string]: Figure };

/** Lower and upper bound of a figure. */
export type Target = {
  readonly atLeast?: number;
  readonly atMost?: number;
};

/** Report of a measure, as printed. */
export type MeasureReport = {
  readonly name: string;
  readonly seed: number;
  readonly deployment: Deployment;
  readonly figures: Figures;
  /** The figures of the naive baseline, measured in the same run. */
  readonly baseline: Figures;
  readonly targets: Readonly<Record<string, Target>>;
  readonly met: boolean;
};

/** Figures and targets of a measure. */
export type MeasureFindings = Pick<MeasureReport, 'figures' | 'baseline' | 'targets'>;

/** Base class of measures. */
export abstract class Measure {
  abstract readonly name: string;

  /** Measures the figures; rejects only if the measurement itself fails. */
  abstract measure(options: MeasureOptions): Promise<MeasureFindings>;

  /** Measures the figures and compares them with the targets. */
  async run(options: MeasureOptions): Promise<MeasureReport> {
    const findings = await this.measure(options);
    return {
      name: this.name,
      seed: options.seed,
      deployment: options.deployment,
      ...findings,
      met: isMet(findings),
    };
  }
}

/** Finds a figure by a dotted path such as `entryLost.fullServiceMs`. */
export function findFigure(figures: Figures, path: string): Figure | undefined {
  return path
    .split('.')
    .reduce<Figure | undefined>(
      (figure, name) =>
        typeof figure === 'object' && figure !== null ? (figure as Figures)[name] : undefined,
      figures,
    );
}

function isWithin(figure: Figure | undefined, { atLeast, atMost }: Target): boolean {
  return (
    typeof figure === 'number' &&
    figure >= (atLeast ?? Number.NEGATIVE_INFINITY) &&
    figure <= (atMost ?? Number.POSITIVE_INFINITY)
  );
}

/** Returns true when every target is met; a missing figure does not meet its target. */
export function isMet({ figures, targets }: MeasureFindings): boolean {
  return Object.entries(targets).every(([path, target]) =>
    isWithin(findFigure(figures, path), target),
  );
}
