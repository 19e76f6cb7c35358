import type { OperatorReply } from '../../BaobabwellOperationsReply';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, Outcome } from '@baobabwell/model';

const SEED = 11;
const OPERATION_TIMEOUT_MS = 60_000;

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [
      { id: 'ovens', workers: 4, minimumServing: 3 },
      { id: 'spare', workers: 2, minimumServing: 0, spare: true },
    ],
    teams: [{ id: 'guilds', share: 1, limit: 3 }],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('OperatorService', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    fleet = createFleet();
    await fleet.startAll();
    await fleet.advance(2_000);
  });

  afterEach(() => fleet.close());

  async function operate(
    text: string,
    entry = 'entry-1',
    operator = 'operator',
  ): Promise<OperatorReply> {
    const reply = await fleet.time.settle(
      fleet.runStatement(entry, text, operator),
      OPERATION_TIMEOUT_MS,
    );
    return reply as OperatorReply;
  }

  async function listRows(text: string): Promise<readonly object[]> {
    const reply = await operate(text);
    return reply.kind === 'rows' ? reply.rows : [reply];
  }

  it('answers a query with filters, order, columns and a limit', async () => {
    await operate('drain host ovens-2 reason "fan"');
    const rows = await listRows(
      'hosts where pool = ovens and name > ovens-1 order by name desc show name, state, running limit 3',
    );
    expect(rows).toEqual([
      { name: 'ovens-4', state: 'serving', running: 0 },
      { name: 'ovens-3', state: 'serving', running: 0 },
      { name: 'ovens-2', state: 'draining', running: 0 },
    ]);
  });

  it('lists running calls, and waiting calls with the cause of the wait', async () => {
    const call = {
      queue: 'ovens',
      secret: getTeamSecret('guilds'),
      body: Buffer.from('{"runMs":5000}'),
    };
    const calls = ['entry-1', 'entry-2', 'entry-3'].flatMap((entry) => [
      fleet.call(entry, call),
      fleet.call(entry, call),
    ]);
    await fleet.advance(1_000);
    const running = await listRows(
      'calls where state = running order by entry show team, entry, pool limit 1',
    );
    const waiting = await listRows('calls where state = waiting show why limit 1');
    await fleet.time.settle(Promise.all(calls), OPERATION_TIMEOUT_MS);
    expect(running).toEqual([{ team: 'guilds', entry: 'entry-1', pool: 'ovens' }]);
    expect(waiting).toEqual([{ why: 'team guilds has reached its limit of 3 running calls' }]);
  });

  [
    'drian host ovens-1',
    'drain hots ovens-1',
    'drain host ovens-9',
    'drain host',
    'hosts where poool = ovens',
    'hots',
    'change team guilds limit = many, shrae = 2',
    'create queue breads target = ovns, deadline = 5, access = opne',
    'create team New organisation = organisation, share = 1',
  ].forEach((text) => {
    it(`reports the columns of the errors in ${text}`, async function () {
      expect(await operate(text)).toMatchSnapshot(this);
    });
  });

  it('creates, changes and removes entities, and refuses to leave dangling references', async () => {
    const replies: OperatorReply[] = [];
    for (const text of [
      'create organisation guild-hall share = 2',
      'create team bakers organisation = guild-hall, share = 1, limit = 4',
      'change team bakers limit = 6',
      'remove organisation guild-hall',
      'remove team bakers',
      'remove organisation guild-hall',
      'remove pool ovens',
    ]) {
      replies.push(await operate(text));
    }
    expect(replies.map(({ kind }) => kind)).toEqual([
      'changed',
      'changed',
      'changed',
      'refused',
      'changed',
      'changed',
      'refused',
    ]);
  });

  it('explains and dry-runs a command without changing anything', async function () {
    const before = fleet.getService('entry-1', VIEW_STORE).get().version;
    const explained = await listRows('explain reboot host ovens-1');
    const dryRun = await listRows('dry-run retire target ovens');
    expect(fleet.getService('entry-1', VIEW_STORE).get().version).toEqual(before);
    expect({ explained, dryRun }).toMatchSnapshot(this);
  });

  it('refuses a command whose expected version is no longer current', async () => {
    const { version } = fleet.getService('entry-1', VIEW_STORE).get();
    await operate('change team guilds limit = 5');
    const reply = await operate(`change team guilds limit = 6 if version ${version}`);
    expect(reply.kind === 'refused' && reply.code).toEqual('conflict');
  });

  it('refuses the second of two concurrent changes with a conflict that names the first', async () => {
    const replies = await fleet.time.settle(
      Promise.all([
        fleet.runStatement('entry-1', 'change team guilds limit = 5 reason "more"'),
        fleet.runStatement('entry-2', 'change team guilds limit = 1 reason "less"'),
      ]),
      OPERATION_TIMEOUT_MS,
    );
    const kinds = replies
      .map((reply) => String(reply?.kind))
      .toSorted((a, b) => a.localeCompare(b));
    const refused = replies.find((reply) => reply?.kind === 'refused');
    expect(kinds).toEqual(['changed', 'refused']);
    expect(refused?.kind === 'refused' && refused.message).toEqual(
      expect.regex(/team guilds was changed by operator at .* change team guilds limit/),
    );
  });

  it('names the operator who took a host out of service when it refuses a second command', async () => {
    await operate('drain host ovens-1 reason "fan"');
    const reply = await operate('move host ovens-1 to spare', 'entry-2');
    expect(reply.kind === 'refused' && reply.message).toEqual(
      expect.regex(/host ovens-1 is draining: fan; .* by operator at .*drain host ovens-1/),
    );
  });

  it('refuses a command of an operator whose role is too low', async () => {
    await operate('create operator watcher role = viewer');
    const reply = await operate('drain host ovens-1', 'entry-1', 'watcher');
    const queried = await operate('hosts', 'entry-1', 'watcher');
    expect([reply.kind === 'refused' && reply.code, queried.kind]).toEqual(['role', 'rows']);
  });

  it('lists every command, including refused ones', async () => {
    await operate('drain host ovens-1 reason "fan"');
    await operate('drain host ovens-2 reason "belt"', 'entry-2');
    await fleet.advance(1_000);
    const rows = await listRows('commands where author = operator show command, reason, result');
    expect(rows).toEqual([
      { command: 'drain host ovens-1 reason "fan"', reason: 'fan', result: 'changed' },
      { command: 'drain host ovens-2 reason "belt"', reason: 'belt', result: 'refused' },
    ]);
  });

  it('counts hosts that are missing from the host list against the budget', async () => {
    fleet.hosts.replace([{ id: 'ovens-1', address: '127.0.0.1:4001', state: 'live' as never }]);
    await fleet.advance(10_000);
    const reply = await operate('drain host ovens-1');
    expect(reply.kind === 'refused' && reply.message).toEqual(
      expect.regex(/pool ovens has 1 serving hosts and needs 3.*not in the host list/),
    );
  });

  it('rotates a key; the old key works only until the overlap ends', async () => {
    const rotated = await operate('rotate key key-guilds overlap = 10s');
    const secret =
      rotated.kind === 'changed' ? (rotated.notes[1] ?? '').replace('secret ', '') : '';
    async function callWith(key: string): Promise<Outcome | undefined> {
      const call = { queue: 'ovens', secret: key };
      return (await fleet.time.settle(fleet.call('entry-2', call), OPERATION_TIMEOUT_MS))?.outcome;
    }
    const during = [await callWith(getTeamSecret('guilds')), await callWith(secret)];
    await fleet.advance(10_000);
    const after = [await callWith(getTeamSecret('guilds')), await callWith(secret)];
    expect(during).toEqual([Outcome.Completed, Outcome.Completed]);
    expect(after).toEqual([Outcome.NotRun, Outcome.Completed]);
  });

  it('undoes a change, unless the entity was changed again since', async () => {
    const first = await operate('change team guilds limit = 5');
    const version = first.kind === 'changed' ? first.version : 0;
    await operate(`undo change ${version}`);
    const limit = fleet.getService('entry-1', VIEW_STORE).get().get(EntityKind.Team, 'guilds');
    const again = await operate(`undo change ${version}`);
    expect(limit?.limit).toEqual(3);
    expect(again.kind === 'refused' && again.code).toEqual('conflict');
  });

  it('lists the changes since a version', async () => {
    const { version } = fleet.getService('entry-1', VIEW_STORE).get();
    await operate('retire target ovens reason "closing"');
    const rows = await listRows(`changes since ${version} show author, reason, touched`);
    expect(rows).toEqual([{ author: 'operator', reason: 'closing', touched: 'target/ovens' }]);
  });

  it('returns the transaction of a command with an unknown outcome, which can be queried later', async () => {
    const pending = fleet.runStatement('entry-1', 'retire target ovens');
    // The commit is under way after 4 ms. The partition then blocks all replies of the platform.
    await fleet.advance(4);
    fleet.network.partition('platform', 'entry-1');
    const reply = (await fleet.time.settle(pending, OPERATION_TIMEOUT_MS)) as OperatorReply;
    fleet.network.healAll();
    const id = reply.kind === 'unknown' ? reply.transactionId : '';
    await fleet.advance(5_000);
    const rows = await listRows(`transaction ${id} show result`);
    expect(reply.kind).toEqual('unknown');
    expect(rows).toEqual([{ result: 'committed' }]);
  });
});
