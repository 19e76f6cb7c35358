export { PEER_PATH } from './BaobabwellPeersConstants';
export { HttpPeerConnector, PeerConnector } from './BaobabwellPeersConnector';
export { buildPeerServer } from './BaobabwellPeersServer';
export { createPeerRouter, mergePeerRouters, peerProcedure } from './BaobabwellPeersTrpc';
