import type { MemberIncarnation } from '@baobabwell/view';

/** Member identity of this process. A fenced process starts a new incarnation. */
export class MemberIdentity implements MemberIncarnation {
  readonly id: string;

  readonly #processIncarnation: string;

  #incarnationCount = 1;

  constructor(id: string, processIncarnation: string) {
    this.id = id;
    this.#processIncarnation = processIncarnation;
  }

  /** Distinguishes this incarnation from all others of the entry. */
  get incarnation(): string {
    return this.#incarnationCount === 1
      ? this.#processIncarnation
      : `${this.#processIncarnation}-${this.#incarnationCount}`;
  }

  /** Starts a new incarnation, which has no holdings. */
  startNewIncarnation(): void {
    this.#incarnationCount += 1;
  }
}
