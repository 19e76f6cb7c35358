import type { Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import { buildPeerServer, HttpPeerConnector, mergePeerRouters } from '@baobabwell/peers';

import { parseAddress } from './BaobabwellEntryAddress';
import {
  ENTRY_SETTINGS,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  PEER_SERVERS,
  SETTINGS,
} from './BaobabwellEntryTokens';

/** Provides the connector to other entries over HTTP. */
export const peersPlugin: Plugin = {
  name: 'peers',
  register(kernel) {
    const connector = new HttpPeerConnector(kernel.getService(SETTINGS).peers.secret);
    kernel.lifecycle.add('peer connections', async () => connector.close());
    return kernel.registerService(PEER_CONNECTOR, () => connector);
  },
};

/**
 * Serves requests of other entries. It starts after every feature has added its router, and closes
 * after the services behind those routers have stopped.
 */
export const peerServerPlugin: Plugin = {
  name: 'peer server',
  register(kernel) {
    const opened: FastifyInstance[] = [];
    kernel.lifecycle.add('peer server', async () => {
      await Promise.all(opened.map(async (server) => server.close()));
    });
    return kernel.registerService(PEER_SERVERS, () => opened);
  },
  async start(kernel) {
    const router = mergePeerRouters(kernel.getService(PEER_ROUTERS));
    const server = await buildPeerServer(router, kernel.getService(SETTINGS).peers.secret);
    kernel.getService(PEER_SERVERS).push(server);
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).peers));
  },
};
