import { expect } from 'earl';

import { listCompletions, NameCatalog } from '../../BaobabwellLanguageCompletion';
import { parseStatement } from '../../BaobabwellLanguageParser';

const NAMES: Readonly<Record<string, readonly string[]>> = {
  source: ['hosts', 'pools'],
  column: ['pool', 'rack'],
  verb: ['drain', 'grant'],
  object: ['host'],
  argument: ['oven-1', 'oven-2'],
};

class FixedCatalog extends NameCatalog {
  override listNames(rule: string): readonly string[] {
    return NAMES[rule] ?? [];
  }
}

function complete(text: string): readonly string[] {
  return listCompletions(text, new FixedCatalog()).map((completion) => completion.text);
}

describe('parseStatement', () => {
  it('parses a query with filters, order, columns and a limit', function () {
    const text =
      'hosts where pool in (ovens, spare) and rack like "r*" order by rack desc, name show name, running limit 5';
    expect(parseStatement(text)).toMatchSnapshot(this);
  });

  it('parses a command with options, an expected version and a reason', function () {
    const text =
      'dry-run change team guilds share = 2, limit = 40 if version 12 reason "more \\"bread\\""';
    expect(parseStatement(text)).toMatchSnapshot(this);
  });

  it('accepts keywords as option names', () => {
    const parsed = parseStatement('change team x limit = 3 reason "x"');
    expect(parsed.ok && parsed.value.kind === 'command' && parsed.value.options).toEqual([
      { name: { text: 'limit', column: 15 }, values: [{ text: '3', column: 23 }] },
    ]);
  });

  [
    'hosts wher pool = ovens',
    'hosts where pool ~ ovens',
    'hosts where pool = ',
    'drain host oven-1 reason',
    'hosts where name = "oven',
    'changes since yesterday',
    'drain host oven-1 if versoin 4',
  ].forEach((text) => {
    it(`reports the column of the error in ${text}`, function () {
      expect(parseStatement(text)).toMatchSnapshot(this);
    });
  });
});

describe('listCompletions', () => {
  it('lists commands and sources at the start of a statement', () => {
    expect(complete('')).toEqual(['drain', 'dry-run', 'explain', 'grant', 'hosts', 'pools']);
  });

  it('completes the word at the cursor', () => {
    expect(complete('hosts where po')).toEqual(['pool']);
  });

  it('lists the clauses that may follow', () => {
    expect(complete('hosts show rack ')).toEqual([',', 'limit', 'order', 'show']);
  });

  it('lists the entities that an argument may name', () => {
    expect(complete('drain host oven')).toEqual(['oven-1', 'oven-2']);
  });
});
