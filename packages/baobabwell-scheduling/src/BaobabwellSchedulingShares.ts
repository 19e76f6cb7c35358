/** Running and waiting calls of one team in one pool at one entry. */
export type TeamActivity = {
  readonly team: string;
  readonly running: number;
  readonly waiting: number;
};

/** Decides how many slots of a pool each team may use at this entry. */
export abstract class SlotShares {
  /** Returns how many slots a team may use; infinite while the pool is not contended. */
  abstract getTarget(pool: string, team: string): number;

  /** Returns whether the demand for a pool exceeds its slots. */
  abstract isContended(pool: string): boolean;
}

/** Sets no targets: each entry orders its calls by the slot time that it measured itself. */
export class LocalSlotShares extends SlotShares {
  override getTarget(): number {
    return Number.POSITIVE_INFINITY;
  }

  override isContended(): boolean {
    return false;
  }
}
