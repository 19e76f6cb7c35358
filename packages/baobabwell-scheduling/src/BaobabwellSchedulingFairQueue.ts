import { PriorityClass } from '@baobabwell/model';

import { TeamLine } from './BaobabwellSchedulingTeamLine';

/**
 * Orders waiting items by weighted fair queueing: a team with urgent work comes first, then the
 * team that used least in proportion to its weight. Idle time earns no credit.
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

  /** Adds an item at the end of its class in its team's line. */
  add(team: string, item: T, priority: PriorityClass = PriorityClass.Normal): void {
    const line = this.#lines.get(team) ?? new TeamLine<T>();
    if (line.getCount() === 0) {
      line.virtualTime = Math.max(line.virtualTime, this.#virtualTime);
    }
    line.add(item, priority);
    this.#lines.set(team, line);
    this.#size += 1;
  }

  /** Removes an item wherever it stands; returns whether it was there. */
  remove(team: string, item: T): boolean {
    const wasThere = this.#lines.get(team)?.remove(item) ?? false;
    this.#size -= wasThere ? 1 : 0;
    return wasThere;
  }

  /** Lists the teams that wait, the one to be served first in front. */
  listTeams(): readonly string[] {
    return [...this.#lines.entries()]
      .filter(([, line]) => line.getCount() > 0)
      .toSorted(
        ([, a], [, b]) =>
          Number(b.hasUrgent()) - Number(a.hasUrgent()) || a.virtualTime - b.virtualTime,
      )
      .map(([team]) => team);
  }

  /** Number of waiting items of a team. */
  getCount(team: string): number {
    return this.#lines.get(team)?.getCount() ?? 0;
  }

  /** Number of items of a team that come before a new one of a class. */
  getCountBefore(team: string, priority: PriorityClass): number {
    return this.#lines.get(team)?.getCountBefore(priority) ?? 0;
  }

  /** Whether urgent items of a team wait. */
  hasUrgent(team: string): boolean {
    return this.#lines.get(team)?.hasUrgent() ?? false;
  }

  /** Lists the waiting items of a team in the order in which they are to be served. */
  listItems(team: string): Iterable<T> {
    return this.#lines.get(team)?.listItems() ?? [];
  }

  /** Charges a team for slot time in milliseconds. */
  recordUse(team: string, slotMs: number): void {
    const line = this.#lines.get(team) ?? new TeamLine<T>(this.#virtualTime);
    this.#lines.set(team, line);
    this.#virtualTime = Math.max(this.#virtualTime, line.virtualTime);
    line.virtualTime += slotMs / Math.max(this.#getWeight(team), Number.EPSILON);
  }
}
