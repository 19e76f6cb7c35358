import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet } from '@baobabwell/emulator';
import { FRESHNESS, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, FleetView } from '@baobabwell/model';
import { StandInObjectStore, StandInTableService } from '@baobabwell/stand-ins';
import { Random, SystemClock } from '@baobabwell/utils';

import {
  LOG_TABLE,
  RETAINED_LOG_CHANGES,
  SNAPSHOT_INTERVAL_CHANGES,
} from '../../BaobabwellViewConstants';
import { ViewSnapshots } from '../../BaobabwellViewSnapshots';

const SEED = 3;
const CHANGES = RETAINED_LOG_CHANGES + 2 * SNAPSHOT_INTERVAL_CHANGES;

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [{ id: 'ovens', workers: 4, minimumServing: 1 }],
    teams: [{ id: 'guilds', share: 1, limit: 30 }],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('view snapshots', () => {
  it('keep the log short and bring a cold start and a lagging entry to the same view', async () => {
    const fleet = createFleet();
    await fleet.startAll();
    fleet.pauseEntry('entry-2');
    for (let change = 0; change < CHANGES; change += 1) {
      await fleet.settleStatement('entry-1', 'grant key guilds');
    }
    const rows = await fleet.tables.readSince(LOG_TABLE, 0, 10 * CHANGES);
    const retained = rows.ok ? rows.value.rows.filter(({ value }) => value !== null).length : 0;
    expect(retained).toBeLessThan(RETAINED_LOG_CHANGES + SNAPSHOT_INTERVAL_CHANGES + 10);
    fleet.resumeEntry('entry-2');
    fleet.killEntry('entry-3');
    await fleet.startEntry('entry-3');
    await fleet.advance(20_000);
    const counts = fleet
      .listEntries()
      .map((id) => fleet.getService(id, VIEW_STORE).get().countEntities(EntityKind.Key));
    expect(counts).toEqual([CHANGES + 1, CHANGES + 1, CHANGES + 1]);
    expect(fleet.listEntries().every((id) => fleet.getService(id, FRESHNESS).isCurrent())).toEqual(
      true,
    );
    fleet.close();
  });

  it('are never replaced by older snapshots', async () => {
    const clock = new SystemClock();
    const tables = new StandInTableService(clock, new Random(SEED));
    const snapshots = new ViewSnapshots(tables, new StandInObjectStore());
    const newer = FleetView.create(2 * SNAPSHOT_INTERVAL_CHANGES, []);
    const older = FleetView.create(SNAPSHOT_INTERVAL_CHANGES, []);
    expect(await snapshots.write(newer, { viewVersion: newer.version, rowVersion: 9 })).toEqual(
      true,
    );
    expect(await snapshots.write(older, { viewVersion: older.version, rowVersion: 5 })).toEqual(
      false,
    );
    expect((await snapshots.read())?.position).toEqual({
      viewVersion: newer.version,
      rowVersion: 9,
    });
  });
});
