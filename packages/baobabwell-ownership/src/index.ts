export type { Candidate, Owner, Term, TermListener } from './BaobabwellOwnershipModel';

export { Ownership } from './BaobabwellOwnership';
export {
  FORMER_OWNER_GRACE_MS,
  MIN_TAKEOVER_MS,
  OWNER_GRACE_MS,
  OWNER_LEASE_MS,
  OWNERSHIP_TABLE,
} from './BaobabwellOwnershipConstants';
