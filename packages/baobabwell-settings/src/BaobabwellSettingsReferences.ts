/**
 * Consistency checks between sections: unique names, valid references, budgets and racks. They also
 * run when schema validation fails, so that all problems are reported together.
 */
import type { SettingsDocument, SettingsPath, ValueAtPath } from './BaobabwellSettingsDocument';
import type { FindingList } from '@baobabwell/utils';

type ReferenceCheck = (document: SettingsDocument, findings: FindingList) => void;

/** A string of the document with its path. */
type StringAtPath = { readonly path: SettingsPath; readonly text: string };

const ENTRY_ADDRESSES = ['callers', 'operators', 'peers'];
const FLEET_LISTS = ['organisations', 'teams', 'keys', 'operators', 'pools', 'targets', 'queues'];

function listStrings(
  document: SettingsDocument,
  elements: readonly ValueAtPath[],
  key: string,
): readonly StringAtPath[] {
  return elements.flatMap(({ path }) => {
    const text = document.getString([...path, key]);
    return text === null ? [] : [{ path: [...path, key], text }];
  });
}

function listFleetElements(document: SettingsDocument, name: string): readonly ValueAtPath[] {
  return document.listElements(['fleet', name]);
}

function listHosts(document: SettingsDocument): readonly ValueAtPath[] {
  return listFleetElements(document, 'pools').flatMap(({ path }) =>
    document.listElements([...path, 'hosts']),
  );
}

/** Reports each repeated string by the line of its first occurrence, without quoting it. */
function checkUnique(
  document: SettingsDocument,
  texts: readonly StringAtPath[],
  problem: string,
  findings: FindingList,
): void {
  const lines = new Map<string, number>();
  texts.forEach(({ path, text }) => {
    const place = document.findLocation(path);
    const first = lines.get(text);
    if (first === undefined) {
      lines.set(text, place.line);
    } else {
      findings.add({ place, problem: `${problem} on line ${first}`, allowed: 'a unique value' });
    }
  });
}

function checkDefined(
  document: SettingsDocument,
  references: readonly StringAtPath[],
  definedNames: readonly string[],
  entity: string,
  findings: FindingList,
): void {
  references
    .filter(({ text }) => !definedNames.includes(text))
    .forEach(({ path, text }) => {
      findings.add({
        place: document.findLocation(path),
        problem: `there is no ${entity} "${text}"`,
        allowed:
          definedNames.length === 0 ? `a ${entity} defined in this file` : definedNames.join(', '),
      });
    });
}

const checkIdentifiers: ReferenceCheck = (document, findings) => {
  const lists = [
    document.listElements(['entries']),
    listHosts(document),
    ...FLEET_LISTS.map((name) => listFleetElements(document, name)),
  ];
  lists.forEach((elements) => {
    checkUnique(
      document,
      listStrings(document, elements, 'id'),
      'duplicates the identifier',
      findings,
    );
  });
};

const checkAddresses: ReferenceCheck = (document, findings) => {
  const entries = document.listElements(['entries']);
  const addresses = [
    ...entries.flatMap((entry) =>
      ENTRY_ADDRESSES.flatMap((key) => listStrings(document, [entry], key)),
    ),
    ...listStrings(document, listHosts(document), 'address'),
  ];
  checkUnique(document, addresses, 'duplicates the address', findings);
};

const checkDigests: ReferenceCheck = (document, findings) => {
  ['keys', 'operators'].forEach((name) => {
    const digests = listStrings(document, listFleetElements(document, name), 'digest');
    checkUnique(document, digests, 'duplicates the digest', findings);
  });
};

const checkReferences: ReferenceCheck = (document, findings) => {
  const listDefinedIds = (name: string): readonly string[] =>
    listStrings(document, listFleetElements(document, name), 'id').map(({ text }) => text);
  const references: readonly (readonly [string, string, string, string])[] = [
    ['teams', 'organisation', 'organisations', 'organisation'],
    ['keys', 'team', 'teams', 'team'],
    ['targets', 'pool', 'pools', 'pool'],
    ['queues', 'target', 'targets', 'target'],
  ];
  references.forEach(([from, key, to, entity]) => {
    const texts = listStrings(document, listFleetElements(document, from), key);
    checkDefined(document, texts, listDefinedIds(to), entity, findings);
  });
  const teams = listFleetElements(document, 'queues')
    .flatMap(({ path }) => document.listElements([...path, 'teams']))
    .flatMap(({ path, value }) => (typeof value === 'string' ? [{ path, text: value }] : []));
  checkDefined(document, teams, listDefinedIds('teams'), 'team', findings);
};

const checkBudgets: ReferenceCheck = (document, findings) => {
  listFleetElements(document, 'pools').forEach(({ path, value }) => {
    const { minimumServing } = (value ?? {}) as { minimumServing?: unknown };
    const hosts = document.listElements([...path, 'hosts']).length;
    if (typeof minimumServing === 'number' && minimumServing > hosts) {
      findings.add({
        place: document.findLocation([...path, 'minimumServing']),
        problem: `exceeds the ${hosts} hosts of the pool`,
        allowed: `0 to ${hosts}`,
      });
    }
  });
};

const checkRacks: ReferenceCheck = (document, findings) => {
  const dataCentres = new Map<string, string>();
  listHosts(document).forEach(({ path }) => {
    const rack = document.getString([...path, 'rack']);
    const dataCentre = document.getString([...path, 'dataCentre']);
    if (rack === null || dataCentre === null) {
      return;
    }
    const expected = dataCentres.get(rack) ?? dataCentre;
    dataCentres.set(rack, expected);
    if (expected !== dataCentre) {
      findings.add({
        place: document.findLocation([...path, 'dataCentre']),
        problem: `rack "${rack}" is already in another data centre`,
        allowed: expected,
      });
    }
  });
};

/** All checks between sections; `checkQueues` checks consistency within queues. */
export const REFERENCE_CHECKS: readonly ReferenceCheck[] = [
  checkIdentifiers,
  checkAddresses,
  checkDigests,
  checkReferences,
  checkBudgets,
  checkRacks,
];
