/** Rules for burn rate alerts. */
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Urgency of an alert. */
export enum AlertSeverity {
  Page = 'page',
  Ticket = 'ticket',
}

/**
 * A multi-window alert rule. It fires while the burn rate exceeds the threshold over both windows;
 * the short window makes the alert stop soon after the burn ends.
 */
export type BurnRule = {
  readonly longMs: number;
  readonly shortMs: number;
  /** Fraction of the total error budget that may be used up within the long window. */
  readonly budgetFraction: number;
  readonly severity: AlertSeverity;
};

/** The rules, most urgent first. */
export const BURN_RULES: readonly BurnRule[] = [
  {
    longMs: HOUR_MS,
    shortMs: 5 * MINUTE_MS,
    budgetFraction: 0.02,
    severity: AlertSeverity.Page,
  },
  {
    longMs: 6 * HOUR_MS,
    shortMs: 30 * MINUTE_MS,
    budgetFraction: 0.05,
    severity: AlertSeverity.Page,
  },
  {
    longMs: 3 * DAY_MS,
    shortMs: 6 * HOUR_MS,
    budgetFraction: 0.1,
    severity: AlertSeverity.Ticket,
  },
];
