import type { OperatorCommand, QuerySource } from './BaobabwellOperations';
import type { FleetView } from '@baobabwell/model';

import { NameCatalog, VERBS } from '@baobabwell/language';

/** What the names are taken from. */
export type CatalogParts = {
  readonly commands: readonly OperatorCommand[];
  readonly sources: readonly QuerySource[];
  readonly view: FleetView;
};

const MODES: ReadonlySet<string> = new Set(['explain', 'dry-run']);

function listWords(text: string): readonly string[] {
  return text.split(/[\s,()]+/).filter((word) => word !== '');
}

/** The names of the fleet, its commands and its sources. */
export class FleetNameCatalog extends NameCatalog {
  readonly #parts: CatalogParts;

  constructor(parts: CatalogParts) {
    super();
    this.#parts = parts;
  }

  override listNames(rule: string, before: string): readonly string[] {
    const words = listWords(before).filter((word) => !MODES.has(word));
    switch (rule) {
      case 'source':
        return this.#parts.sources.map(({ name }) => name);
      case 'verb':
        return VERBS.filter((verb) =>
          this.#parts.commands.some(({ name }) => name.startsWith(`${verb} `)),
        );
      case 'object':
        return this.#listObjects(words[0] ?? '');
      case 'column':
        return this.#parts.sources.find(({ name }) => name === words[0])?.columns ?? [];
      case 'argument':
        return this.#listArguments(words);
      case 'optionName':
        return this.#findCommand(words)?.options.map(({ name }) => name) ?? [];
      case 'value':
        return this.#listOptionValues(words);
      default:
        return [];
    }
  }

  #findCommand([verb, object]: readonly string[]): OperatorCommand | null {
    return this.#parts.commands.find(({ name }) => name === `${verb} ${object}`) ?? null;
  }

  #listObjects(verb: string): readonly string[] {
    return this.#parts.commands
      .filter(({ name }) => name.startsWith(`${verb} `))
      .map(({ name }) => name.slice(verb.length + 1));
  }

  #listArguments(words: readonly string[]): readonly string[] {
    const given = words.slice(2).filter((word) => word !== 'to').length;
    const parameter = this.#findCommand(words)?.parameters[given];
    return parameter?.kind && !parameter.isNew
      ? this.#parts.view.list(parameter.kind).map(({ id }) => id)
      : [];
  }

  #listOptionValues(words: readonly string[]): readonly string[] {
    const names = words.filter((word) => word !== '=');
    const option = this.#findCommand(words)?.options.find(({ name }) => name === names.at(-1));
    if (option?.references !== undefined) {
      return this.#parts.view.list(option.references).map(({ id }) => id);
    }
    return option?.allowed ?? [];
  }
}
