/** Decides how many slots of a pool each team may use at this entry. */
export abstract class SlotShares {
  /** Most slots that a team may use; infinite while there is room for everybody. */
  abstract getTarget(pool: string, team: string): number;
}

/** Leaves every entry to order its own calls by the use that it saw itself. */
export class LocalSlotShares extends SlotShares {
  override getTarget(): number {
    return Number.POSITIVE_INFINITY;
  }
}
