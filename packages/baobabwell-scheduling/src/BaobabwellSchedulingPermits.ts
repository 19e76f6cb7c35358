import type { Undo } from '@baobabwell/kernel';

/** Permission to run one piece of a team's work; released exactly once. */
export type Permit = {
  readonly team: string;
  readonly release: () => void;
};

/** Permits of one team that this entry holds and uses. */
export type PermitUsage = {
  readonly team: string;
  readonly held: number;
  readonly inUse: number;
  readonly waiting: number;
};

/** Decides how much of each team's upper limit this entry may use. */
export abstract class PermitPool {
  /** Takes a permit of a team; returns `null` when this entry has none left. */
  abstract acquire(team: string): Permit | null;

  /** Returns the number of permits that can be taken now. */
  abstract getAvailable(team: string): number;

  /** Adds `count` to the number of waiting calls of a team; it is -1 when a call stops waiting. */
  abstract addWaiting(team: string, count: number): void;

  /** Lists the usage of each team that holds permits or waits for them. */
  abstract listUsage(): readonly PermitUsage[];

  /** Registers a listener that is called when permits of a team may have become available. */
  abstract registerListener(listener: (team: string) => void): Undo;
}

/** Dependencies of {@link StaticPermitPool}. */
export type StaticPermitPoolDependencies = {
  /** Returns the upper limit of a team across the fleet. */
  readonly getLimit: (team: string) => number;
  /**
   * Returns the position of this entry among the members and their number, or `null` if this entry
   * is not a member.
   */
  readonly getRank: () => { readonly index: number; readonly count: number } | null;
};

/**
 * Divides each limit evenly among the entries. This needs no messages, but wastes the permits of
 * entries without demand.
 */
export class StaticPermitPool extends PermitPool {
  readonly #dependencies: StaticPermitPoolDependencies;

  readonly #inUse = new Map<string, number>();

  readonly #listeners = new Set<(team: string) => void>();

  constructor(dependencies: StaticPermitPoolDependencies) {
    super();
    this.#dependencies = dependencies;
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

  override getAvailable(team: string): number {
    return Math.max(0, this.#getQuota(team) - (this.#inUse.get(team) ?? 0));
  }

  override listUsage(): readonly PermitUsage[] {
    return [...this.#inUse].map(([team, inUse]) => ({
      team,
      held: this.#getQuota(team),
      inUse,
      waiting: 0,
    }));
  }

  override addWaiting(): void {
    // The static division does not depend on demand.
  }

  override registerListener(listener: (team: string) => void): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #getQuota(team: string): number {
    const rank = this.#dependencies.getRank();
    if (rank === null) {
      return 0;
    }
    const limit = this.#dependencies.getLimit(team);
    const until = Math.floor((limit * (rank.index + 1)) / rank.count);
    const before = Math.floor((limit * rank.index) / rank.count);
    return until - before;
  }

  #release(team: string): void {
    this.#inUse.set(team, (this.#inUse.get(team) ?? 1) - 1);
    this.#listeners.forEach((listener) => listener(team));
  }
}
