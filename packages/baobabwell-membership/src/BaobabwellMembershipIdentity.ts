import type { MemberIncarnation } from '@baobabwell/view';

/** The life that this process leads among the members. A fenced process begins another. */
export class MemberIdentity implements MemberIncarnation {
  readonly id: string;

  readonly #processIncarnation: string;

  #lives = 1;

  constructor(id: string, processIncarnation: string) {
    this.id = id;
    this.#processIncarnation = processIncarnation;
  }

  /** Distinguishes this life from all others of the entry. */
  get incarnation(): string {
    return this.#lives === 1
      ? this.#processIncarnation
      : `${this.#processIncarnation}-${this.#lives}`;
  }

  /** Begins a new life, which holds nothing. */
  startNewLife(): void {
    this.#lives += 1;
  }
}
