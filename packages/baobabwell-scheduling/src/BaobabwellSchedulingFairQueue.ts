/** One waiting item of a team. */
export type QueuedItem<T> = {
  readonly team: string;
  readonly item: T;
};

type TeamLine<T> = {
  virtualTime: number;
  readonly items: Set<T>;
};

/**
 * Orders waiting items by weighted fair queueing: the team that used least in proportion to its
 * weight comes first, and idle time earns no credit.
 */
export class FairQueue<T> {
  readonly #getWeight: (team: string) => number;

  readonly #lines = new Map<string, TeamLine<T>>();

  #size = 0;

  #virtualTime = 0;

  constructor(getWeight: (team: string) => number) {
    this.#getWeight = getWeight;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item at the end of its team's line. */
  add(team: string, item: T): void {
    const line = this.#lines.get(team) ?? { virtualTime: 0, items: new Set<T>() };
    if (line.items.size === 0) {
      line.virtualTime = Math.max(line.virtualTime, this.#virtualTime);
    }
    line.items.add(item);
    this.#lines.set(team, line);
    this.#size += 1;
  }

  /** Removes an item wherever it stands; returns whether it was there. */
  remove(team: string, item: T): boolean {
    const wasThere = this.#lines.get(team)?.items.delete(item) ?? false;
    this.#size -= wasThere ? 1 : 0;
    return wasThere;
  }

  /** Lists the teams that wait, the one to be served first in front. */
  listTeams(): readonly string[] {
    return [...this.#lines.entries()]
      .filter(([, { items }]) => items.size > 0)
      .toSorted(([, a], [, b]) => a.virtualTime - b.virtualTime)
      .map(([team]) => team);
  }

  /** Number of waiting items of a team. */
  getCount(team: string): number {
    return this.#lines.get(team)?.items.size ?? 0;
  }

  /** Lists the waiting items of a team, oldest first. */
  listItems(team: string): Iterable<T> {
    return this.#lines.get(team)?.items ?? [];
  }

  /** Charges a team for slot time in milliseconds. */
  recordUse(team: string, slotMs: number): void {
    const line = this.#lines.get(team) ?? { virtualTime: this.#virtualTime, items: new Set<T>() };
    this.#lines.set(team, line);
    this.#virtualTime = Math.max(this.#virtualTime, line.virtualTime);
    line.virtualTime += slotMs / Math.max(this.#getWeight(team), Number.EPSILON);
  }
}
