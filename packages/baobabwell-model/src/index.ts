export type {
  Entity,
  EntityTypes,
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
  MemberState,
  OperatorRole,
  Outcome,
  PriorityClass,
  QueueAccess,
  QueueMode,
  TargetState,
} from './BaobabwellModelConstants';
export { FleetView } from './BaobabwellModelView';
