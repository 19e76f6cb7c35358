export type { CommandContext, Decision, QueryRow, Refusal } from './BaobabwellOperations';
export type { OperatorReply, OperatorServiceParts } from './BaobabwellOperationsService';

export { OperatorCommand, QuerySource } from './BaobabwellOperations';
export {
  DrainHostCommand,
  GrantKeyCommand,
  RetireTargetCommand,
  ReturnHostCommand,
  WithdrawKeyCommand,
} from './BaobabwellOperationsCommands';
export { OperatorService } from './BaobabwellOperationsService';
export { EntitySource } from './BaobabwellOperationsSources';
