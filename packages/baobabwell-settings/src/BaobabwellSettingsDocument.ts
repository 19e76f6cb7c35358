/** A YAML document with lookup of values and locations by path, also when it violates the schema. */
import type { SourceLocation } from '@baobabwell/utils';
import type { Document } from 'yaml';

import { isMap, isNode, isScalar, LineCounter, parseDocument, visit } from 'yaml';

/** Keys and indexes that lead to a value. */
export type SettingsPath = readonly (string | number)[];

/** A value of the document together with its path. */
export type ValueAtPath = {
  readonly path: SettingsPath;
  readonly value: unknown;
};

/** An error or warning of the YAML parser, or an unsupported alias. */
export type SyntaxProblem = {
  readonly place: SourceLocation;
  readonly problem: string;
  readonly isDuplicateKey: boolean;
};

const DUPLICATE_KEY_CODE = 'DUPLICATE_KEY';

/** Formats a path as `fleet.pools[2].hosts[0].id`. */
export function formatPath(path: SettingsPath): string {
  return path.reduce<string>(
    (text, part) =>
      typeof part === 'number' ? `${text}[${part}]` : `${text}${text && '.'}${part}`,
    '',
  );
}

// Only the codes of the YAML library are used: its messages may quote the text and thereby a secret.
function formatSyntaxProblem(code: string): string {
  return code === DUPLICATE_KEY_CODE
    ? 'duplicates a key of the same map'
    : `is not valid YAML (${code.toLowerCase().replaceAll('_', ' ')})`;
}

/** Parsed settings file that maps paths to values and to locations in the text. */
export class SettingsDocument {
  readonly #file: string;

  readonly #document: Document.Parsed;

  readonly #lineCounter = new LineCounter();

  #value: unknown = undefined;

  constructor(text: string, file: string) {
    this.#file = file;
    this.#document = parseDocument(text, { lineCounter: this.#lineCounter, prettyErrors: false });
  }

  /** Lists the errors and warnings of the YAML parser, and all aliases. */
  listProblems(): readonly SyntaxProblem[] {
    const problems = [...this.#document.errors, ...this.#document.warnings].map(
      ({ code, pos }) => ({
        place: this.#buildLocation(pos[0], []),
        problem: formatSyntaxProblem(code),
        isDuplicateKey: code === DUPLICATE_KEY_CODE,
      }),
    );
    return [...problems, ...this.#listAliases()];
  }

  /** Returns the document as plain JavaScript values. */
  getValue(): unknown {
    this.#value ??= this.#document.toJS();
    return this.#value;
  }

  /** Returns the string at a path, or `null` when there is none. */
  getString(path: SettingsPath): string | null {
    const value = this.#document.getIn(path);
    return typeof value === 'string' ? value : null;
  }

  /** Lists the elements of the list at a path; returns an empty list when there is no list. */
  listElements(path: SettingsPath): readonly ValueAtPath[] {
    const list = path.reduce<unknown>(
      (value, part) => (value as Record<string, unknown> | null | undefined)?.[part],
      this.getValue(),
    );
    return Array.isArray(list)
      ? list.map((value, index) => ({ path: [...path, index], value }))
      : [];
  }

  /** Finds the location of the value at a path, or of its nearest existing ancestor. */
  findLocation(path: SettingsPath): SourceLocation {
    for (let length = path.length; length >= 0; length -= 1) {
      const node = this.#document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) {
        return this.#buildLocation(node.range[0], path);
      }
    }
    return this.#buildLocation(0, path);
  }

  /** Finds the location of a key in the map at a path. */
  findKeyLocation(path: SettingsPath, key: string): SourceLocation {
    const map = this.#document.getIn(path, true);
    const pairs = isMap(map) ? map.items : [];
    const node = pairs
      .map((pair) => pair.key)
      .find((candidate) => isScalar(candidate) && candidate.value === key);
    return isScalar(node) && node.range
      ? this.#buildLocation(node.range[0], [...path, key])
      : this.findLocation(path);
  }

  #listAliases(): readonly SyntaxProblem[] {
    const offsets: number[] = [];
    visit(this.#document, {
      Alias: (_key, node) => {
        offsets.push(node.range?.[0] ?? 0);
      },
    });
    return offsets.map((offset) => ({
      place: this.#buildLocation(offset, []),
      problem: 'is an alias, which would make the location of findings ambiguous',
      isDuplicateKey: false,
    }));
  }

  #buildLocation(offset: number, path: SettingsPath): SourceLocation {
    const { line, col } = this.#lineCounter.linePos(offset);
    return { file: this.#file, line, column: col, path: formatPath(path) };
  }
}
