import { findNext } from './BaobabwellLanguageParser';

/** Knows the names that the grammar leaves open. */
export abstract class NameCatalog {
  /**
   * Lists the names that a rule of the grammar accepts.
   *
   * @param rule name of the rule, such as `source`, `column`, `verb` or `argument`.
   * @param before the statement up to the place of the name.
   */
  abstract listNames(rule: string, before: string): readonly string[];
}

/** A word that may stand at the cursor. */
export type Completion = {
  readonly text: string;
  /** Column at which the text replaces what was typed, counted from one. */
  readonly column: number;
};

const LAST_WORD = /[^\s"=!<>,()]*$/;

/** Lists what may complete or follow a text, from the grammar and the names of the fleet. */
export function listCompletions(text: string, catalog: NameCatalog): readonly Completion[] {
  const typed = LAST_WORD.exec(text)?.[0] ?? '';
  const before = text.slice(0, text.length - typed.length);
  const { keywords, rules } = findNext(before);
  const names = rules.flatMap((rule) => catalog.listNames(rule, before));
  return [...new Set([...names, ...keywords])]
    .filter((candidate) => candidate.startsWith(typed))
    .toSorted()
    .map((candidate) => ({ text: candidate, column: before.length + 1 }));
}
