import type { Plugin } from '@baobabwell/kernel';

import { buildPeerServer, HttpPeerConnector, mergePeerRouters } from '@baobabwell/peers';

import { parseAddress } from './BaobabwellEntryAddress';
import { ENTRY_SETTINGS, PEER_CONNECTOR, PEER_ROUTERS, SETTINGS } from './BaobabwellEntryTokens';

/** Connects to other entries. */
export const peersPlugin: Plugin = {
  name: 'peers',
  register(kernel) {
    const connector = new HttpPeerConnector(kernel.getService(SETTINGS).peers.secret);
    kernel.lifecycle.add('peer connections', async () => connector.close());
    return kernel.registerService(PEER_CONNECTOR, () => connector);
  },
};

/** Serves other entries; started after every package has contributed its router. */
export const peerServerPlugin: Plugin = {
  name: 'peer server',
  register: () => () => {},
  async start(kernel) {
    const router = mergePeerRouters(kernel.getService(PEER_ROUTERS));
    const server = await buildPeerServer(router, kernel.getService(SETTINGS).peers.secret);
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).peers));
    kernel.lifecycle.add('peer server', async () => server.close());
  },
};
