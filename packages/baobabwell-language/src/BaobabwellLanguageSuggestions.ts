const MAX_SUGGESTIONS = 3;
const CHARACTERS_PER_TYPO = 3;
const MIN_TYPED_LENGTH = 2;

function getEditDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= b.length; column += 1) {
      const substitution = (previous[column - 1] ?? 0) + (a[row - 1] === b[column - 1] ? 0 : 1);
      const insertion = (current[column - 1] ?? 0) + 1;
      const removal = (previous[column] ?? 0) + 1;
      current.push(Math.min(substitution, insertion, removal));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

function sortLetters(text: string): string {
  return Array.from(text).toSorted().join('');
}

function getDistance(typed: string, name: string): number {
  const distance = getEditDistance(typed, name);
  // A swap of two letters counts as one typing error. Edit distance alone would count it as two.
  return distance === 2 && sortLetters(typed) === sortLetters(name) ? 1 : distance;
}

/** Lists the names that are similar to a mistyped word, most similar first. */
export function listSimilarNames(typed: string, names: readonly string[]): readonly string[] {
  if (typed.length < MIN_TYPED_LENGTH) {
    return [];
  }
  const maxDistance = Math.max(1, Math.floor(typed.length / CHARACTERS_PER_TYPO));
  return [...new Set(names)]
    .map((name) => ({
      name,
      distance: name.startsWith(typed) ? 0 : getDistance(typed, name),
    }))
    .filter(({ distance }) => distance <= maxDistance)
    .toSorted((a, b) => a.distance - b.distance || (a.name < b.name ? -1 : 1))
    .slice(0, MAX_SUGGESTIONS)
    .map(({ name }) => name);
}

/** Formats suggestions as the end of a message; returns an empty string if there are none. */
export function formatSuggestions(suggestions: readonly string[]): string {
  return suggestions.length === 0 ? '' : `; did you mean ${suggestions.join(' or ')}?`;
}
