import type { Figures, MeasureFindings, MeasureOptions } from './BaobabwellMeasures';
import type { CallResult } from '@baobabwell/calls';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { Outcome, PriorityClass } from '@baobabwell/model';
import { AdmissionPolicy, SharePolicy } from '@baobabwell/settings';

import { Deployment, Measure } from './BaobabwellMeasures';

const ENTRIES: Readonly<Record<Deployment, number>> = {
  [Deployment.Braudvakt]: 9,
  [Deployment.Agenda]: 7,
};
const POOL = 'ovens';
const WORKERS = 4;
const SLOTS = 32;
const MEAN_RUN_MS = 200;
const CAPACITY_PER_MS = SLOTS / MEAN_RUN_MS;
const SURGE_FACTOR = 5;
const QUIET_FRACTION = 0.2;
const URGENT_FRACTION = 0.05;
const TIMEOUT_MS = 3_000;
const TICK_MS = 5;
const QUIET_MS = 4_000;
const SURGE_MS = 5_000;
const AFTER_MS = 5_000;
const WINDOW_MS = 500;
const RECOVERED_WAIT_FACTOR = 2;
const P99 = 0.99;

const SURGING_TEAM = 'guilds';
const OTHER_TEAMS = ['schools', 'public'];

type MeasuredCall = {
  readonly team: string;
  readonly isUrgent: boolean;
  readonly runMs: number;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome | null;
};

function getQuantile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Open-loop load: calls arrive at random times and entries, independent of earlier replies. */
class OpenLoopLoad {
  readonly calls: MeasuredCall[] = [];

  readonly #fleet: EmulatedFleet;

  readonly #nextArrivalAt = new Map<string, number>();

  constructor(fleet: EmulatedFleet) {
    this.#fleet = fleet;
  }

  /** Sends the calls of each team at a mean rate per millisecond for `durationMs`. */
  async run(rates: ReadonlyMap<string, number>, durationMs: number): Promise<void> {
    const { time, random } = this.#fleet;
    const until = time.getNow() + durationMs;
    while (time.getNow() < until) {
      const now = time.getNow();
      rates.forEach((rate, team) => {
        let dueAt = this.#nextArrivalAt.get(team) ?? now;
        while (dueAt <= now) {
          void this.#call(team);
          dueAt += random.getExponential(1 / rate);
        }
        this.#nextArrivalAt.set(team, dueAt);
      });
      await this.#fleet.advance(TICK_MS);
    }
    this.#nextArrivalAt.clear();
  }

  async #call(team: string): Promise<void> {
    const { time, random } = this.#fleet;
    const isUrgent = random.getFraction() < URGENT_FRACTION;
    const runMs = Math.min(random.getExponential(MEAN_RUN_MS), 5 * MEAN_RUN_MS);
    const startedAt = time.getNow();
    const result: CallResult | null = await this.#fleet.call(
      random.getOneOf(this.#fleet.listEntries()),
      {
        queue: POOL,
        secret: getTeamSecret(team),
        timeoutMs: TIMEOUT_MS,
        priority: isUrgent ? PriorityClass.Urgent : PriorityClass.Normal,
        body: Buffer.from(JSON.stringify({ runMs })),
      },
    );
    const endedAt = time.getNow();
    const outcome = result?.outcome ?? null;
    this.calls.push({ team, isUrgent, runMs, startedAt, endedAt, outcome });
  }
}

function isCompleted({ outcome }: MeasuredCall): boolean {
  return outcome === Outcome.Completed;
}

function getOtherTeamsP99(calls: readonly MeasuredCall[], from: number, until: number): number {
  const latencies = calls
    .filter(({ team }) => OTHER_TEAMS.includes(team))
    .filter(({ startedAt }) => startedAt >= from && startedAt < until)
    .map((call) => (isCompleted(call) ? call.endedAt - call.startedAt : TIMEOUT_MS));
  return getQuantile(latencies, P99);
}

/** Returns the mean wait of the completed calls that arrived in a window. */
function getMeanWait(calls: readonly MeasuredCall[], from: number): number {
  const waits = calls
    .filter((call) => call.startedAt >= from && call.startedAt < from + WINDOW_MS)
    .filter(isCompleted)
    .map((call) => call.endedAt - call.startedAt - call.runMs);
  return waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length);
}

