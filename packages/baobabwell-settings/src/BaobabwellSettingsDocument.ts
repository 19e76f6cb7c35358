/** A YAML document in which paths can be looked up, whether or not it fits the schema. */
import type { SourceLocation } from '@baobabwell/utils';
import type { Document } from 'yaml';

import { isMap, isNode, isScalar, LineCounter, parseDocument, visit } from 'yaml';

/** Keys and indexes that lead to a value. */
export type SettingsPath = readonly (string | number)[];

/** A value of the document together with its path. */
export type PlacedValue = {
  readonly path: SettingsPath;
  readonly value: unknown;
};

/** Something wrong with the YAML itself. */
export type SyntaxProblem = {
  readonly place: SourceLocation;
  readonly problem: string;
  readonly isRepeatedKey: boolean;
};

const REPEATED_KEY = 'DUPLICATE_KEY';

/** Formats a path as `fleet.pools[2].hosts[0].id`. */
export function formatPath(path: SettingsPath): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}${text && '.'}${part}`,
    '',
  );
}

// The library's own messages may quote the text, and with it a secret: only its codes are used.
function formatProblem(code: string): string {
  return code === REPEATED_KEY
    ? 'repeats a key of the same map'
    : `is not valid YAML (${code.toLowerCase().replaceAll('_', ' ')})`;
}

/** Settings as text with positions. */
export class SettingsDocument {
  readonly #file: string;

  readonly #document: Document.Parsed;

  readonly #lines = new LineCounter();

  #value: unknown = undefined;

  constructor(text: string, file: string) {
    this.#file = file;
    this.#document = parseDocument(text, { lineCounter: this.#lines, prettyErrors: false });
  }

  /** Lists what is wrong with the YAML itself. */
  listProblems(): readonly SyntaxProblem[] {
    const problems = [...this.#document.errors, ...this.#document.warnings].map(
      ({ code, pos }) => ({
        place: this.#buildPlace(pos[0], []),
        problem: formatProblem(code),
        isRepeatedKey: code === REPEATED_KEY,
      }),
    );
    return [...problems, ...this.#listAliases()];
  }

  /** The document as plain values. */
  getValue(): unknown {
    this.#value ??= this.#document.toJS();
    return this.#value;
  }

  /** Gets the text at a path, or `null` where there is none. */
  getText(path: SettingsPath): string | null {
    const value = this.#document.getIn(path);
    return typeof value === 'string' ? value : null;
  }

  /** Lists the elements of the list at a path; empty where there is no list. */
  listElements(path: SettingsPath): readonly PlacedValue[] {
    const list = path.reduce<unknown>(
      (value, part) => (value as Record<string, unknown> | null | undefined)?.[part],
      this.getValue(),
    );
    return Array.isArray(list)
      ? list.map((value, index) => ({ path: [...path, index], value }))
      : [];
  }

  /** Finds the place of the value at a path, or of the nearest part of it that exists. */
  findPlace(path: SettingsPath): SourceLocation {
    for (let length = path.length; length >= 0; length -= 1) {
      const node = this.#document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) {
        return this.#buildPlace(node.range[0], path);
      }
    }
    return this.#buildPlace(0, path);
  }

  /** Finds the place of a key in the map at a path. */
  findKeyPlace(path: SettingsPath, key: string): SourceLocation {
    const map = this.#document.getIn(path, true);
    const pairs = isMap(map) ? map.items : [];
    const node = pairs.map((pair) => pair.key).find((one) => isScalar(one) && one.value === key);
    return isScalar(node) && node.range
      ? this.#buildPlace(node.range[0], [...path, key])
      : this.findPlace(path);
  }

  #listAliases(): readonly SyntaxProblem[] {
    const offsets: number[] = [];
    visit(this.#document, {
      Alias: (_key, node) => {
        offsets.push(node.range?.[0] ?? 0);
      },
    });
    return offsets.map((offset) => ({
      place: this.#buildPlace(offset, []),
      problem: 'is an alias, which would hide the place of a finding',
      isRepeatedKey: false,
    }));
  }

  #buildPlace(offset: number, path: SettingsPath): SourceLocation {
    const { line, col } = this.#lines.linePos(offset);
    return { file: this.#file, line, column: col, path: formatPath(path) };
  }
}
