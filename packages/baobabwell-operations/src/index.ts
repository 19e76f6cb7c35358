export type {
  CommandContext,
  CommandInput,
  CommandOptionSpec,
  CommandParameter,
  Decision,
  OptionValue,
  QueryCell,
  QueryRefusal,
  QueryRequest,
  QueryRow,
  Refusal,
  RefusalCode,
} from './BaobabwellOperations';
export type { EntityCommandSpec } from './BaobabwellOperationsEntityCommands';
export type {
  CallActivity,
  FleetSourceDependencies,
  ListCallActivity,
} from './BaobabwellOperationsFleetSources';
export type { FindTransaction } from './BaobabwellOperationsHistorySources';
export type { JournalEntry } from './BaobabwellOperationsJournal';
export type { CommandRecord } from './BaobabwellOperationsRecords';
export type { OperatorReply } from './BaobabwellOperationsReply';
export type { OperatorServiceDependencies, StatementOptions } from './BaobabwellOperationsService';

export { OperatorCommand, OperatorReport, OptionKind, QuerySource } from './BaobabwellOperations';
export {
  ChangeEntityCommand,
  CreateEntityCommand,
  createEntityCommands,
  RemoveEntityCommand,
} from './BaobabwellOperationsEntityCommands';
export { CallsSource, HostsSource, PoolsSource } from './BaobabwellOperationsFleetSources';
export {
  ChangesSource,
  CommandsSource,
  TransactionSource,
} from './BaobabwellOperationsHistorySources';
export {
  DrainHostCommand,
  MoveHostCommand,
  RebootHostCommand,
  ReturnHostCommand,
} from './BaobabwellOperationsHostCommands';
export { ChangeJournal } from './BaobabwellOperationsJournal';
export {
  CreateOperatorCommand,
  GrantKeyCommand,
  RotateKeyCommand,
  WithdrawKeyCommand,
} from './BaobabwellOperationsKeyCommands';
export { CommandRecords } from './BaobabwellOperationsRecords';
export { OperatorService } from './BaobabwellOperationsService';
export { EntitySource } from './BaobabwellOperationsSources';
export { createSplitCommands } from './BaobabwellOperationsSplitCommands';
export { RetireTargetCommand, ReturnTargetCommand } from './BaobabwellOperationsTargetCommands';
export { UndoChangeCommand } from './BaobabwellOperationsUndoCommand';
export { createWaveCommands } from './BaobabwellOperationsWaveCommands';
