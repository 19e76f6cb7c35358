/** Formatting of durations, rates and percentages. */
const UNITS: readonly (readonly [string, number])[] = [
  ['d', 86_400_000],
  ['h', 3_600_000],
  ['m', 60_000],
  ['s', 1_000],
];
const PERCENT = 100;

/**
 * Formats a duration in the largest unit that divides it, such as `5m`; durations of 1 s or more are
 * rounded to seconds.
 */
export function formatDuration(durationMs: number): string {
  const rounded =
    durationMs < 1_000 ? Math.round(durationMs) : Math.round(durationMs / 1_000) * 1_000;
  const [unit, size] = UNITS.find(([, length]) => rounded >= length && rounded % length === 0) ?? [
    'ms',
    1,
  ];
  return `${rounded / size}${unit}`;
}

/** Formats a fraction as a percentage. */
export function formatPercentage(fraction: number, digits = 2): string {
  return `${Number((fraction * PERCENT).toFixed(digits))}%`;
}

/** Formats a burn rate, which is `null` for a window without calls. */
export function formatRate(rate: number | null): string {
  return rate === null ? '-' : rate.toFixed(2);
}
