import { findContinuationAfter } from './BaobabwellLanguageParser';

/** Lists the names that the grammar does not define, such as those of entities. */
export abstract class NameCatalog {
  /**
   * Lists the names that a grammar rule accepts.
   *
   * @param rule name of the grammar rule, such as `source`, `column`, `verb` or `argument`.
   * @param precedingText the statement up to the position of the name.
   */
  abstract listNames(rule: string, precedingText: string): readonly string[];
}

/** A word that is valid at the cursor. */
export type Completion = {
  readonly text: string;
  /** Column at which the text replaces the partial word, counted from one. */
  readonly column: number;
};

const LAST_WORD = /[^\s"=!<>,()]*$/;

/** Lists the words that may complete or follow a partial statement, from the grammar and the catalog. */
export function listCompletions(text: string, catalog: NameCatalog): readonly Completion[] {
  const typed = LAST_WORD.exec(text)?.[0] ?? '';
  const precedingText = text.slice(0, text.length - typed.length);
  const { keywords, rules } = findContinuationAfter(precedingText);
  const names = rules.flatMap((rule) => catalog.listNames(rule, precedingText));
  return [...new Set([...names, ...keywords])]
    .filter((candidate) => candidate.startsWith(typed))
    .toSorted()
    .map((candidate) => ({ text: candidate, column: precedingText.length + 1 }));
}
