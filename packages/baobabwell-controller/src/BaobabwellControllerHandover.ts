import type { JsonValue } from '@baobabwell/platform';

/** State that a component passes on to the next owner. Losing it costs accuracy, never correctness. */
export type HandoverSection = {
  readonly name: string;
  /** Returns the state to store; `null` when there is none. */
  readonly save: () => JsonValue | null;
  /**
   * Restores the state of a former owner; ignores what it cannot read.
   *
   * @param ageMs time since the state was stored, in ms.
   */
  readonly restore: (value: JsonValue, ageMs: number) => void;
};

/** Stores what an owner learned, and restores it at the start of the next term. */
export class Handover {
  readonly #sections = new Map<string, HandoverSection>();

  /** Registers a section; the returned function removes it. */
  register(section: HandoverSection): () => void {
    this.#sections.set(section.name, section);
    return () => {
      this.#sections.delete(section.name);
    };
  }
}
