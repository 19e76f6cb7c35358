export type {
  Entity,
  EntityTypes,
  Fence,
  Host,
  Key,
  Member,
  Mutation,
  Operator,
  Organisation,
  Pool,
  Queue,
  ServiceWindow,
  Target,
  Team,
  ViewChange,
} from './BaobabwellModel';

export { createPut, createRemoval } from './BaobabwellModel';
export {
  EntityKind,
  HostState,
  OperatorRole,
  Outcome,
  PriorityClass,
  QueueAccess,
  QueueMode,
  TargetState,
} from './BaobabwellModelConstants';
export { FleetView } from './BaobabwellModelView';
