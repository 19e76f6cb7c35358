import type { MeasureFindings, MeasureOptions } from './BaobabwellMeasures';

import { buildEmulatedSettings, EmulatedFleet } from '@baobabwell/emulator';
import { VIEW_STORE } from '@baobabwell/entry';

import { Deployment, Measure } from './BaobabwellMeasures';

const ENTRIES: Readonly<Record<Deployment, number>> = {
  [Deployment.Braudvakt]: 9,
  [Deployment.Agenda]: 7,
};
const CHANGES = 40;
const STEP_MS = 1;
const LIMIT_MS = 5_000;
const REST_MS = 137;
const TARGET_WITHDRAWAL_MS = 1_000;

function buildFleet({ deployment, seed }: MeasureOptions): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: ENTRIES[deployment],
    pools: [{ id: 'ovens', workers: 4, minimumServing: 1 }],
    teams: [{ id: 'guilds', share: 1, limit: 8 }],
  });
  return new EmulatedFleet(settings, seed);
}

function isInForce(fleet: EmulatedFleet, version: number): boolean {
  return fleet
    .listEntries()
    .every((entry) => fleet.getService(entry, VIEW_STORE).get().version >= version);
}

/** Time from the reply to the operator until every entry has applied the change. */
async function measureChange(fleet: EmulatedFleet, text: string): Promise<number> {
  const reply = await fleet.settleOperation('entry-1', text);
  const version = reply?.kind === 'changed' ? reply.version : Number.POSITIVE_INFINITY;
  const acceptedAt = fleet.time.getNow();
  while (!isInForce(fleet, version) && fleet.time.getNow() < acceptedAt + LIMIT_MS) {
    await fleet.advance(STEP_MS);
  }
  return fleet.time.getNow() - acceptedAt;
}

function getQuantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Time until changes are in force everywhere. */
export class ViewMeasure extends Measure {
  override readonly name = 'view';

  override async measure(options: MeasureOptions): Promise<MeasureFindings> {
    const fleet = buildFleet(options);
    await fleet.startAll();
    const times: number[] = [];
    for (let change = 0; change < CHANGES; change += 1) {
      times.push(await measureChange(fleet, 'grant key guilds'));
      await fleet.advance(REST_MS);
    }
    fleet.close();
    const sorted = times.toSorted((a, b) => a - b);
    const figures = {
      inForceP50Ms: getQuantile(sorted, 0.5),
      inForceP99Ms: getQuantile(sorted, 0.99),
    };
    return {
      figures,
      baseline: {},
      targets: { inForceP99Ms: { atMost: TARGET_WITHDRAWAL_MS } },
    };
  }
}
