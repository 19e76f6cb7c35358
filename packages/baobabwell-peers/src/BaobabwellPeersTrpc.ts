import type { AnyTRPCRouter } from '@trpc/server';

import { initTRPC } from '@trpc/server';

const trpc = initTRPC.create();

/** Builds a router of peer procedures. */
export const createPeerRouter = trpc.router;

/** Starts the definition of a peer procedure. */
export const peerProcedure = trpc.procedure;

/** Merges the routers of several packages into the router that an entry serves. */
export function mergePeerRouters(routers: readonly AnyTRPCRouter[]): AnyTRPCRouter {
  return trpc.mergeRouters(...routers);
}
