/** Deployments that a measure can take the shape of. */
export enum Deployment {
  Braudvakt = 'braudvakt',
  Agenda = 'agenda',
}

/** How to run a measure. */
export type MeasureOptions = {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Whether the measure may take longer than 25 s. */
  readonly isLong: boolean;
};

/** A figure, or figures by name. Durations in milliseconds, shares and ratios as fractions. */
export type Figure = number | null | readonly Figure[] | { readonly [name: string]: Figure };

/** Figures by name. */
export type Figures = { readonly [name: string]: Figure };

/** A bound that a figure has to keep. */
export type Target = {
  readonly atLeast?: number;
  readonly atMost?: number;
};

/** What a measure prints. */
export type MeasureReport = {
  readonly name: string;
  readonly seed: number;
  readonly deployment: Deployment;
  readonly figures: Figures;
  /** The same figures for the naive way, from the same run. */
  readonly baseline: Figures;
  readonly targets: Readonly<Record<string, Target>>;
  readonly met: boolean;
};

/** What a measure found. */
export type MeasureFindings = Pick<MeasureReport, 'figures' | 'baseline' | 'targets'>;

/** One measure of the product. */
export abstract class Measure {
  abstract readonly name: string;

  /** Takes the figures; rejects only if it could not measure. */
  abstract measure(options: MeasureOptions): Promise<MeasureFindings>;

  /** Takes the figures and compares them with the targets. */
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

/** True when every target is met; a figure that is missing meets none. */
export function isMet({ figures, targets }: MeasureFindings): boolean {
  return Object.entries(targets).every(([path, target]) =>
    isWithin(findFigure(figures, path), target),
  );
}
