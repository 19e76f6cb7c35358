import type { Figures, MeasureFindings, MeasureOptions } from './BaobabwellMeasures';

import {
  buildEmulatedSettings,
  EmulatedCallers,
  EmulatedFleet,
  getTeamSecret,
  listConcurrency,
  measureMeanConcurrency,
} from '@baobabwell/emulator';
import { PermitPolicy } from '@baobabwell/settings';
import { LedgerEvent } from '@baobabwell/stand-ins';

import { Deployment, Measure } from './BaobabwellMeasures';

const ENTRIES: Readonly<Record<Deployment, number>> = {
  [Deployment.Braudvakt]: 9,
  [Deployment.Agenda]: 7,
};
const TEAM = 'guilds';
const POOL = 'ovens';
const WORKERS = 6;
const LIMIT = 24;
const SMALL_LIMIT = 4;
const DEMAND_FACTOR = 2;
const MEAN_RUN_MS = 100;
const SETTLE_MS = 1_500;
const OBSERVATION_MS = 4_000;
const RECOVERY_STEP_MS = 500;
const RECOVERY_TIMEOUT_MS = 20_000;
const MIN_USE = 0.95;
const RECOVERED_USE = 0.93;

type Scenario = {
  readonly limit: number;
  /** Number of entries that have callers. */
  readonly entries: number;
  /** Number of callers at each of these entries. */
  readonly callers: number;
};

type Use = { readonly use: number; readonly exceedances: number };

async function startFleet(
  { deployment, seed }: MeasureOptions,
  permits: PermitPolicy,
  limit: number,
): Promise<EmulatedFleet> {
  const settings = buildEmulatedSettings({
    entries: ENTRIES[deployment],
    pools: [{ id: POOL, workers: WORKERS, minimumServing: 1 }],
    teams: [{ id: TEAM, share: 1, limit }],
    policies: { permits },
  });
  const fleet = new EmulatedFleet(settings, seed);
  await fleet.startAll();
  return fleet;
}

function startCallers(fleet: EmulatedFleet, entry: string, concurrency: number): void {
  new EmulatedCallers(fleet, {
    entry,
    concurrency,
    buildCall: () => ({
      queue: POOL,
      secret: getTeamSecret(TEAM),
      body: Buffer.from(JSON.stringify({ runMs: fleet.random.getExponential(MEAN_RUN_MS) })),
    }),
  }).start();
}

function countExceedances(fleet: EmulatedFleet, limit: number): number {
  return listConcurrency(fleet.listLedger(), TEAM).filter(
    ({ event, running }) => event === LedgerEvent.Started && running > limit,
  ).length;
}

function getRecentUse(fleet: EmulatedFleet): number {
  const now = fleet.time.getNow();
  const steps = listConcurrency(fleet.listLedger(), TEAM);
  return measureMeanConcurrency(steps, now - RECOVERY_STEP_MS, now) / LIMIT;
}

async function measureUse(
  options: MeasureOptions,
  permits: PermitPolicy,
  { limit, entries, callers }: Scenario,
): Promise<Use> {
  const fleet = await startFleet(options, permits, limit);
  fleet
    .listEntries()
    .slice(0, entries)
    .forEach((entry) => startCallers(fleet, entry, callers));
  await fleet.advance(SETTLE_MS);
  const from = fleet.time.getNow();
  await fleet.advance(OBSERVATION_MS);
  const steps = listConcurrency(fleet.listLedger(), TEAM);
  const use = measureMeanConcurrency(steps, from, fleet.time.getNow()) / limit;
  const exceedances = countExceedances(fleet, limit);
  fleet.close();
  return { use, exceedances };
}

/** Kills and restarts the entry that uses the whole limit; measures when the others can use it. */
async function measureRecovery(
  options: MeasureOptions,
  permits: PermitPolicy,
): Promise<{ readonly ms: number; readonly exceedances: number }> {
  const fleet = await startFleet(options, permits, LIMIT);
  const [killedEntry = '', ...others] = fleet.listEntries();
  const callers = Math.ceil((LIMIT * DEMAND_FACTOR) / others.length);
  startCallers(fleet, killedEntry, LIMIT * DEMAND_FACTOR);
  await fleet.advance(SETTLE_MS);
  fleet.killEntry(killedEntry);
  const killedAt = fleet.time.getNow();
  const restarted = fleet.createEntry(killedEntry).start();
  others.forEach((entry) => startCallers(fleet, entry, callers));
  let use = 0;
  let now = killedAt;
  while (use < RECOVERED_USE && now < killedAt + RECOVERY_TIMEOUT_MS) {
    await fleet.advance(RECOVERY_STEP_MS);
    now = fleet.time.getNow();
    // Work of the killed entry continues for a short time.
    use = now > killedAt + RECOVERY_STEP_MS ? getRecentUse(fleet) : 0;
  }
  await restarted;
  const exceedances = countExceedances(fleet, LIMIT);
  fleet.close();
  return { ms: now - killedAt, exceedances };
}

async function measurePolicy(options: MeasureOptions, permits: PermitPolicy): Promise<Figures> {
  const entries = ENTRIES[options.deployment];
  const demand = LIMIT * DEMAND_FACTOR;
  const measure = async (scenario: Scenario): Promise<Use> =>
    measureUse(options, permits, scenario);
  const spread = await measure({
    limit: LIMIT,
    entries,
    callers: Math.ceil(demand / entries),
  });
  const oneEntry = await measure({ limit: LIMIT, entries: 1, callers: demand });
  const limitOne = await measure({ limit: 1, entries, callers: 2 });
  const limitOneAtOne = await measure({ limit: 1, entries: 1, callers: 2 });
  const belowEntries = await measure({ limit: SMALL_LIMIT, entries, callers: 2 });
  const recovery = await measureRecovery(options, permits);
  return {
    exceedances: [spread, oneEntry, limitOne, limitOneAtOne, belowEntries, recovery].reduce(
      (sum, { exceedances }) => sum + exceedances,
      0,
    ),
    useSpread: spread.use,
    useOneEntry: oneEntry.use,
    useLimitOne: Math.min(limitOne.use, limitOneAtOne.use),
    useLimitBelowEntries: belowEntries.use,
    deadPermitsUsableMs: recovery.ms,
  };
}

/** Measures whether team limits hold across the fleet and can be used in full. */
export class LimitMeasure extends Measure {
  override readonly name = 'limit';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    return {
      figures: await measurePolicy(options, PermitPolicy.Keeper),
      baseline: await measurePolicy(options, PermitPolicy.Static),
      targets: {
        exceedances: { atMost: 0 },
        useSpread: { atLeast: MIN_USE },
        useOneEntry: { atLeast: MIN_USE },
        useLimitOne: { atLeast: MIN_USE },
        useLimitBelowEntries: { atLeast: MIN_USE },
      },
    };
  }
}
