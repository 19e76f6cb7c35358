/** Windows over which burn rates are compared. */
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** How urgently someone has to look. */
export enum AlertSeverity {
  Page = 'page',
  Ticket = 'ticket',
}

/** Fires when the budget burns too fast over a long window, and still does over a short one. */
export type BurnRule = {
  readonly longMs: number;
  readonly shortMs: number;
  /** Fraction of the whole budget that may be used up within the long window. */
  readonly budgetFraction: number;
  readonly severity: AlertSeverity;
};

/** The rules, the most urgent first. */
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
