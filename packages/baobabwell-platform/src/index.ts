export type { PlatformConnection } from './BaobabwellPlatformHttp';
export type { ListedHost, PlatformError } from './BaobabwellPlatformServices';
export type {
  JsonValue,
  Row,
  RowCondition,
  RowPage,
  RowWrite,
  TableError,
  Transaction,
} from './BaobabwellPlatformTable';

export {
  HttpHostList,
  HttpObjectStore,
  HttpTableService,
  PlatformChannel,
} from './BaobabwellPlatformHttp';
export { transactionSchema } from './BaobabwellPlatformSchemas';
export { HostList, ListedHostState, ObjectStore } from './BaobabwellPlatformServices';
export { TableErrorKind, TableService } from './BaobabwellPlatformTable';
