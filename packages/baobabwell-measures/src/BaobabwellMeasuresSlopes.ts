import type { MeasureFindings, MeasureOptions } from './BaobabwellMeasures';
import type { DecisionSizes } from './BaobabwellMeasuresDecision';
import type { Slope } from './BaobabwellMeasuresSlope';
import type { ControlCost } from './BaobabwellMeasuresSlopesFleet';

import { Measure } from './BaobabwellMeasures';
import { measureDecision } from './BaobabwellMeasuresDecision';
import { fitExponent, measureSlope } from './BaobabwellMeasuresSlope';
import { measureControl, measurePermitExchanges } from './BaobabwellMeasuresSlopesFleet';
import {
  measureApply,
  measureCopyApply,
  measureHostBytes,
  measureKeyBytes,
  measureQueueBytes,
  measureTeamBytes,
} from './BaobabwellMeasuresSlopesView';

const HOST_SIZES = [250, 1_000, 4_000, 23_000];
const TEAM_SIZES = [50, 100, 200, 410];
const KEY_SIZES = [200, 400, 800, 1_640];
const QUEUE_SIZES = [25, 50, 100, 200];
const WORKER_SIZES = [35, 140, 560, 1_700];
const QUEUED_SIZES = [100, 300, 900, 1_800];
const ENTRY_SIZES = [3, 5, 7, 9];
const CONCURRENCY_SIZES = [1, 2, 4, 8];
const TYPICAL_SIZES = { workers: 35, teams: 12, queuedCalls: 200 };
const MICROSECONDS_PER_MS = 1_000;

/** Over these ranges, logarithmic growth fits a power law with a smaller exponent than this. */
const MAX_LOGARITHMIC_EXPONENT = 0.2;

function buildControlSlope(costs: readonly ControlCost[], name: keyof ControlCost): Slope {
  const values = costs.map((cost) => cost[name]);
  return { sizes: ENTRY_SIZES, values, exponent: fitExponent(ENTRY_SIZES, values) };
}

async function measureMicros(sizes: DecisionSizes): Promise<number> {
  return (await measureDecision(sizes)) * MICROSECONDS_PER_MS;
}

async function measureDecisionSlopes(): Promise<Record<string, Slope>> {
  // The first run lets the JIT compiler optimise the code.
  await measureDecision(TYPICAL_SIZES);
  return {
    decisionMicrosByWorkers: await measureSlope(WORKER_SIZES, async (workers) =>
      measureMicros({ ...TYPICAL_SIZES, workers }),
    ),
    decisionMicrosByTeams: await measureSlope(TEAM_SIZES, async (teams) =>
      measureMicros({ ...TYPICAL_SIZES, teams, queuedCalls: 2 * teams }),
    ),
    decisionMicrosByQueued: await measureSlope(QUEUED_SIZES, async (queuedCalls) =>
      measureMicros({ ...TYPICAL_SIZES, queuedCalls }),
    ),
  };
}

async function measureViewSlopes(): Promise<Record<string, Slope>> {
  return {
    viewBytesPerHost: await measureSlope(HOST_SIZES, measureHostBytes),
    viewBytesPerTeam: await measureSlope(TEAM_SIZES, measureTeamBytes),
    viewBytesPerKey: await measureSlope(KEY_SIZES, measureKeyBytes),
    viewBytesPerQueue: await measureSlope(QUEUE_SIZES, measureQueueBytes),
    applyMicrosByHosts: await measureSlope(HOST_SIZES, measureApply),
  };
}

/** Measures how memory, messages and CPU time grow with size; the basis of the capacity page. */
export class SlopesMeasure extends Measure {
  override readonly name = 'slopes';

  override async measure({ seed }: MeasureOptions): Promise<MeasureFindings> {
    const view = await measureViewSlopes();
    const decisions = await measureDecisionSlopes();
    const costs: ControlCost[] = [];
    for (const entries of ENTRY_SIZES) {
      costs.push(await measureControl(entries, seed));
    }
    return {
      figures: {
        ...view,
        ...decisions,
        peerExchangesPerSecond: buildControlSlope(costs, 'peerExchanges'),
        peerBytesPerSecond: buildControlSlope(costs, 'peerBytes'),
        platformExchangesPerSecond: buildControlSlope(costs, 'platformExchanges'),
        exchangeMicros: buildControlSlope(costs, 'exchangeMicros'),
        permitExchangesPerCall: await measureSlope(CONCURRENCY_SIZES, async (concurrency) =>
          measurePermitExchanges(concurrency, seed),
        ),
      },
      baseline: { applyMicrosByHosts: await measureSlope(HOST_SIZES, measureCopyApply) },
      targets: {
        'applyMicrosByHosts.exponent': { atMost: MAX_LOGARITHMIC_EXPONENT },
        'decisionMicrosByWorkers.exponent': { atMost: MAX_LOGARITHMIC_EXPONENT },
        'decisionMicrosByTeams.exponent': { atMost: MAX_LOGARITHMIC_EXPONENT },
        'decisionMicrosByQueued.exponent': { atMost: MAX_LOGARITHMIC_EXPONENT },
      },
    };
  }
}
