import type { MeasureFindings, MeasureOptions } from './BaobabwellMeasures';
import type { Slope } from './BaobabwellMeasuresSlope';
import type { ControlCost } from './BaobabwellMeasuresSlopesFleet';

import { Measure } from './BaobabwellMeasures';
import { buildExponent, measureSlope } from './BaobabwellMeasuresSlope';
import { measureDecision } from './BaobabwellMeasuresSlopesDecision';
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
const USUAL_SHAPE = { workers: 35, teams: 12, queued: 200 };

/** A logarithm over these ranges grows like a power below this exponent. */
const LOGARITHMIC_EXPONENT = 0.2;

function buildControlSlope(costs: readonly ControlCost[], name: keyof ControlCost): Slope {
  const values = costs.map((cost) => cost[name]);
  return { sizes: ENTRY_SIZES, values, exponent: buildExponent(ENTRY_SIZES, values) };
}

async function measureDecisions(): Promise<Record<string, Slope>> {
  // The first run warms the code up.
  await measureDecision(USUAL_SHAPE);
  return {
    decisionMicrosByWorkers: await measureSlope(WORKER_SIZES, async (workers) =>
      measureDecision({ ...USUAL_SHAPE, workers }),
    ),
    decisionMicrosByTeams: await measureSlope(TEAM_SIZES, async (teams) =>
      measureDecision({ ...USUAL_SHAPE, teams, queued: 2 * teams }),
    ),
    decisionMicrosByQueued: await measureSlope(QUEUED_SIZES, async (queued) =>
      measureDecision({ ...USUAL_SHAPE, queued }),
    ),
  };
}

async function measureView(): Promise<Record<string, Slope>> {
  return {
    viewBytesPerHost: await measureSlope(HOST_SIZES, measureHostBytes),
    viewBytesPerTeam: await measureSlope(TEAM_SIZES, measureTeamBytes),
    viewBytesPerKey: await measureSlope(KEY_SIZES, measureKeyBytes),
    viewBytesPerQueue: await measureSlope(QUEUE_SIZES, measureQueueBytes),
    applyMicrosByHosts: await measureSlope(HOST_SIZES, measureApply),
  };
}

/** How state, messages and processor time grow; the basis of the capacity page. */
export class SlopesMeasure extends Measure {
  override readonly name = 'slopes';

  override async measure({ seed }: MeasureOptions): Promise<MeasureFindings> {
    const view = await measureView();
    const decisions = await measureDecisions();
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
        'applyMicrosByHosts.exponent': { atMost: LOGARITHMIC_EXPONENT },
        'decisionMicrosByWorkers.exponent': { atMost: LOGARITHMIC_EXPONENT },
        'decisionMicrosByTeams.exponent': { atMost: LOGARITHMIC_EXPONENT },
        'decisionMicrosByQueued.exponent': { atMost: LOGARITHMIC_EXPONENT },
      },
    };
  }
}
