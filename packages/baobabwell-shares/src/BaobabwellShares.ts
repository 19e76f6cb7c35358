import type { TeamActivity } from '@baobabwell/scheduling';

/** Running and waiting calls of one entry in one pool, by team. */
export type PoolActivity = {
  readonly pool: string;
  readonly teams: readonly TeamActivity[];
};

/** Number of slots that one team may use at one entry. */
export type SlotTarget = {
  readonly team: string;
  readonly slots: number;
};

/** Division of a pool for one entry; `targets` is `null` while the pool is not contended. */
export type PoolDivision = {
  readonly pool: string;
  readonly targets: readonly SlotTarget[] | null;
};

/** Weight of a team and of its organisation. */
export type TeamShare = {
  readonly organisation: string;
  readonly organisationShare: number;
  readonly share: number;
};
