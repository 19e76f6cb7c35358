/** Burn rates of objectives over several windows, and the alerts that follow from them. */
import type { AlertSeverity, BurnRule } from './BaobabwellReportsConstants';
import type { CallCounts } from './BaobabwellReportsCurve';
import type { Scrape } from './BaobabwellReportsScrapes';

import { BURN_RULES } from './BaobabwellReportsConstants';
import { CallCurve } from './BaobabwellReportsCurve';

/** A queue and what is promised of it. */
export type QueueObjective = {
  readonly queue: string;
  /** Fraction of the calls that must be answered within the latency. */
  readonly success: number;
  readonly latencyMs: number;
  readonly windowMs: number;
};

/** How fast the budget burnt over a window; 1 uses up exactly the budget. */
export type WindowBurn = {
  readonly windowMs: number;
  /** `null` when no call ended in the window. */
  readonly burnRate: number | null;
};

/** A rule and whether it fires. */
export type BurnAlert = {
  readonly severity: AlertSeverity;
  readonly longMs: number;
  readonly shortMs: number;
  readonly threshold: number;
  readonly firing: boolean;
};

/** Burn rate and remaining budget at one moment. */
export type BurnPoint = {
  readonly at: number;
  readonly burnRates: readonly (number | null)[];
  readonly budgetLeft: number;
};

/** The burn of one queue. */
export type QueueBurn = QueueObjective & {
  /** Calls within the objective's window, as far as scrapes reach. */
  readonly calls: CallCounts;
  /** Fraction of the error budget that is left; negative when it is overspent. */
  readonly budgetLeft: number;
  /** How much of the objective's window is covered by scrapes, in milliseconds. */
  readonly coveredMs: number;
  readonly windows: readonly WindowBurn[];
  readonly alerts: readonly BurnAlert[];
  readonly history: readonly BurnPoint[];
};

/** The burn of all queues with an objective. */
export type BurnReport = {
  /** Wall-clock milliseconds of the newest scrape. */
  readonly at: number;
  readonly entries: readonly string[];
  readonly queues: readonly QueueBurn[];
};

const HISTORY_POINTS = 120;

function getTotal({ met, slow, failed }: CallCounts): number {
  return met + slow + failed;
}

function getErrorRate(counts: CallCounts): number | null {
  const total = getTotal(counts);
  return total === 0 ? null : (counts.slow + counts.failed) / total;
}

function buildWholeCounts({ met, slow, failed }: CallCounts): CallCounts {
  return { met: Math.round(met), slow: Math.round(slow), failed: Math.round(failed) };
}

/** Gets the burn rate at which a rule fires for an objective. */
export function getThreshold({ budgetFraction, longMs }: BurnRule, windowMs: number): number {
  return (budgetFraction * windowMs) / longMs;
}

class QueueCalculator {
  readonly #objective: QueueObjective;

  readonly #curve: CallCurve;

  constructor(objective: QueueObjective, scrapes: readonly Scrape[]) {
    this.#objective = objective;
    this.#curve = new CallCurve(scrapes, objective.queue);
  }

  getBurnRate(windowMs: number, at: number): number | null {
    const errorRate = getErrorRate(this.#curve.sumCalls(at - windowMs, at));
    return errorRate === null ? null : errorRate / (1 - this.#objective.success);
  }

  getBudgetLeft(at: number): number {
    return 1 - (this.getBurnRate(this.#objective.windowMs, at) ?? 0);
  }

  build(at: number): QueueBurn {
    const { windowMs } = this.#objective;
    const from = Math.max(this.#curve.getSpan()?.from ?? at, at - windowMs);
    const lengths = BURN_RULES.flatMap(({ longMs, shortMs }) => [shortMs, longMs]);
    const windows = [...new Set(lengths)].toSorted((a, b) => a - b);
    return {
      ...this.#objective,
      calls: buildWholeCounts(this.#curve.sumCalls(at - windowMs, at)),
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
    const threshold = getThreshold(rule, this.#objective.windowMs);
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

/** Builds the report of all objectives at the time of the newest scrape. */
export function buildBurnReport(
  scrapes: readonly Scrape[],
  objectives: readonly QueueObjective[],
): BurnReport {
  const at = scrapes.reduce((latest, scrape) => Math.max(latest, scrape.at), 0);
  return {
    at,
    entries: [...new Set(scrapes.map(({ entry }) => entry))].toSorted(),
    queues: objectives.map((objective) => new QueueCalculator(objective, scrapes).build(at)),
  };
}
