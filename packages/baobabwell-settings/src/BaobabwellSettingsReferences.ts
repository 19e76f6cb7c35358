/** Checks of what must hold between sections; they run also when the schema objects. */
import type { PlacedValue, SettingsDocument, SettingsPath } from './BaobabwellSettingsDocument';
import type { FindingList } from '@baobabwell/utils';

type Check = (document: SettingsDocument, findings: FindingList) => void;

/** A text of the document with its path. */
type PlacedText = { readonly path: SettingsPath; readonly text: string };

const ENTRY_ADDRESSES = ['callers', 'operators', 'peers'];
const FLEET_LISTS = ['organisations', 'teams', 'keys', 'operators', 'pools', 'targets', 'queues'];

function listTexts(
  document: SettingsDocument,
  elements: readonly PlacedValue[],
  key: string,
): readonly PlacedText[] {
  return elements.flatMap(({ path }) => {
    const text = document.getText([...path, key]);
    return text === null ? [] : [{ path: [...path, key], text }];
  });
}

function listFleet(document: SettingsDocument, name: string): readonly PlacedValue[] {
  return document.listElements(['fleet', name]);
}

function listHosts(document: SettingsDocument): readonly PlacedValue[] {
  return listFleet(document, 'pools').flatMap(({ path }) =>
    document.listElements([...path, 'hosts']),
  );
}

/** Reports each text that an earlier one has already; `problem` does not repeat the text. */
function checkUnique(
  document: SettingsDocument,
  texts: readonly PlacedText[],
  problem: string,
  findings: FindingList,
): void {
  const lines = new Map<string, number>();
  texts.forEach(({ path, text }) => {
    const place = document.findPlace(path);
    const first = lines.get(text);
    if (first === undefined) {
      lines.set(text, place.line);
    } else {
      findings.add({ place, problem: `${problem} of line ${first}`, allowed: 'one of a kind' });
    }
  });
}

function checkKnown(
  document: SettingsDocument,
  references: readonly PlacedText[],
  known: readonly string[],
  what: string,
  findings: FindingList,
): void {
  references
    .filter(({ text }) => !known.includes(text))
    .forEach(({ path, text }) => {
      findings.add({
        place: document.findPlace(path),
        problem: `there is no ${what} "${text}"`,
        allowed: known.length === 0 ? `a ${what} of this file` : known.join(', '),
      });
    });
}

const checkIdentifiers: Check = (document, findings) => {
  const lists = [
    document.listElements(['entries']),
    listHosts(document),
    ...FLEET_LISTS.map((name) => listFleet(document, name)),
  ];
  lists.forEach((elements) => {
    checkUnique(document, listTexts(document, elements, 'id'), 'repeats the identifier', findings);
  });
};

const checkAddresses: Check = (document, findings) => {
  const entries = document.listElements(['entries']);
  const addresses = [
    ...entries.flatMap((entry) =>
      ENTRY_ADDRESSES.flatMap((key) => listTexts(document, [entry], key)),
    ),
    ...listTexts(document, listHosts(document), 'address'),
  ];
  checkUnique(document, addresses, 'repeats the address', findings);
};

const checkDigests: Check = (document, findings) => {
  ['keys', 'operators'].forEach((name) => {
    const digests = listTexts(document, listFleet(document, name), 'digest');
    checkUnique(document, digests, 'repeats the digest', findings);
  });
};

const checkReferences: Check = (document, findings) => {
  const listKnown = (name: string): readonly string[] =>
    listTexts(document, listFleet(document, name), 'id').map(({ text }) => text);
  const references: readonly (readonly [string, string, string, string])[] = [
    ['teams', 'organisation', 'organisations', 'organisation'],
    ['keys', 'team', 'teams', 'team'],
    ['targets', 'pool', 'pools', 'pool'],
    ['queues', 'target', 'targets', 'target'],
  ];
  references.forEach(([from, key, to, what]) => {
    const texts = listTexts(document, listFleet(document, from), key);
    checkKnown(document, texts, listKnown(to), what, findings);
  });
  const teams = listFleet(document, 'queues')
    .flatMap(({ path }) => document.listElements([...path, 'teams']))
    .flatMap(({ path, value }) => (typeof value === 'string' ? [{ path, text: value }] : []));
  checkKnown(document, teams, listKnown('teams'), 'team', findings);
};

const checkBudgets: Check = (document, findings) => {
  listFleet(document, 'pools').forEach(({ path, value }) => {
    const { minimumServing } = (value ?? {}) as { minimumServing?: unknown };
    const hosts = document.listElements([...path, 'hosts']).length;
    if (typeof minimumServing === 'number' && minimumServing > hosts) {
      findings.add({
        place: document.findPlace([...path, 'minimumServing']),
        problem: `is more than the ${hosts} hosts of the pool`,
        allowed: `0 to ${hosts}`,
      });
    }
  });
};

const checkRacks: Check = (document, findings) => {
  const dataCentres = new Map<string, string>();
  listHosts(document).forEach(({ path }) => {
    const rack = document.getText([...path, 'rack']);
    const dataCentre = document.getText([...path, 'dataCentre']);
    if (rack === null || dataCentre === null) {
      return;
    }
    const known = dataCentres.get(rack) ?? dataCentre;
    dataCentres.set(rack, known);
    if (known !== dataCentre) {
      findings.add({
        place: document.findPlace([...path, 'dataCentre']),
        problem: `rack "${rack}" stands in another data centre`,
        allowed: known,
      });
    }
  });
};

/** All checks between sections but those of queues. */
export const REFERENCE_CHECKS: readonly Check[] = [
  checkIdentifiers,
  checkAddresses,
  checkDigests,
  checkReferences,
  checkBudgets,
  checkRacks,
];
