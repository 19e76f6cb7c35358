import type { MeasureFindings, MeasureOptions } from './BaobabwellMeasures';
import type { EmulatedPool } from '@baobabwell/emulator';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { VIEW_STORE } from '@baobabwell/entry';
import {
  EntityKind,
  HostState,
  Outcome,
  PriorityClass,
  WavePolicyName,
  WaveState,
} from '@baobabwell/model';
import { checkInvariant, Random } from '@baobabwell/utils';

import { Deployment, Measure } from './BaobabwellMeasures';
import { getShortestMakespan } from './BaobabwellMeasuresSchedule';

const ENTRIES = 3;
const TEAM = 'team';
const BOOT_MS = 40_000;
const BOOT_SPREAD = 0.1;
const CALLS_PER_SECOND = 8;
const MIN_RUN_MS = 500;
const MAX_RUN_MS = 3_000;
const CALL_TIMEOUT_MS = 30_000;
const STEP_MS = 500;
const START_MS = 3_000;
const WAVE_TIMEOUT_MS = 4_000_000;
/** Hosts restarted by the baseline in a short run; its time is scaled up to the whole fleet. */
const BASELINE_HOSTS = 2;
const MS_PER_SECOND = 1_000;
const TARGET_RATIO = 1.15;

/** Pools of the deployments as in examples/; each host of a pool has a separate rack. */
const POOLS: Readonly<Record<Deployment, readonly EmulatedPool[]>> = {
  [Deployment.Braudvakt]: [
    { id: 'enrolment', workers: 8, minimumServing: 6, workersPerRack: 1 },
    { id: 'kitchen', workers: 7, minimumServing: 5, workersPerRack: 1 },
    { id: 'certificate', workers: 6, minimumServing: 4, workersPerRack: 1 },
    { id: 'roster', workers: 8, minimumServing: 6, workersPerRack: 1 },
    { id: 'reserve', workers: 6, minimumServing: 0, workersPerRack: 1, spare: true },
  ],
  [Deployment.Agenda]: [
    { id: 'quotes', workers: 7, minimumServing: 5, workersPerRack: 1 },
    { id: 'bookings', workers: 9, minimumServing: 7, workersPerRack: 1 },
    { id: 'routing', workers: 7, minimumServing: 5, workersPerRack: 1 },
    { id: 'invoices', workers: 6, minimumServing: 4, workersPerRack: 1 },
    { id: 'reserve', workers: 6, minimumServing: 0, workersPerRack: 1, spare: true },
  ],
};

type RollOut = {
  /** Time for the whole fleet, scaled up if only a part was restarted. */
  readonly durationMs: number;
  readonly lowerBoundMs: number;
  readonly hostsRestarted: number;
  readonly calls: number;
  readonly notRun: number;
  readonly cutRequests: number;
  readonly budgetViolations: number;
};

type Counts = { calls: number; notRun: number; unknown: number };

function buildFleet(deployment: Deployment, seed: number): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: ENTRIES,
    pools: POOLS[deployment],
    teams: [{ id: TEAM, share: 1, limit: 1_000 }],
  });
  return new EmulatedFleet(settings, seed);
}

/** Sets a random boot time for every worker; the same seed gives the same times. */
function applyBootTimes(fleet: EmulatedFleet, random: Random): ReadonlyMap<string, number> {
  const times = fleet.listWorkers().map((worker) => {
    const factor = 1 + BOOT_SPREAD * (2 * random.getFraction() - 1);
    const bootMs = Math.round(BOOT_MS * factor);
    worker.setBootTime(bootMs);
    return [worker.id, bootMs] as const;
  });
  return new Map(times);
}

/** Returns the shortest time in which the budgets allow all hosts to restart. */
function getLowerBound(deployment: Deployment, bootTimes: ReadonlyMap<string, number>): number {
  const bounds = POOLS[deployment].map(({ id, workers, minimumServing }) => {
    const times = Array.from(
      { length: workers },
      (_, index) => bootTimes.get(`${id}-${index + 1}`) ?? 0,
    );
    return getShortestMakespan(times, workers - minimumServing);
  });
  return Math.max(...bounds);
}

