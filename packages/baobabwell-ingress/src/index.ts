export type { Answer, ClientRequest, RawCall, WireAnswer } from './BaobabwellIngressModel';
export type { OfferReply } from './BaobabwellIngressOwner';
export type { RecentRefusal } from './BaobabwellIngressRefusalMemory';
export type { AnsweredCall, IngressContext } from './BaobabwellIngressServer';

export { JobSubmissionService } from './BaobabwellIngressJobSubmissionService';
export { AnswerKind, ClientProtocol, ClientRequestKind } from './BaobabwellIngressModel';
export { OwnerClient } from './BaobabwellIngressOwner';
export { computeDemand, RefusalMemory } from './BaobabwellIngressRefusalMemory';
export { findOrganisation, findQueue } from './BaobabwellIngressRouting';
export { AnswerTiming, IngressServer } from './BaobabwellIngressServer';
export { StoreSilence } from './BaobabwellIngressStoreSilence';
export {
  CANCELLED_SUFFIX,
  getJobPartition,
  JOBS_TABLE,
  listJobPartitions,
  PROGRESS_TABLE,
} from './BaobabwellIngressTables';
