export type { KeptAnswer, KeptResult, KeyedCall, KeyedResult } from './BaobabwellIdempotency';
export type {
  BoundedWriteResult,
  ClaimWrite,
  GroupCommitParts,
  WriteResult,
} from './BaobabwellIdempotencyGroupCommit';
export type { IdempotencyParts } from './BaobabwellIdempotencyRegistry';
export type { SweeperParts } from './BaobabwellIdempotencySweeper';

export { AnswerStore } from './BaobabwellIdempotencyAnswers';
export { CLAIM_TABLE, RETENTION_MS, SPACING_PER_MEMBER_MS } from './BaobabwellIdempotencyConstants';
export { GroupCommit } from './BaobabwellIdempotencyGroupCommit';
export { IdempotencyRegistry, OWNER_LOST } from './BaobabwellIdempotencyRegistry';
export { ClaimSweeper } from './BaobabwellIdempotencySweeper';
