import type { Kernel, Plugin, ServiceToken, Undo } from '@baobabwell/kernel';
import type { Member } from '@baobabwell/model';
import type { FenceClock, PermitPeer } from '@baobabwell/permits';
import type { PermitPool } from '@baobabwell/scheduling';

import { mergeUndo } from '@baobabwell/kernel';
import { EntityKind } from '@baobabwell/model';
import {
  buildPermitRouter,
  getMemberKey,
  KeeperPermitPool,
  MembershipFenceClock,
  RemotePermitPeer,
} from '@baobabwell/permits';
import { StaticPermitPool } from '@baobabwell/scheduling';
import { PermitPolicy } from '@baobabwell/settings';

import {
  FENCE_CLOCK,
  FENCE_TRACKER,
  FRESHNESS,
  IDENTITY,
  INCARNATION_STARTED,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  PERMIT_PEERS,
  PERMIT_POOL,
  SETTINGS,
  VIEW_STORE,
} from './BaobabwellEntryTokens';

function buildStaticPool(kernel: Kernel): StaticPermitPool {
  const view = kernel.getService(VIEW_STORE);
  const { id } = kernel.getService(IDENTITY);
  return new StaticPermitPool({
    getLimit: (team) => view.get().get(EntityKind.Team, team)?.limit ?? Number.MAX_SAFE_INTEGER,
    getRank: () => {
      const members = view.get().list(EntityKind.Member);
      const index = members.findIndex((member) => member.id === id);
      return index < 0 ? null : { index, count: members.length };
    },
  });
}

function buildFenceClock(kernel: Kernel): FenceClock {
  return new MembershipFenceClock(kernel.getService(FENCE_TRACKER), kernel.clock);
}

function buildPermitPeers(kernel: Kernel): (member: Member) => PermitPeer {
  const connector = kernel.getService(PEER_CONNECTOR);
  return ({ peerAddress }) => new RemotePermitPeer(connector, peerAddress);
}

function buildKeeperPool(kernel: Kernel): KeeperPermitPool {
  const view = kernel.getService(VIEW_STORE);
  const freshness = kernel.getService(FRESHNESS);
  return new KeeperPermitPool({
    clock: kernel.clock,
    getMember: () => getMemberKey(kernel.getService(IDENTITY)),
    fences: kernel.getService(FENCE_CLOCK),
    getView: () => view.get(),
    isCurrent: () => freshness.isCurrent(),
    createPeer: kernel.getService(PERMIT_PEERS),
  });
}

function buildPermitPool(kernel: Kernel): PermitPool {
  const { permits } = kernel.getService(SETTINGS).policies;
  return permits === PermitPolicy.Static ? buildStaticPool(kernel) : buildKeeperPool(kernel);
}

/** Registers a service unless a plug-in that was registered earlier provides it. */
function registerDefault<Service>(
  kernel: Kernel,
  token: ServiceToken<Service>,
  build: (kernel: Kernel) => Service,
): Undo {
  return kernel.hasService(token) ? () => {} : kernel.registerService(token, build);
}

/** Provides the permit pool, which enforces the limits of teams across the fleet. */
export const permitsPlugin: Plugin = {
  name: 'permits',
  register: (kernel) =>
    mergeUndo(
      registerDefault(kernel, FENCE_CLOCK, buildFenceClock),
      registerDefault(kernel, PERMIT_PEERS, buildPermitPeers),
      kernel.registerService(PERMIT_POOL, buildPermitPool),
    ),
  async start(kernel) {
    const pool = kernel.getService(PERMIT_POOL);
    if (!(pool instanceof KeeperPermitPool)) {
      return;
    }
    kernel.getService(PEER_ROUTERS).push(buildPermitRouter(pool.service));
    const undo = mergeUndo(
      kernel.getService(VIEW_STORE).registerListener((update) => pool.update(update)),
      kernel.registerListener(INCARNATION_STARTED, () => pool.startNewIncarnation()),
    );
    void pool.run();
    kernel.lifecycle.add('permits', async () => {
      await pool.stop();
      undo();
    });
  },
};

/**
 * Waits for a limited time until this entry holds its reserve of permits. It starts after the entry
 * has joined the fleet.
 */
export const permitReservePlugin: Plugin = {
  name: 'permit reserve',
  register: () => () => {},
  async start(kernel) {
    const pool = kernel.getService(PERMIT_POOL);
    if (pool instanceof KeeperPermitPool) {
      await pool.waitForReserve();
    }
  },
};
