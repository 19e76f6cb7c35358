import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { SlotShares } from '@baobabwell/scheduling';
import type { TeamShare } from '@baobabwell/shares';

import { EntityKind } from '@baobabwell/model';
import { LocalSlotShares } from '@baobabwell/scheduling';
import { SharePolicy } from '@baobabwell/settings';
import { buildShareRouter, PoolOwner, ShareExchange, SharePeer } from '@baobabwell/shares';

import {
  IDENTITY,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  SETTINGS,
  SLOT_SHARES,
  VIEW_STORE,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';

const DEFAULT_SHARE = 1;

/**
 * Returns the shares of a team. A team that is not in the view, such as the team of calls without a
 * key, counts as an organisation of its own.
 */
function getTeamShare(kernel: Kernel, id: string): TeamShare {
  const view = kernel.getService(VIEW_STORE).get();
  const team = view.get(EntityKind.Team, id);
  const organisation = team?.organisation ?? id;
  return {
    organisation,
    organisationShare: view.get(EntityKind.Organisation, organisation)?.share ?? DEFAULT_SHARE,
    share: team?.share ?? DEFAULT_SHARE,
  };
}

function createPoolOwner(kernel: Kernel, pool: string): PoolOwner {
  const view = kernel.getService(VIEW_STORE);
  return new PoolOwner({
    clock: kernel.clock,
    getSlots: () => kernel.getService(WORKER_DIRECTORY).getPoolSlots(pool),
    getShare: (team) => getTeamShare(kernel, team),
    getLimit: (team) => view.get().get(EntityKind.Team, team)?.limit ?? Number.POSITIVE_INFINITY,
  });
}

function buildSlotShares(kernel: Kernel): SlotShares {
  if (kernel.getService(SETTINGS).policies.shares === SharePolicy.Local) {
    return new LocalSlotShares();
  }
  const connector = kernel.getService(PEER_CONNECTOR);
  return new ShareExchange({
    clock: kernel.clock,
    entry: kernel.getService(IDENTITY).id,
    listMembers: () => kernel.getService(VIEW_STORE).get().list(EntityKind.Member),
    listActivity: () => kernel.getService(WORKER_DIRECTORY).listActivity(),
    createPeer: (address) => new SharePeer(connector, address),
    createOwner: (pool) => createPoolOwner(kernel, pool),
    onChange: () => kernel.getService(WORKER_DIRECTORY).grantSlots(),
  });
}

/**
 * Divides the slots of contended pools among teams, according to their shares across all entries.
 */
export const sharesPlugin: Plugin = {
  name: 'shares',
  register: (kernel) => kernel.registerService(SLOT_SHARES, buildSlotShares),
  async start(kernel) {
    const shares = kernel.getService(SLOT_SHARES);
    if (!(shares instanceof ShareExchange)) {
      return;
    }
    kernel
      .getService(PEER_ROUTERS)
      .push(buildShareRouter((entry, pools) => shares.handleActivity(entry, pools)));
    const undo = kernel.getService(VIEW_STORE).registerListener(() => shares.updateMembers());
    shares.updateMembers();
    kernel.lifecycle.add('shares', () => {
      undo();
      shares.stop();
    });
  },
};
