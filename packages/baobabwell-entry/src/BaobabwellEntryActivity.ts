import type { Kernel } from '@baobabwell/kernel';
import type { CallActivity, ListCallActivity } from '@baobabwell/operations';
import type { PeerConnector } from '@baobabwell/peers';

import { createTRPCClient } from '@trpc/client';

import { EntityKind } from '@baobabwell/model';
import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

import { CALL_SERVICE, IDENTITY, PEER_CONNECTOR, VIEW_STORE } from './BaobabwellEntryTokens';

/** Builds the router through which peers list the active calls of this entry. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildActivityRouter(listCalls: () => readonly CallActivity[]) {
  return createPeerRouter({
    activity: createPeerRouter({
      list: peerProcedure.query(() => [...listCalls()]),
    }),
  });
}

type ActivityRouter = ReturnType<typeof buildActivityRouter>;

/** Lists the calls that are waiting or running at this entry. */
export function listLocalActivity(kernel: Kernel): readonly CallActivity[] {
  const entry = kernel.getService(IDENTITY).id;
  return kernel
    .getService(CALL_SERVICE)
    .listActive()
    .map((call) => ({ ...call, entry }));
}

async function listPeerActivity(
  connector: PeerConnector,
  address: string,
): Promise<readonly CallActivity[] | null> {
  const client = createTRPCClient<ActivityRouter>({ links: [connector.createLink(address)] });
  try {
    return await client.activity.list.query();
  } catch {
    return null;
  }
}

/**
 * Creates a function that lists the active calls of all entries, and the entries that did not
 * respond.
 */
export function createActivityLister(kernel: Kernel): ListCallActivity {
  return async () => {
    const own = kernel.getService(IDENTITY).id;
    const connector = kernel.getService(PEER_CONNECTOR);
    const peers = kernel
      .getService(VIEW_STORE)
      .get()
      .list(EntityKind.Member)
      .filter(({ id }) => id !== own);
    const answers = await Promise.all(
      peers.map(async ({ id, peerAddress }) => ({
        id,
        calls: await listPeerActivity(connector, peerAddress),
      })),
    );
    return {
      calls: [...listLocalActivity(kernel), ...answers.flatMap(({ calls }) => calls ?? [])],
      missing: answers.filter(({ calls }) => calls === null).map(({ id }) => id),
    };
  };
}
