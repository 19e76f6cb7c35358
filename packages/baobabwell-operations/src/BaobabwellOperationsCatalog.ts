import type { OperatorCommand, QuerySource } from './BaobabwellOperations';
import type { FleetView } from '@baobabwell/model';

import { NameCatalog, VERBS } from '@baobabwell/language';

/** The commands, sources and view whose names {@link FleetNameCatalog} lists. */
export type CatalogDependencies = {
  readonly commands: readonly OperatorCommand[];
  readonly sources: readonly QuerySource[];
  readonly view: FleetView;
};

const MODE_WORDS: ReadonlySet<string> = new Set(['explain', 'dry-run']);

function listWords(text: string): readonly string[] {
  return text.split(/[\s,()]+/).filter((word) => word !== '');
}

/** Lists the names of entities, commands, options, sources and columns for completion. */
export class FleetNameCatalog extends NameCatalog {
  readonly #dependencies: CatalogDependencies;

  constructor(dependencies: CatalogDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override listNames(rule: string, precedingText: string): readonly string[] {
    const words = listWords(precedingText).filter((word) => !MODE_WORDS.has(word));
    switch (rule) {
      case 'source':
        return this.#dependencies.sources.map(({ name }) => name);
      case 'verb':
        return VERBS.filter((verb) =>
          this.#dependencies.commands.some(({ name }) => name.startsWith(`${verb} `)),
        );
      case 'object':
        return this.#listObjects(words[0] ?? '');
      case 'column':
        return this.#dependencies.sources.find(({ name }) => name === words[0])?.columns ?? [];
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
    return this.#dependencies.commands.find(({ name }) => name === `${verb} ${object}`) ?? null;
  }

  #listObjects(verb: string): readonly string[] {
    return this.#dependencies.commands
      .filter(({ name }) => name.startsWith(`${verb} `))
      .map(({ name }) => name.slice(verb.length + 1));
  }

  #listArguments(words: readonly string[]): readonly string[] {
    const argumentIndex = words.slice(2).filter((word) => word !== 'to').length;
    const parameter = this.#findCommand(words)?.parameters[argumentIndex];
    return parameter?.kind && !parameter.isNew
      ? this.#dependencies.view.list(parameter.kind).map(({ id }) => id)
      : [];
  }

  #listOptionValues(words: readonly string[]): readonly string[] {
    const names = words.filter((word) => word !== '=');
    const option = this.#findCommand(words)?.options.find(({ name }) => name === names.at(-1));
    if (option?.references !== undefined) {
      return this.#dependencies.view.list(option.references).map(({ id }) => id);
    }
    return option?.allowed ?? [];
  }
}
