export type { EntryConnections, EntryOptions } from './BaobabwellEntry';

export { buildConnectedEntry, buildEntry } from './BaobabwellEntry';
export {
  CALL_SERVICE,
  FENCE_TRACKER,
  FRESHNESS,
  HOST_LIST,
  IDENTITY,
  LIFE_STARTED,
  MEMBER_FENCED,
  MEMBER_RELEASED,
  MEMBERSHIP_SERVICE,
  OBJECT_STORE,
  OPERATOR_SERVICE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  TABLE_SERVICE,
  VIEW_QUORUM,
  VIEW_STORE,
  VIEW_WRITER,
  WORKER_CLIENT_FACTORY,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';
