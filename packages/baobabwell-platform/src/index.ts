export type { AdvisedHost, AdvisorError } from './BaobabwellPlatformAdvisor';
export type { CloudError, CloudHost, CloudOrder } from './BaobabwellPlatformCloud';
export type { PlatformConnection } from './BaobabwellPlatformHttp';
export type {
  ActiveRun,
  EndedRun,
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  CpuLimitOrder,
  StartOrder,
  StopOrder,
} from './BaobabwellPlatformHosts';
export type { ListedHost, PlatformError } from './BaobabwellPlatformServices';
export type {
  CallLimits,
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
export { ForwardingTableService } from './BaobabwellPlatformForwarding';
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
