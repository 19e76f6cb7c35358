import type { CallResult } from '@baobabwell/calls';
import type { OperatorReply } from '@baobabwell/operations';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { FRESHNESS, VIEW_STORE } from '@baobabwell/entry';
import { Outcome } from '@baobabwell/model';
import { NO_PLATFORM_FAULTS } from '@baobabwell/stand-ins';

import { ChangeStage } from '../../BaobabwellViewQuorum';

const SEED = 11;
const LIMIT_MS = 30_000;
const STALE_MS = 4_000;
const OUTAGE_MS = 600_000;
const WITHDRAWAL = 'withdraw key key-guilds reason "leaked"';

function createFleet(entries: number): EmulatedFleet {
  return new EmulatedFleet(
    buildEmulatedSettings({
      entries,
      pools: [{ id: 'ovens', workers: 4, minimumServing: 1 }],
      teams: [{ id: 'guilds', share: 1, limit: 30 }],
    }),
    SEED,
  );
}

function listCurrent(fleet: EmulatedFleet): readonly string[] {
  return fleet.listEntries().filter((id) => fleet.getService(id, FRESHNESS).isCurrent());
}

async function call(fleet: EmulatedFleet, entry: string): Promise<CallResult | null> {
  const request = { queue: 'ovens', secret: getTeamSecret('guilds') };
  return fleet.time.settle(fleet.call(entry, request), LIMIT_MS);
}

function getStage(reply: OperatorReply | null): string | null {
  return reply?.kind === 'changed' ? reply.progress.stage : null;
}

