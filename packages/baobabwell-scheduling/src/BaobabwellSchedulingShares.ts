/** What one team does at one entry in one pool. */
export type TeamActivity = {
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
};

/** Decides how many slots of a pool each team may use at this entry. */
export abstract class SlotShares {
  /** Most slots that a team may use; infinite while there is room for everybody. */
  abstract getTarget(pool: string, team: string): number;

  /** Whether more is wanted of a pool than it has. */
  abstract isContended(pool: string): boolean;
}

/** Leaves every entry to order its own calls by the use that it saw itself. */
export class LocalSlotShares extends SlotShares {
  override getTarget(): number {
    return Number.POSITIVE_INFINITY;
  }

  override isContended(): boolean {
    return false;
  }
}
