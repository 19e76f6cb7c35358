import type { Figures } from './BaobabwellMeasures';

/** Values of one quantity at several sizes. */
export type Slope = Figures & {
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  /** Exponent of the best-fitting power law: zero for constant, one for linear growth. */
  readonly exponent: number;
};

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits `value = constant * size ^ exponent` by least squares of the logarithms. */
export function fitExponent(sizes: readonly number[], values: readonly number[]): number {
  const x = sizes.map(Math.log);
  const y = values.map((value) => Math.log(Math.max(value, Number.EPSILON)));
  const [meanX, meanY] = [getMean(x), getMean(y)];
  const covariance = getMean(x.map((value, index) => (value - meanX) * ((y[index] ?? 0) - meanY)));
  const variance = getMean(x.map((value) => (value - meanX) ** 2));
  return covariance / variance;
}

/** Measures a quantity at several sizes, one after the other, and fits its exponent. */
export async function measureSlope(
  sizes: readonly number[],
  measure: (size: number) => Promise<number> | number,
): Promise<Slope> {
  const values: number[] = [];
  for (const size of sizes) {
    values.push(await measure(size));
  }
  return { sizes, values, exponent: fitExponent(sizes, values) };
}
