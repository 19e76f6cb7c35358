/**
 * Load pattern: a job runs a million times, its occurrences end about in the order of their due times. What is
 * kept follows the occurrences that ended before earlier ones.
 */

/** A set of numbers of occurrences, of which most are consecutive from 0 on. */
export class OccurrenceSet {
  /** All occurrences below this one are in the set, and it is not. */
  #firstMissing = 0;

  /** Occurrences of the set beyond it. */
  readonly #beyond = new Set<number>();

  /** The first occurrence that is not in the set. */
  get firstMissing(): number {
    return this.#firstMissing;
  }

  get size(): number {
    return this.#firstMissing + this.#beyond.size;
  }

  has(occurrence: number): boolean {
    return occurrence < this.#firstMissing || this.#beyond.has(occurrence);
  }

  add(occurrence: number): void {
    this.addRange(occurrence, occurrence);
  }

  /** Adds the occurrences from the first to the last one. */
  addRange(first: number, last: number): void {
    if (first > this.#firstMissing) {
      for (let occurrence = first; occurrence <= last; occurrence += 1) {
        this.#beyond.add(occurrence);
      }
      return;
    }
    for (; this.#firstMissing <= last; this.#firstMissing += 1) {
      this.#beyond.delete(this.#firstMissing);
    }
    while (this.#beyond.delete(this.#firstMissing)) {
      this.#firstMissing += 1;
    }
  }

  /** Lists the first and the last occurrence of each row of consecutive ones. */
  listRanges(): readonly (readonly [number, number])[] {
    const ranges: [number, number][] = this.#firstMissing > 0 ? [[0, this.#firstMissing - 1]] : [];
    [...this.#beyond]
      .toSorted((left, right) => left - right)
      .forEach((occurrence) => {
        const last = ranges.at(-1);
        if (last?.[1] === occurrence - 1) {
          last[1] = occurrence;
        } else {
          ranges.push([occurrence, occurrence]);
        }
      });
    return ranges;
  }

  /** Lists all occurrences. */
  list(): readonly number[] {
    return this.listRanges().flatMap(([first, last]) =>
      Array.from({ length: last - first + 1 }, (_, index) => first + index),
    );
  }
}
