export type { PeerCall } from './BaobabwellPeersTrpc';

export { HttpPeerConnector, PeerConnector } from './BaobabwellPeersConnector';
export { PEER_PATH } from './BaobabwellPeersConstants';
export { buildPeerServer } from './BaobabwellPeersServer';
export {
  callPeerProcedure,
  createPeerRouter,
  mergePeerRouters,
  peerProcedure,
} from './BaobabwellPeersTrpc';
