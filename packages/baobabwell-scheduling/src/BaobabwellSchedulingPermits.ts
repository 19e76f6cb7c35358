import type { Undo } from '@baobabwell/kernel';

/** The right to run one piece of a team's work; released exactly once. */
export type Permit = {
  readonly team: string;
  readonly release: () => void;
};

/** What this entry holds and uses of one team's limit. */
export type PermitUse = {
  readonly team: string;
  readonly held: number;
  readonly inUse: number;
  readonly waiting: number;
};

/** Decides how much of each team's upper limit this entry may use. */
export abstract class PermitPool {
  /** Takes a permit of a team, or `null` when this entry has none left. */
  abstract acquire(team: string): Permit | null;

  /** Number of permits that could be taken now. */
  abstract getIdle(team: string): number;

  /** Counts a call that begins to wait, or with -1 one that no longer does. */
  abstract addWaiting(team: string, count: number): void;

  /** Lists the teams of which permits are held or wanted. */
  abstract listUse(): readonly PermitUse[];

  /** Calls `listener` when permits of a team may have become available. */
  abstract registerListener(listener: (team: string) => void): Undo;
}

/** What the static division is computed from. */
export type StaticDivision = {
  /** Upper limit of a team across the fleet. */
  readonly getLimit: (team: string) => number;
  /** Position of this entry among the members, and their number; `null` when not a member. */
  readonly getRank: () => { readonly index: number; readonly count: number } | null;
};

/**
 * Divides each limit evenly among the entries. It needs no messages, and wastes what an entry
 * without demand is given.
 */
export class StaticPermitPool extends PermitPool {
  readonly #division: StaticDivision;

  readonly #inUse = new Map<string, number>();

  readonly #listeners = new Set<(team: string) => void>();

  constructor(division: StaticDivision) {
    super();
    this.#division = division;
  }

  override acquire(team: string): Permit | null {
    const inUse = this.#inUse.get(team) ?? 0;
    if (inUse >= this.#getQuota(team)) {
      return null;
    }
    this.#inUse.set(team, inUse + 1);
    let isReleased = false;
    const release = (): void => {
      if (!isReleased) {
        isReleased = true;
        this.#release(team);
      }
    };
    return { team, release };
  }

  override getIdle(team: string): number {
    return Math.max(0, this.#getQuota(team) - (this.#inUse.get(team) ?? 0));
  }

  override listUse(): readonly PermitUse[] {
    return [...this.#inUse].map(([team, inUse]) => ({
      team,
      held: this.#getQuota(team),
      inUse,
      waiting: 0,
    }));
  }

  override addWaiting(): void {
    // The division does not follow demand.
  }

  override registerListener(listener: (team: string) => void): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #getQuota(team: string): number {
    const rank = this.#division.getRank();
    if (rank === null) {
      return 0;
    }
    const limit = this.#division.getLimit(team);
    const until = Math.floor((limit * (rank.index + 1)) / rank.count);
    const before = Math.floor((limit * rank.index) / rank.count);
    return until - before;
  }

  #release(team: string): void {
    this.#inUse.set(team, (this.#inUse.get(team) ?? 1) - 1);
    this.#listeners.forEach((listener) => listener(team));
  }
}
