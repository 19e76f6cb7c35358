import type { Figures, MeasureFindings, MeasureOptions } from './BaobabwellMeasures';

import {
  buildEmulatedSettings,
  EmulatedCallers,
  EmulatedFleet,
  getTeamSecret,
  listConcurrency,
  measureMeanConcurrency,
} from '@baobabwell/emulator';
import { SharePolicy } from '@baobabwell/settings';

import { Deployment, Measure } from './BaobabwellMeasures';

const ENTRIES: Readonly<Record<Deployment, number>> = {
  [Deployment.Braudvakt]: 9,
  [Deployment.Agenda]: 7,
};
const POOL = 'ovens';
const WORKERS = 4;
const SLOTS = 32;
const SETTLE_MS = 2_500;
const WINDOW_MS = 10_000;
const WINDOWS = 1;
const LONG_WINDOWS = 3;
const CALLERS = 22;
const TARGET_DEVIATION = 0.05;
const TARGET_USE = 0.95;

/** Teams with their shares. Calls of the first team run the longest. */
const TEAMS = [
  { id: 'guilds', share: 3, limit: SLOTS, meanRunMs: 400 },
  { id: 'schools', share: 2, limit: SLOTS, meanRunMs: 100 },
  { id: 'public', share: 1, limit: SLOTS, meanRunMs: 200 },
] as const;
const TOTAL_SHARE = TEAMS.reduce((sum, { share }) => sum + share, 0);

type Findings = { readonly deviation: number; readonly slotUse: number };

function startCallers(fleet: EmulatedFleet, team: (typeof TEAMS)[number], entries: number): void {
  fleet
    .listEntries()
    .slice(0, entries)
    .forEach((entry) =>
      new EmulatedCallers(fleet, {
        entry,
        concurrency: Math.ceil(CALLERS / entries),
        buildCall: () => ({
          queue: POOL,
          secret: getTeamSecret(team.id),
          timeoutMs: WINDOW_MS * LONG_WINDOWS,
          body: Buffer.from(JSON.stringify({ runMs: fleet.random.getExponential(team.meanRunMs) })),
        }),
      }).start(),
    );
}

/** Compares the slot use of each team in a window with its share of the total use. */
function measureWindow(fleet: EmulatedFleet, from: number): Findings {
  const ledger = fleet.listLedger();
  const used = TEAMS.map(({ id }) =>
    measureMeanConcurrency(listConcurrency(ledger, id), from, from + WINDOW_MS),
  );
  const total = used.reduce((sum, usage) => sum + usage, 0);
  const deviations = TEAMS.map(({ share }, index) =>
    Math.abs((used[index] ?? 0) / total / (share / TOTAL_SHARE) - 1),
  );
  return { deviation: Math.max(...deviations), slotUse: total / SLOTS };
}

async function measureShares(
  { deployment, seed, isLong }: MeasureOptions,
  shares: SharePolicy,
  entriesOfFirstTeam: number,
): Promise<Findings> {
  const entries = ENTRIES[deployment];
  const settings = buildEmulatedSettings({
    entries,
    pools: [{ id: POOL, workers: WORKERS, minimumServing: 1 }],
    teams: TEAMS.map(({ id, share, limit }) => ({ id, share, limit })),
    policies: { shares },
  });
  const fleet = new EmulatedFleet(settings, seed);
  await fleet.startAll();
  TEAMS.forEach((team, index) =>
    startCallers(fleet, team, index === 0 ? entriesOfFirstTeam : entries),
  );
  await fleet.advance(SETTLE_MS);
  const findings: Findings[] = [];
  for (let window = 0; window < (isLong ? LONG_WINDOWS : WINDOWS); window += 1) {
    const from = fleet.time.getNow();
    await fleet.advance(WINDOW_MS);
    findings.push(measureWindow(fleet, from));
  }
  fleet.close();
  return {
    deviation: Math.max(...findings.map(({ deviation }) => deviation)),
    slotUse: Math.min(...findings.map(({ slotUse }) => slotUse)),
  };
}

async function measurePolicy(options: MeasureOptions, shares: SharePolicy): Promise<Figures> {
  const spread = await measureShares(options, shares, ENTRIES[options.deployment]);
  const skewed = await measureShares(options, shares, 1);
  return {
    deviationSpread: spread.deviation,
    deviationSkewed: skewed.deviation,
    slotUse: Math.min(spread.slotUse, skewed.slotUse),
  };
}

/** Measures the deviation of each team from its share of a full pool, and the use of the pool. */
export class ShareMeasure extends Measure {
  override readonly name = 'share';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    return {
      figures: await measurePolicy(options, SharePolicy.Fleet),
      baseline: await measurePolicy(options, SharePolicy.Local),
      targets: {
        deviationSpread: { atMost: TARGET_DEVIATION },
        deviationSkewed: { atMost: TARGET_DEVIATION },
        slotUse: { atLeast: TARGET_USE },
      },
    };
  }
}
