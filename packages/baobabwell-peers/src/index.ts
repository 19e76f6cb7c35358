export { HttpPeerConnector, PeerConnector } from './BaobabwellPeersConnector';
export { PEER_PATH } from './BaobabwellPeersConstants';
export { buildPeerServer } from './BaobabwellPeersServer';
export { createPeerRouter, mergePeerRouters, peerProcedure } from './BaobabwellPeersTrpc';
