import type { AnyTRPCRouter } from '@trpc/server';

import { callTRPCProcedure, initTRPC } from '@trpc/server';

const trpc = initTRPC.create();

/** Builds a router of peer procedures. */
export const createPeerRouter = trpc.router;

/** Starts the definition of a peer procedure. */
export const peerProcedure = trpc.procedure;

/** A call of a peer procedure, as it arrived. */
export type PeerCall = {
  readonly path: string;
  readonly type: 'query' | 'mutation' | 'subscription';
  readonly getInput: () => unknown;
};

/**
 * Calls a procedure of a router without an HTTP request.
 *
 * @throws what the procedure throws, or an error of trpc if there is none or its input is wrong.
 */
export async function callPeerProcedure(
  router: AnyTRPCRouter,
  { path, type, getInput }: PeerCall,
): Promise<unknown> {
  return callTRPCProcedure({
    router,
    path,
    type,
    ctx: {},
    getRawInput: async () => getInput(),
    signal: undefined,
    batchIndex: 0,
  });
}

/** Merges the routers of several packages into the router that an entry serves. */
export function mergePeerRouters(routers: readonly AnyTRPCRouter[]): AnyTRPCRouter {
  return trpc.mergeRouters(...routers);
}
