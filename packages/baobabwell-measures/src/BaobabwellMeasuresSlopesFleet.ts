import type { Traffic } from '@baobabwell/emulator';

import {
  buildEmulatedSettings,
  EmulatedCallers,
  EmulatedFleet,
  getTeamSecret,
} from '@baobabwell/emulator';

const IDLE_MS = 6_000;
const LOAD_MS = 3_000;
const SETTLE_MS = 3_000;
const MS_PER_SECOND = 1_000;
const LOAD_ENTRIES = 9;
const LOAD_LIMIT = 12;
const WORKERS = 4;

/** What the control of an idle fleet costs each entry. */
export type ControlCost = {
  /** Exchanges with peers a second and entry. */
  readonly peerExchanges: number;
  /** Bytes of these exchanges a second and entry. */
  readonly peerBytes: number;
  /** Exchanges with the platform a second and entry. */
  readonly platformExchanges: number;
  /** Microseconds of processor time for each exchange, emulation included. */
  readonly exchangeMicros: number;
};

async function startFleet(entries: number, seed: number): Promise<EmulatedFleet> {
  const settings = buildEmulatedSettings({
    entries,
    pools: [{ id: 'ovens', workers: WORKERS, minimumServing: 1 }],
    teams: [{ id: 'guilds', share: 1, limit: LOAD_LIMIT }],
  });
  const fleet = new EmulatedFleet(settings, seed);
  await fleet.startAll();
  await fleet.advance(SETTLE_MS);
  return fleet;
}

function isEntry(name: string): boolean {
  return name.startsWith('entry-');
}

function sumTraffic(
  traffic: readonly Traffic[],
  isChosen: (one: Traffic) => boolean,
): { readonly exchanges: number; readonly bytes: number } {
  return traffic.filter(isChosen).reduce(
    (sum, { exchanges, bytes }) => ({
      exchanges: sum.exchanges + exchanges,
      bytes: sum.bytes + bytes,
    }),
    { exchanges: 0, bytes: 0 },
  );
}

function countPeers(fleet: EmulatedFleet): { readonly exchanges: number; readonly bytes: number } {
  return sumTraffic(fleet.network.listTraffic(), ({ from, to }) => isEntry(from) && isEntry(to));
}

function countPlatform(fleet: EmulatedFleet): number {
  const traffic = fleet.network.listTraffic();
  return sumTraffic(traffic, ({ from, to }) => isEntry(from) && to === 'platform').exchanges;
}

function countAll(fleet: EmulatedFleet): number {
  return sumTraffic(fleet.network.listTraffic(), () => true).exchanges;
}

/** Takes what an idle fleet of so many entries exchanges. */
export async function measureControl(entries: number, seed: number): Promise<ControlCost> {
  const fleet = await startFleet(entries, seed);
  const peersBefore = countPeers(fleet);
  const platformBefore = countPlatform(fleet);
  const allBefore = countAll(fleet);
  const processorBefore = process.cpuUsage();
  await fleet.advance(IDLE_MS);
  const { user, system } = process.cpuUsage(processorBefore);
  const peers = countPeers(fleet);
  const perEntrySecond = (count: number): number => count / entries / (IDLE_MS / MS_PER_SECOND);
  const cost = {
    peerExchanges: perEntrySecond(peers.exchanges - peersBefore.exchanges),
    peerBytes: perEntrySecond(peers.bytes - peersBefore.bytes),
    platformExchanges: perEntrySecond(countPlatform(fleet) - platformBefore),
    exchangeMicros: (user + system) / (countAll(fleet) - allBefore),
  };
  fleet.close();
  return cost;
}

/** Exchanges between entries for each call of a team at its limit, by its open calls an entry. */
export async function measurePermitExchanges(concurrency: number, seed: number): Promise<number> {
  const fleet = await startFleet(LOAD_ENTRIES, seed);
  const idleBefore = countPeers(fleet).exchanges;
  await fleet.advance(LOAD_MS);
  const idle = countPeers(fleet).exchanges - idleBefore;
  let calls = 0;
  fleet.listEntries().forEach((entry) => {
    new EmulatedCallers(fleet, {
      entry,
      concurrency,
      buildCall: () => ({
        queue: 'ovens',
        secret: getTeamSecret('guilds'),
        body: Buffer.from('{"runMs":100}'),
      }),
      onEnded: () => {
        calls += 1;
      },
    }).start();
  });
  const before = countPeers(fleet).exchanges;
  await fleet.advance(LOAD_MS);
  const exchanges = countPeers(fleet).exchanges - before - idle;
  fleet.close();
  return Math.max(0, exchanges) / Math.max(1, calls);
}
