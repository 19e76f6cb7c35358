import type { PoolActivity, PoolDivision } from './BaobabwellShares';
import type { PeerConnector } from '@baobabwell/peers';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

const count = z.number().int().nonnegative();

const activitySchema = z.object({
  entry: z.string(),
  pools: z.array(
    z.object({
      pool: z.string(),
      teams: z.array(z.object({ team: z.string(), running: count, waiting: count })),
    }),
  ),
});

/** Handles the activity of an entry and returns the division of each pool. */
export type ActivityHandler = (
  entry: string,
  pools: readonly PoolActivity[],
) => readonly PoolDivision[];

/** Builds the router with the procedure by which entries report activity and receive divisions. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildShareRouter(handleActivity: ActivityHandler) {
  return createPeerRouter({
    shares: createPeerRouter({
      activity: peerProcedure.input(activitySchema).mutation(({ input }) =>
        handleActivity(input.entry, input.pools).map(({ pool, targets }) => ({
          pool,
          targets: targets === null ? null : [...targets],
        })),
      ),
    }),
  });
}

/** Type of the router built by {@link buildShareRouter}. */
export type SharePeerRouter = ReturnType<typeof buildShareRouter>;

/** Client that reports activity to the entry at an address. */
export class SharePeer {
  readonly #client: TRPCClient<SharePeerRouter>;

  constructor(connector: PeerConnector, address: string) {
    this.#client = createTRPCClient<SharePeerRouter>({ links: [connector.createLink(address)] });
  }

  /** Reports activity and returns the division of each pool; rejects without a reply. */
  async report(entry: string, pools: readonly PoolActivity[]): Promise<readonly PoolDivision[]> {
    return this.#client.shares.activity.mutate({
      entry,
      pools: pools.map(({ pool, teams }) => ({ pool, teams: [...teams] })),
    });
  }
}
