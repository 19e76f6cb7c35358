import { expect } from 'earl';

import { Outcome } from '@baobabwell/model';

import { EmulatedFleet } from '../../BaobabwellEmulatorFleet';
import { buildEmulatedSettings, getTeamSecret } from '../../BaobabwellEmulatorSettings';

const SEED = 7;
const LIMIT_MS = 20_000;

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [{ id: 'ovens', workers: 4, minimumServing: 2 }],
    teams: [{ id: 'guilds', share: 1, limit: 30 }],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('EmulatedFleet', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    fleet = createFleet();
    await fleet.startAll();
  });

  afterEach(() => fleet.close());

  it('runs a call on a worker and returns its answer', async () => {
    const call = { queue: 'ovens', secret: getTeamSecret('guilds') };
    const result = await fleet.time.settle(fleet.call('entry-2', call), LIMIT_MS);
    expect(result?.outcome).toEqual(Outcome.Completed);
    expect(fleet.listLedger().map(({ event }) => event as string)).toEqual([
      'started',
      'completed',
    ]);
  });

  it('refuses a withdrawn key at every entry', async function () {
    await fleet.settleStatement('entry-1', 'withdraw key key-guilds reason "leaked"');
    await fleet.advance(100);
    const call = { queue: 'ovens', secret: getTeamSecret('guilds') };
    const results = await Promise.all(
      fleet
        .listEntries()
        .map(async (entry) => fleet.time.settle(fleet.call(entry, call), LIMIT_MS)),
    );
    expect(results).toMatchSnapshot(this);
  });

  it('refuses calls at an entry that can reach neither the platform nor its peers', async () => {
    fleet.network.partitionBetween(['entry-1'], ['platform', 'entry-2', 'entry-3']);
    await fleet.advance(5_000);
    const call = { queue: 'ovens', secret: getTeamSecret('guilds') };
    const result = await fleet.time.settle(fleet.call('entry-1', call), LIMIT_MS);
    expect(result?.outcome).toEqual(Outcome.NotRun);
  });

  it('serves calls at the remaining entry when one entry is killed and another is paused', async () => {
    fleet.killEntry('entry-1');
    fleet.pauseEntry('entry-2');
    await fleet.advance(10_000);
    const call = { queue: 'ovens', secret: getTeamSecret('guilds') };
    const result = await fleet.time.settle(fleet.call('entry-3', call), LIMIT_MS);
    expect(result?.outcome).toEqual(Outcome.Completed);
  });
});
