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

/** Cost of the control traffic of an idle fleet for each entry. */
export type ControlCost = {
  /** Exchanges with peers per second and entry. */
  readonly peerExchanges: number;
  /** Bytes of these exchanges per second and entry. */
  readonly peerBytes: number;
  /** Exchanges with the platform per second and entry. */
  readonly platformExchanges: number;
  /** Microseconds of CPU time per exchange, emulation included. */
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
  isIncluded: (traffic: Traffic) => boolean,
): { readonly exchanges: number; readonly bytes: number } {
  return traffic.filter(isIncluded).reduce(
    (sum, { exchanges, bytes }) => ({
      exchanges: sum.exchanges + exchanges,
      bytes: sum.bytes + bytes,
    }),
    { exchanges: 0, bytes: 0 },
  );
}

function countPeerTraffic(fleet: EmulatedFleet): {
  readonly exchanges: number;
  readonly bytes: number;
} {
  return sumTraffic(fleet.network.listTraffic(), ({ from, to }) => isEntry(from) && isEntry(to));
}

function countPlatformExchanges(fleet: EmulatedFleet): number {
  const traffic = fleet.network.listTraffic();
  return sumTraffic(traffic, ({ from, to }) => isEntry(from) && to === 'platform').exchanges;
}

function countAllExchanges(fleet: EmulatedFleet): number {
  return sumTraffic(fleet.network.listTraffic(), () => true).exchanges;
}

/** Measures the control traffic and CPU time of an idle fleet with the given number of entries. */
export async function measureControl(entries: number, seed: number): Promise<ControlCost> {
  const fleet = await startFleet(entries, seed);
  const peersBefore = countPeerTraffic(fleet);
  const platformBefore = countPlatformExchanges(fleet);
  const allBefore = countAllExchanges(fleet);
  const processorBefore = process.cpuUsage();
  await fleet.advance(IDLE_MS);
  const { user, system } = process.cpuUsage(processorBefore);
  const peers = countPeerTraffic(fleet);
  const perEntrySecond = (count: number): number => count / entries / (IDLE_MS / MS_PER_SECOND);
  const cost = {
    peerExchanges: perEntrySecond(peers.exchanges - peersBefore.exchanges),
    peerBytes: perEntrySecond(peers.bytes - peersBefore.bytes),
    platformExchanges: perEntrySecond(countPlatformExchanges(fleet) - platformBefore),
    exchangeMicros: (user + system) / (countAllExchanges(fleet) - allBefore),
  };
  fleet.close();
  return cost;
}

/**
 * Measures the exchanges between entries per call of a team at its limit, without the traffic of an
 * idle fleet.
 *
 * @param concurrency open calls of the team at each entry.
 */
export async function measurePermitExchanges(concurrency: number, seed: number): Promise<number> {
  const fleet = await startFleet(LOAD_ENTRIES, seed);
  const idleBefore = countPeerTraffic(fleet).exchanges;
  await fleet.advance(LOAD_MS);
  const idle = countPeerTraffic(fleet).exchanges - idleBefore;
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
  const before = countPeerTraffic(fleet).exchanges;
  await fleet.advance(LOAD_MS);
  const exchanges = countPeerTraffic(fleet).exchanges - before - idle;
  fleet.close();
  return Math.max(0, exchanges) / Math.max(1, calls);
}
