import { PriorityClass } from '@baobabwell/model';

import { TeamQueue } from './BaobabwellSchedulingTeamQueue';

/**
 * Orders waiting items by weighted fair queueing: teams with urgent items come first, then the team
 * with the least slot time used in proportion to its weight. Idle time earns no credit.
 */
export class FairQueue<T> {
  readonly #getWeight: (team: string) => number;

  readonly #teamQueues = new Map<string, TeamQueue<T>>();

  #size = 0;

  #virtualTime = 0;

  constructor(getWeight: (team: string) => number) {
    this.#getWeight = getWeight;
  }

  /** Returns the number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Appends an item to its priority class in its team's queue. */
  add(team: string, item: T, priority: PriorityClass = PriorityClass.Normal): void {
    const queue = this.#teamQueues.get(team) ?? new TeamQueue<T>();
    if (queue.getCount() === 0) {
      queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
    }
    queue.add(item, priority);
    this.#teamQueues.set(team, queue);
    this.#size += 1;
  }

  /** Removes an item; returns whether it was waiting. */
  remove(team: string, item: T): boolean {
    const wasRemoved = this.#teamQueues.get(team)?.remove(item) ?? false;
    this.#size -= wasRemoved ? 1 : 0;
    return wasRemoved;
  }

  /** Lists the teams with waiting items, in the order in which they are served. */
  listTeams(): readonly string[] {
    return [...this.#teamQueues.entries()]
      .filter(([, queue]) => queue.getCount() > 0)
      .toSorted(
        ([, a], [, b]) =>
          Number(b.hasUrgent()) - Number(a.hasUrgent()) || a.virtualTime - b.virtualTime,
      )
      .map(([team]) => team);
  }

  /** Returns the number of waiting items of a team. */
  getCount(team: string): number {
    return this.#teamQueues.get(team)?.getCount() ?? 0;
  }

  /** Returns how many items of a team are served before a new item of a priority class. */
  getCountBefore(team: string, priority: PriorityClass): number {
    return this.#teamQueues.get(team)?.getCountBefore(priority) ?? 0;
  }

  /** Returns whether urgent items of a team wait. */
  hasUrgent(team: string): boolean {
    return this.#teamQueues.get(team)?.hasUrgent() ?? false;
  }

  /** Lists the waiting items of a team in the order in which they are served. */
  listItems(team: string): Iterable<T> {
    return this.#teamQueues.get(team)?.listItems() ?? [];
  }

  /** Charges a team for slot time in milliseconds. */
  recordUsage(team: string, slotMs: number): void {
    const queue = this.#teamQueues.get(team) ?? new TeamQueue<T>(this.#virtualTime);
    this.#teamQueues.set(team, queue);
    this.#virtualTime = Math.max(this.#virtualTime, queue.virtualTime);
    queue.virtualTime += slotMs / Math.max(this.#getWeight(team), Number.EPSILON);
  }
}
