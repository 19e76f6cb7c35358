import type { Figures, MeasureFindings, MeasureOptions } from './BaobabwellMeasures';

import { Measure } from './BaobabwellMeasures';
import { ViewExchange, ViewFleet } from './BaobabwellMeasuresViewFleet';
import {
  measureWithdrawal,
  measureWithdrawalUnderPartitions,
} from './BaobabwellMeasuresViewWithdrawal';

const IDLE_MS = 1_000;
const CHANGE_INTERVAL_MS = 1_000;
const TARGET_WITHDRAWAL_MS = 1_000;
const TARGET_WITHDRAWAL_UNDER_PARTITIONS_MS = 4_000;
const TARGET_ANSWERED_FRACTION = 0.999;

/** Number of trials and durations of the measure. */
type ViewEffort = {
  readonly changes: number;
  readonly withdrawals: number;
  readonly withdrawalsUnderPartitions: number;
  readonly ratesMs: number;
  readonly outageMs: number;
};

const SHORT_EFFORT: ViewEffort = {
  changes: 10,
  withdrawals: 1,
  withdrawalsUnderPartitions: 1,
  ratesMs: 6_000,
  outageMs: 20_000,
};

const LONG_EFFORT: ViewEffort = {
  changes: 100,
  withdrawals: 10,
  withdrawalsUnderPartitions: 30,
  ratesMs: 60_000,
  outageMs: 600_000,
};

function getQuantile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

async function measureInForce(view: ViewFleet, { changes }: ViewEffort): Promise<Figures> {
  const times: number[] = [];
  const timesFromCommand: number[] = [];
  for (let change = 0; change < changes; change += 1) {
    const entry = view.random.getOneOf(view.names);
    const { requestedAt, acceptedAt, inForceAt } = await view.measureChange(entry);
    times.push(inForceAt - acceptedAt);
    timesFromCommand.push(inForceAt - requestedAt);
    await view.fleet.advance(view.random.getInteger(IDLE_MS));
  }
  return {
    inForceP50Ms: getQuantile(times, 0.5),
    inForceP99Ms: getQuantile(times, 0.99),
    commandToInForceP50Ms: getQuantile(timesFromCommand, 0.5),
    commandToInForceP99Ms: getQuantile(timesFromCommand, 0.99),
  };
}

async function measureWithdrawals(view: ViewFleet, effort: ViewEffort): Promise<Figures> {
  let worst = 0;
  for (let round = 0; round < effort.withdrawals; round += 1) {
    worst = Math.max(worst, await measureWithdrawal(view));
  }
  let worstUnderPartitions = 0;
  let accepted = 0;
  for (let round = 0; round < effort.withdrawalsUnderPartitions; round += 1) {
    const usableMs = await measureWithdrawalUnderPartitions(view);
    worstUnderPartitions = Math.max(worstUnderPartitions, usableMs ?? 0);
    accepted += usableMs === null ? 0 : 1;
  }
  return {
    withdrawnKeyWorkedMs: worst,
    withdrawnKeyWorkedUnderCutsMs: worstUnderPartitions,
    withdrawalsAcceptedUnderCuts: accepted,
  };
}

async function measureRates(view: ViewFleet, { ratesMs }: ViewEffort): Promise<Figures> {
  const idle = await view.measureRates(ratesMs, null);
  const changing = await view.measureRates(ratesMs, CHANGE_INTERVAL_MS);
  return {
    idleReadsPerSecond: idle.reads,
    idleWritesPerSecond: idle.writes,
    readsPerSecondAtOneChange: changing.reads,
    writesPerSecondAtOneChange: changing.writes,
  };
}

async function measureOutage(view: ViewFleet, { outageMs }: ViewEffort): Promise<Figures> {
  const key = await view.grantKey('entry-1');
  await view.fleet.advance(IDLE_MS);
  view.applyStoreDown(true);
  const answeredDuringOutage = await view.measureAnswered(key, outageMs);
  view.applyStoreDown(false);
  return { answeredDuringOutage, outageMs };
}

async function measureExchange(options: MeasureOptions, exchange: ViewExchange): Promise<Figures> {
  const effort = options.isLong ? LONG_EFFORT : SHORT_EFFORT;
  const view = await ViewFleet.start(options, exchange);
  const figures = {
    ...(await measureInForce(view, effort)),
    ...(await measureWithdrawals(view, effort)),
    ...(await measureRates(view, effort)),
    ...(await measureOutage(view, effort)),
  };
  view.close();
  return figures;
}

/**
 * Measures how fast changes are in force, how long a withdrawn key still works, how often the store
 * is called, and how many calls succeed during its outage. The baseline entries read changes from
 * the store only.
 */
export class ViewMeasure extends Measure {
  override readonly name = 'view';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    return {
      figures: await measureExchange(options, ViewExchange.Full),
      baseline: await measureExchange(options, ViewExchange.StoreOnly),
      targets: {
        inForceP99Ms: { atMost: TARGET_WITHDRAWAL_MS },
        withdrawnKeyWorkedMs: { atMost: TARGET_WITHDRAWAL_MS },
        withdrawnKeyWorkedUnderCutsMs: { atMost: TARGET_WITHDRAWAL_UNDER_PARTITIONS_MS },
        answeredDuringOutage: { atLeast: TARGET_ANSWERED_FRACTION },
      },
    };
  }
}
