export type {
  KeyedCall,
  KeyedResult,
  RetainedAnswer,
  RetainedResult,
} from './BaobabwellIdempotency';
export type {
  BoundedWriteResult,
  ClaimWrite,
  GroupCommitDependencies,
  WriteResult,
} from './BaobabwellIdempotencyGroupCommit';
export type { IdempotencyDependencies } from './BaobabwellIdempotencyRegistry';
export type { SweeperDependencies } from './BaobabwellIdempotencySweeper';

export { AnswerStore } from './BaobabwellIdempotencyAnswers';
export {
  CLAIM_TABLE,
  OUTCOME_RETENTION_MS,
  TRANSACTION_INTERVAL_PER_MEMBER_MS,
} from './BaobabwellIdempotencyConstants';
export { GroupCommit } from './BaobabwellIdempotencyGroupCommit';
export { IdempotencyRegistry, OWNER_LOST } from './BaobabwellIdempotencyRegistry';
export { ClaimSweeper } from './BaobabwellIdempotencySweeper';