describe('the view', () => {
  let fleet: EmulatedFleet;

  async function start(entries: number): Promise<void> {
    fleet = createFleet(entries);
    await fleet.startAll();
    await fleet.advance(STALE_MS);
  }

  afterEach(() => fleet.close());

  it('stays current through a ten-minute store outage, except on an entry that was paused', async () => {
    await start(3);
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
    await fleet.advance(OUTAGE_MS / 2);
    fleet.pauseEntry('entry-2');
    await fleet.advance(OUTAGE_MS / 2);
    expect(listCurrent(fleet)).toEqual(['entry-1', 'entry-3']);
    fleet.resumeEntry('entry-2');
    expect(listCurrent(fleet).includes('entry-2')).toEqual(false);
    await fleet.advance(STALE_MS);
    expect((await call(fleet, 'entry-2'))?.outcome).toEqual(Outcome.Completed);
  });

  [
    { entries: 9, lost: 'north' },
    { entries: 9, lost: 'east' },
    { entries: 9, lost: 'south' },
    { entries: 7, lost: 'north' },
    { entries: 7, lost: 'east' },
    { entries: 7, lost: 'south' },
  ].forEach(({ entries, lost }) => {
    it(`stays current on the majority of ${entries} entries without a store when ${lost} is cut off`, async () => {
      await start(entries);
      const inside = fleet.settings.entries.filter(({ dataCentre }) => dataCentre === lost);
      const names = inside.map(({ id }) => id);
      const others = fleet.listEntries().filter((id) => !names.includes(id));
      fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
      fleet.network.partitionBetween(names, others);
      await fleet.advance(STALE_MS);
      expect(listCurrent(fleet)).toEqual(others);
    });
  });

  it('is stale after a pause even if a read sent before the pause is answered after it', async () => {
    await start(3);
    const others = ['entry-2', 'entry-3'];
    fleet.network.partitionBetween(['entry-1'], others);
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, slowMs: 700 });
    await fleet.advance(1_500);
    fleet.pauseEntry('entry-1');
    await fleet.advance(10_000);
    fleet.resumeEntry('entry-1');
    for (let step = 0; step < 20; step += 1) {
      expect(fleet.getService('entry-1', FRESHNESS).isCurrent()).toEqual(false);
      await fleet.advance(1);
    }
  });

  it('adds up ages along a chain of peers and never resets them', async () => {
    await start(7);
    // Only entry-1 reaches the store. The entries form a chain in which each one reaches only its
    // neighbours, so none of them receives answers from a majority.
    const names = fleet.listEntries();
    fleet.network.partitionBetween(names.slice(1), ['platform']);
    names.forEach((name, index) => fleet.network.partitionBetween([name], names.slice(index + 2)));
    await fleet.advance(STALE_MS);
    const ages = names.map((id) => fleet.getService(id, FRESHNESS).getAge());
    expect(ages).toEqual(ages.toSorted((a, b) => a - b));
    fleet.network.partitionBetween(['entry-1'], ['entry-2']);
    await fleet.advance(STALE_MS);
    expect(listCurrent(fleet)).toEqual(['entry-1']);
  });

  it('reports the missing members while only a minority reaches the store', async () => {
    await start(5);
    const majority = ['entry-3', 'entry-4', 'entry-5'];
    fleet.network.partitionBetween(['entry-1', 'entry-2'], majority);
    fleet.network.partitionBetween(majority, ['platform']);
    await fleet.advance(STALE_MS);
    expect(listCurrent(fleet).length).toEqual(5);
    const reply = await fleet.settleStatement('entry-1', WITHDRAWAL);
    expect(reply?.kind === 'changed' ? reply.progress : null).toEqual({
      stage: ChangeStage.Pending,
      missing: majority,
    });
    fleet.network.healAll();
    await fleet.advance(STALE_MS);
    const reasons = await Promise.all(majority.map(async (id) => call(fleet, id)));
    expect(reasons.map((result) => result?.outcome)).toEqual(majority.map(() => Outcome.NotRun));
  });

  it('lets no entry use a withdrawn key after the freshness bound during one-way partitions', async () => {
    await start(5);
    fleet.network.partition('entry-1', 'entry-5');
    fleet.network.partition('entry-2', 'entry-5');
    fleet.network.partition('platform', 'entry-5');
    fleet.network.partition('entry-5', 'entry-3');
    fleet.network.partition('entry-5', 'entry-4');
    const reply = await fleet.settleStatement('entry-1', WITHDRAWAL);
    expect(getStage(reply)).toEqual(ChangeStage.Accepted);
    await fleet.advance(STALE_MS);
    expect((await call(fleet, 'entry-5'))?.outcome).toEqual(Outcome.NotRun);
  });

  it('resends a change to a peer that was unreachable', async () => {
    await start(3);
    fleet.network.partitionBetween(['entry-3'], ['entry-1', 'entry-2', 'platform']);
    await fleet.settleStatement('entry-1', WITHDRAWAL);
    fleet.network.healAll();
    fleet.network.partitionBetween(['entry-3'], ['entry-2', 'platform']);
    await fleet.advance(1_000);
    const versions = ['entry-1', 'entry-3'].map(
      (id) => fleet.getService(id, VIEW_STORE).get().version,
    );
    expect(versions[1]).toEqual(versions[0] as number);
  });

  it('keeps accepted changes when the store is restored to an older state', async () => {
    await start(3);
    const copy = fleet.tables.createBackup();
    await fleet.settleStatement('entry-1', WITHDRAWAL);
    fleet.tables.restore(copy);
    await fleet.advance(STALE_MS);
    const reply = await fleet.settleStatement('entry-2', 'grant key guilds');
    expect(getStage(reply)).toEqual(ChangeStage.InForce);
    fleet.killEntry('entry-3');
    await fleet.startEntry('entry-3');
    expect((await call(fleet, 'entry-3'))?.outcome).toEqual(Outcome.NotRun);
  });

  it('lets no new process write to a restored store before it is up to date with a majority', async () => {
    await start(3);
    const copy = fleet.tables.createBackup();
    await fleet.settleStatement('entry-1', WITHDRAWAL);
    fleet.killEntry('entry-3');
    fleet.network.partitionBetween(['entry-3'], ['entry-1', 'entry-2']);
    fleet.network.partitionBetween(['entry-1', 'entry-2'], ['platform']);
    fleet.tables.restore(copy);
    const started = fleet.createEntry('entry-3').start();
    await fleet.advance(5 * STALE_MS);
    fleet.network.healAll();
    await fleet.time.settle(started, LIMIT_MS);
    const diverged = fleet.getLogLines().filter((line) => line.includes('view-log-diverged'));
    expect(diverged).toEqual([]);
    expect((await call(fleet, 'entry-3'))?.outcome).toEqual(Outcome.NotRun);
  });

  it('commits each change once when answers of the store are lost', async () => {
    await start(3);
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, loseAnswers: 0.5 });
    const before = fleet.getService('entry-1', VIEW_STORE).get().version;
    const replies: (OperatorReply | null)[] = [];
    for (let command = 0; command < 10; command += 1) {
      replies.push(await fleet.settleStatement('entry-1', 'grant key guilds'));
    }
    fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    await fleet.advance(STALE_MS);
    expect(replies.every((reply) => reply?.kind === 'changed')).toEqual(true);
    expect(fleet.getService('entry-3', VIEW_STORE).get().version).toEqual(before + 10);
  });

  it('assigns different versions to concurrent changes by two operators', async () => {
    await start(3);
    const replies = await fleet.time.settle(
      Promise.all([
        fleet.runStatement('entry-1', 'grant key guilds'),
        fleet.runStatement('entry-2', 'grant key guilds'),
      ]),
      LIMIT_MS,
    );
    const versions = replies.map((reply) => (reply?.kind === 'changed' ? reply.version : null));
    expect(new Set(versions).size).toEqual(2);
    expect(replies.map(getStage)).toEqual([ChangeStage.InForce, ChangeStage.InForce]);
  });
});