function listWindows(from: number, durationMs: number): readonly number[] {
  return Array.from({ length: durationMs / WINDOW_MS }, (_, index) => from + index * WINDOW_MS);
}

/**
 * Returns the time after the surge until the mean wait stays within a factor of the highest mean
 * wait of the quiet time before it.
 */
function getRecoveryMs(
  calls: readonly MeasuredCall[],
  surgeFrom: number,
  surgeUntil: number,
): number {
  const quiet = listWindows(surgeFrom - QUIET_MS, QUIET_MS).map((from) => getMeanWait(calls, from));
  const normal = RECOVERED_WAIT_FACTOR * Math.max(...quiet);
  const last = listWindows(surgeUntil, AFTER_MS).findLast(
    (from) => getMeanWait(calls, from) > normal,
  );
  return last === undefined ? 0 : last + WINDOW_MS - surgeUntil;
}

function buildFigures(calls: readonly MeasuredCall[], surgeFrom: number): Figures {
  const surgeUntil = surgeFrom + SURGE_MS;
  const endedInSurge = calls.filter(
    (call) => call.endedAt >= surgeFrom && call.endedAt < surgeUntil,
  );
  const usedMs = endedInSurge.filter(isCompleted).reduce((sum, { runMs }) => sum + runMs, 0);
  const arrivedInSurge = calls.filter(
    (call) => call.startedAt >= surgeFrom && call.startedAt < surgeUntil,
  );
  const urgent = arrivedInSurge.filter(({ isUrgent }) => isUrgent);
  const refused = arrivedInSurge.filter(({ outcome }) => outcome === Outcome.NotRun);
  return {
    goodput: usedMs / (SLOTS * SURGE_MS),
    urgentWaitP99Ms: getQuantile(
      urgent.filter(isCompleted).map((call) => call.endedAt - call.startedAt - call.runMs),
      P99,
    ),
    urgentCompleted: urgent.filter(isCompleted).length / urgent.length,
    neighbourP99Ratio:
      getOtherTeamsP99(calls, surgeFrom, surgeUntil) / getOtherTeamsP99(calls, 0, surgeFrom),
    refusedAfterP50Ms: getQuantile(
      refused.map((call) => call.endedAt - call.startedAt),
      0.5,
    ),
    normalAfterMs: getRecoveryMs(calls, surgeFrom, surgeUntil),
  };
}

async function measurePolicy(
  { deployment, seed }: MeasureOptions,
  policies: { readonly admission: AdmissionPolicy; readonly shares: SharePolicy },
): Promise<Figures> {
  const settings = buildEmulatedSettings({
    entries: ENTRIES[deployment],
    pools: [{ id: POOL, workers: WORKERS, minimumServing: 1 }],
    teams: [SURGING_TEAM, ...OTHER_TEAMS].map((id) => ({ id, share: 1, limit: SLOTS })),
    policies,
  });
  const fleet = new EmulatedFleet(settings, seed);
  await fleet.startAll();
  const quiet = new Map(
    [SURGING_TEAM, ...OTHER_TEAMS].map((team) => [team, CAPACITY_PER_MS * QUIET_FRACTION]),
  );
  const surge = new Map([...quiet, [SURGING_TEAM, CAPACITY_PER_MS * SURGE_FACTOR]]);
  const load = new OpenLoopLoad(fleet);
  await load.run(quiet, QUIET_MS);
  const surgeFrom = fleet.time.getNow();
  await load.run(surge, SURGE_MS);
  await load.run(quiet, AFTER_MS);
  await fleet.advance(TIMEOUT_MS);
  fleet.close();
  return buildFigures(load.calls, surgeFrom);
}

/** Measures how a surge of one team to five times the pool's capacity affects all teams. */
export class SurgeMeasure extends Measure {
  override readonly name = 'surge';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    return {
      figures: await measurePolicy(options, {
        admission: AdmissionPolicy.ExpectedWait,
        shares: SharePolicy.Fleet,
      }),
      baseline: await measurePolicy(options, {
        admission: AdmissionPolicy.Deadline,
        shares: SharePolicy.Local,
      }),
      targets: {
        goodput: { atLeast: 0.9 },
        urgentWaitP99Ms: { atMost: 1_200 },
        neighbourP99Ratio: { atMost: 1.5 },
      },
    };
  }
}
