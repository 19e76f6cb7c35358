import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet } from '@baobabwell/emulator';
import { FRESHNESS, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, FleetView } from '@baobabwell/model';
import { StandInObjectStore, StandInTableService } from '@baobabwell/stand-ins';
import { Random, SystemClock } from '@baobabwell/utils';

import { LOG_KEPT_CHANGES, LOG_TABLE, SNAPSHOT_CHANGES } from '../../BaobabwellViewConstants';
import { ViewSnapshots } from '../../BaobabwellViewSnapshots';

const SEED = 3;
const CHANGES = LOG_KEPT_CHANGES + 2 * SNAPSHOT_CHANGES;

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [{ id: 'ovens', workers: 4, minimumServing: 1 }],
    teams: [{ id: 'guilds', share: 1, limit: 30 }],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('snapshots of the view', () => {
  it('let a cold start and an entry far behind read little and see the same', async () => {
    const fleet = createFleet();
    await fleet.startAll();
    fleet.pauseEntry('entry-2');
    for (let change = 0; change < CHANGES; change += 1) {
      await fleet.settleOperation('entry-1', 'grant key guilds');
    }
    const rows = await fleet.tables.readSince(LOG_TABLE, 0, 10 * CHANGES);
    const kept = rows.ok ? rows.value.rows.filter(({ value }) => value !== null).length : 0;
    expect(kept).toBeLessThan(LOG_KEPT_CHANGES + SNAPSHOT_CHANGES + 10);
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

  it('are never replaced by an older one', async () => {
    const clock = new SystemClock();
    const tables = new StandInTableService(clock, new Random(SEED));
    const snapshots = new ViewSnapshots(tables, new StandInObjectStore());
    const newer = FleetView.create(2 * SNAPSHOT_CHANGES, []);
    const older = FleetView.create(SNAPSHOT_CHANGES, []);
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
