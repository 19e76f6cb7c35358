/** Error budget burn rates of objectives over several windows, and the alerts derived from them. */
import type { AlertSeverity, BurnRule } from './BaobabwellReportsConstants';
import type { Scrape } from './BaobabwellReportsScrapes';
import type { CallCounts } from './BaobabwellReportsSeries';

import { BURN_RULES } from './BaobabwellReportsConstants';
import { CallSeries } from './BaobabwellReportsSeries';

/** The service-level objective of a queue. */
export type QueueObjective = {
  readonly queue: string;
  /** Fraction of the calls that must be answered within the latency. */
  readonly success: number;
  readonly latencyMs: number;
  readonly windowMs: number;
};

/**
 * Burn rate over a window. At a constant rate of 1, the error budget is used up exactly at the end of
 * the objective's window.
 */
export type WindowBurn = {
  readonly windowMs: number;
  /** `null` when no call ended in the window. */
  readonly burnRate: number | null;
};

/** State of a burn rule for one queue. */
export type BurnAlert = {
  readonly severity: AlertSeverity;
  readonly longMs: number;
  readonly shortMs: number;
  readonly threshold: number;
  readonly firing: boolean;
};

/** Burn rates and remaining budget at one point in time. */
export type BurnPoint = {
  readonly at: number;
  readonly burnRates: readonly (number | null)[];
  readonly budgetLeft: number;
};

/** Error budget burn of one queue. */
export type QueueBurn = QueueObjective & {
  /** Calls within the objective's window, as far as scrapes cover it. */
  readonly calls: CallCounts;
  /** Remaining fraction of the error budget; negative when the budget is exceeded. */
  readonly budgetLeft: number;
  /** Part of the objective's window that scrapes cover, in milliseconds. */
  readonly coveredMs: number;
  readonly windows: readonly WindowBurn[];
  readonly alerts: readonly BurnAlert[];
  readonly history: readonly BurnPoint[];
};

/** Error budget burn of all queues with an objective. */
export type BurnReport = {
  /** Wall-clock milliseconds of the newest scrape. */
  readonly at: number;
  readonly entries: readonly string[];
  readonly queues: readonly QueueBurn[];
};

const HISTORY_POINTS = 120;

function countCalls({ met, slow, failed }: CallCounts): number {
  return met + slow + failed;
}

function getErrorRate(counts: CallCounts): number | null {
  const total = countCalls(counts);
  return total === 0 ? null : (counts.slow + counts.failed) / total;
}

function roundCounts({ met, slow, failed }: CallCounts): CallCounts {
  return { met: Math.round(met), slow: Math.round(slow), failed: Math.round(failed) };
}

/** Returns the burn rate above which a rule fires for an objective with the given window. */
export function getBurnRateThreshold(
  { budgetFraction, longMs }: BurnRule,
  windowMs: number,
): number {
  return (budgetFraction * windowMs) / longMs;
}

class QueueBurnCalculator {
  readonly #objective: QueueObjective;

  readonly #series: CallSeries;

  constructor(objective: QueueObjective, scrapes: readonly Scrape[]) {
    this.#objective = objective;
    this.#series = new CallSeries(scrapes, objective.queue);
  }

  getBurnRate(windowMs: number, at: number): number | null {
    const errorRate = getErrorRate(this.#series.sumCalls(at - windowMs, at));
    return errorRate === null ? null : errorRate / (1 - this.#objective.success);
  }

  getBudgetLeft(at: number): number {
    return 1 - (this.getBurnRate(this.#objective.windowMs, at) ?? 0);
  }

  build(at: number): QueueBurn {
    const { windowMs } = this.#objective;
    const from = Math.max(this.#series.getTimeRange()?.from ?? at, at - windowMs);
    const windowLengthsMs = BURN_RULES.flatMap(({ longMs, shortMs }) => [shortMs, longMs]);
    const windows = [...new Set(windowLengthsMs)].toSorted((a, b) => a - b);
    return {
      ...this.#objective,
      calls: roundCounts(this.#series.sumCalls(at - windowMs, at)),
      budgetLeft: this.getBudgetLeft(at),
      coveredMs: at - from,
      windows: windows.map((length) => ({
        windowMs: length,
        burnRate: this.getBurnRate(length, at),
      })),
      alerts: BURN_RULES.map((rule) => this.#buildAlert(rule, at)),
      history: this.#listHistory(from, at),
    };
  }

  #buildAlert(rule: BurnRule, at: number): BurnAlert {
    const { longMs, shortMs, severity } = rule;
    const threshold = getBurnRateThreshold(rule, this.#objective.windowMs);
    const firing = [longMs, shortMs].every(
      (length) => (this.getBurnRate(length, at) ?? 0) > threshold,
    );
    return { severity, longMs, shortMs, threshold, firing };
  }

  #listHistory(from: number, to: number): readonly BurnPoint[] {
    const step = (to - from) / HISTORY_POINTS;
    return Array.from({ length: HISTORY_POINTS }, (_, index) => {
      const at = from + step * (index + 1);
      return {
        at,
        burnRates: BURN_RULES.map(({ longMs }) => this.getBurnRate(longMs, at)),
        budgetLeft: this.getBudgetLeft(at),
      };
    });
  }
}

/** Builds the report on all objectives as of the newest scrape. */
export function buildBurnReport(
  scrapes: readonly Scrape[],
  objectives: readonly QueueObjective[],
): BurnReport {
  const at = scrapes.reduce((latest, scrape) => Math.max(latest, scrape.at), 0);
  return {
    at,
    entries: [...new Set(scrapes.map(({ entry }) => entry))].toSorted(),
    queues: objectives.map((objective) => new QueueBurnCalculator(objective, scrapes).build(at)),
  };
}
