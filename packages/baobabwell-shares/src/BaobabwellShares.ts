import type { TeamActivity } from '@baobabwell/scheduling';

/** What one entry does in one pool. */
export type PoolActivity = {
  readonly pool: string;
  readonly teams: readonly TeamActivity[];
};

/** Slots that one team may use at one entry. */
export type SlotTarget = {
  readonly team: string;
  readonly slots: number;
};

/** How a pool is divided for one entry; without targets there is room for everybody. */
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
