export type { EntryConnections, EntryOptions } from './BaobabwellEntry';
export type { EntryIdentity } from './BaobabwellEntryTokens';

export { buildConnectedEntry, buildEntry } from './BaobabwellEntry';
export {
  CALL_SERVICE,
  CHANGE_JOURNAL,
  FENCE_CLOCK,
  FRESHNESS,
  HOST_CONTROL,
  HOST_HEALTH,
  HOST_LIST,
  IDENTITY,
  OBJECT_STORE,
  OPERATOR_SERVICE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  PERMIT_PEERS,
  PERMIT_POOL,
  TABLE_SERVICE,
  VIEW_STORE,
  VIEW_WRITER,
  WORKER_CLIENT_FACTORY,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';