async function sendCall(fleet: EmulatedFleet, random: Random, counts: Counts): Promise<void> {
  const { queues } = fleet.settings.fleet;
  const entry = random.getOneOf(fleet.listEntries());
  const runMs = MIN_RUN_MS + random.getInteger(MAX_RUN_MS - MIN_RUN_MS);
  counts.calls += 1;
  const result = await fleet.call(entry, {
    queue: random.getOneOf(queues).id,
    secret: getTeamSecret(TEAM),
    priority: PriorityClass.Normal,
    timeoutMs: CALL_TIMEOUT_MS,
    body: Buffer.from(JSON.stringify({ runMs })),
  });
  counts.notRun += result?.outcome === Outcome.NotRun ? 1 : 0;
  counts.unknown += result === null || result.outcome === Outcome.Unknown ? 1 : 0;
}

/** Counts the pools in which fewer hosts are serving and booted than the budget requires. */
function countViolations(fleet: EmulatedFleet): number {
  const view = fleet.getService('entry-1', VIEW_STORE).get();
  const violated = view.list(EntityKind.Pool).filter(({ id, minimumServing }) => {
    const serving = view
      .listHosts(id)
      .filter(({ state }) => state === HostState.Serving)
      .filter((host) => !fleet.getWorker(host.id).isBooting());
    return serving.length < minimumServing;
  });
  return violated.length;
}

async function runWave(
  { deployment, seed }: MeasureOptions,
  policy: WavePolicyName,
  maxHosts: number,
): Promise<RollOut> {
  const fleet = buildFleet(deployment, seed);
  const random = new Random(seed);
  const bootTimes = applyBootTimes(fleet, random);
  const counts: Counts = { calls: 0, notRun: 0, unknown: 0 };
  const pending: Promise<void>[] = [];
  await fleet.startAll();
  await fleet.advance(START_MS);
  await fleet.settleStatement('entry-1', `start wave all fleet = yes, policy = ${policy}`);
  const startedAt = fleet.time.getNow();
  let nextCallAt = startedAt;
  let budgetViolations = 0;
  const getWave = () => fleet.getService('entry-1', VIEW_STORE).get().get(EntityKind.Wave, 'all');
  const isOver = (): boolean =>
    getWave()?.state !== WaveState.Running || (getWave()?.done.length ?? 0) >= maxHosts;
  while (!isOver() && fleet.time.getNow() < startedAt + WAVE_TIMEOUT_MS) {
    while (nextCallAt <= fleet.time.getNow()) {
      pending.push(sendCall(fleet, random, counts));
      nextCallAt += random.getExponential(MS_PER_SECOND / CALLS_PER_SECOND);
    }
    await fleet.advance(STEP_MS);
    budgetViolations += countViolations(fleet);
  }
  const hostsRestarted = getWave()?.done.length ?? 0;
  checkInvariant(isOver() && hostsRestarted > 0, 'the wave did not finish');
  const scale = fleet.listWorkers().length / hostsRestarted;
  const durationMs = (fleet.time.getNow() - startedAt) * scale;
  await fleet.time.settle(Promise.all(pending), CALL_TIMEOUT_MS);
  const stopped = fleet.listLedger().filter(({ event }) => event === 'stopped').length;
  fleet.close();
  return {
    durationMs,
    hostsRestarted,
    lowerBoundMs: getLowerBound(deployment, bootTimes),
    calls: counts.calls,
    notRun: counts.notRun,
    cutRequests: counts.unknown + stopped,
    budgetViolations,
  };
}

/** Measures the time to restart the whole fleet under load. */
export class RollOutMeasure extends Measure {
  override readonly name = 'roll-out';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    const byBudget = await runWave(options, WavePolicyName.Budget, Number.POSITIVE_INFINITY);
    const baseline = await runWave(
      options,
      WavePolicyName.OneByOne,
      options.isLong ? Number.POSITIVE_INFINITY : BASELINE_HOSTS,
    );
    return {
      figures: { timeToLowerBound: byBudget.durationMs / byBudget.lowerBoundMs, ...byBudget },
      baseline: { timeToLowerBound: baseline.durationMs / baseline.lowerBoundMs, ...baseline },
      targets: {
        timeToLowerBound: { atMost: TARGET_RATIO },
        cutRequests: { atMost: 0 },
        budgetViolations: { atMost: 0 },
      },
    };
  }
}
