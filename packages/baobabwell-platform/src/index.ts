export type { AdvisedHost, AdvisorError } from './BaobabwellPlatformAdvisor';
export type { CloudError, CloudHost, CloudOrder } from './BaobabwellPlatformCloud';
export type { PlatformConnection } from './BaobabwellPlatformHttp';
export type {
  ActiveRun,
  EndedRun,
  HoldOrder,
  HostLife,
  HostReport,
  OrderError,
  PaceOrder,
  StartOrder,
  StopOrder,
} from './BaobabwellPlatformHosts';
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
export type { ChangePage, RowRange, WatchError } from './BaobabwellPlatformWatch';

export { PlacementAdvisor } from './BaobabwellPlatformAdvisor';
export { CloudControl, CloudHostState, CloudRefusal } from './BaobabwellPlatformCloud';
export { ForwardedTableService } from './BaobabwellPlatformForwarded';
export { HostOrders, OrderRefusal } from './BaobabwellPlatformHosts';
export {
  HttpHostList,
  HttpObjectStore,
  HttpTableService,
  PlatformChannel,
} from './BaobabwellPlatformHttp';
export { transactionSchema } from './BaobabwellPlatformSchemas';
export { HostList, ListedHostState, ObjectStore } from './BaobabwellPlatformServices';
export { TableErrorKind, TableService } from './BaobabwellPlatformTable';
export { getKeyRange, WatchableTableService, WatchErrorKind } from './BaobabwellPlatformWatch';
