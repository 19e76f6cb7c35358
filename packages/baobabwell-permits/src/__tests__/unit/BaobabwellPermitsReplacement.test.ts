import type { EndedCall } from '@baobabwell/emulator';

import { expect } from 'earl';

import {
  buildEmulatedSettings,
  EmulatedCallers,
  EmulatedFleet,
  getTeamSecret,
} from '@baobabwell/emulator';
import { Outcome } from '@baobabwell/model';
import { findRendezvousOwner } from '@baobabwell/scheduling';

const SEED = 17;
const TEAM = 'guilds';
const LIMIT = 8;
const MAX_WAIT_MS = 2_000;
const MIN_CALLS = 50;

describe('replacement of a permit keeper', () => {
  let fleet: EmulatedFleet;
  let ended: EndedCall[];

  beforeEach(async () => {
    ended = [];
    const settings = buildEmulatedSettings({
      entries: 3,
      pools: [{ id: 'ovens', workers: 3, minimumServing: 1 }],
      teams: [{ id: TEAM, share: 1, limit: LIMIT }],
    });
    fleet = new EmulatedFleet(settings, SEED);
    await fleet.startAll();
    await fleet.advance(3_000);
  });

  afterEach(() => fleet.close());

  function startCallers(entry: string): void {
    new EmulatedCallers(fleet, {
      entry,
      concurrency: 2,
      buildCall: () => ({ queue: 'ovens', secret: getTeamSecret(TEAM) }),
      thinkTimeMs: 50,
      onEnded: (call) => ended.push(call),
    }).start();
  }

  it('keeps the permits available when the keeper stopped gracefully', async () => {
    const keeper = findRendezvousOwner(TEAM, fleet.listEntries()) as string;
    fleet
      .listEntries()
      .filter((entry) => entry !== keeper)
      .forEach(startCallers);
    await fleet.advance(1_000);
    await fleet.stopEntry(keeper);
    await fleet.startEntry(keeper);
    startCallers(keeper);
    await fleet.advance(8_000);
    const slowest = Math.max(...ended.map(({ startedAt, endedAt }) => endedAt - startedAt));
    expect(ended.every(({ result }) => result?.outcome === Outcome.Completed)).toEqual(true);
    const countAt = (entry: string): number => ended.filter((call) => call.entry === entry).length;
    expect(slowest).toBeLessThan(MAX_WAIT_MS);
    expect(Math.min(...fleet.listEntries().map(countAt))).toBeGreaterThan(MIN_CALLS);
  });

  it('lends no permits until the fence expires when the keeper was killed', async () => {
    const keeper = findRendezvousOwner(TEAM, fleet.listEntries()) as string;
    fleet.killEntry(keeper);
    await fleet.startEntry(keeper);
    startCallers(keeper);
    const startedAt = fleet.time.getNow();
    await fleet.advance(15_000);
    const firstStart = fleet.listLedger().find(({ at }) => at >= startedAt)?.at ?? 0;
    expect(firstStart - startedAt > MAX_WAIT_MS).toEqual(true);
  });
});
