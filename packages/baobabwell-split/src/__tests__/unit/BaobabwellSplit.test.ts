import type { OperatorReply } from '@baobabwell/operations';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, HostState, Outcome, SplitState, SplitStep } from '@baobabwell/model';

const SEED = 17;
const OPERATION_TIMEOUT_MS = 60_000;
const SPLIT_TIMEOUT_MS = 300_000;
const CLOCK_STEP_MS = 100;
const PLAN = 'plan split day targets = (ovens), pools = (ovens), teams = (guilds)';

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [
      { id: 'ovens', workers: 3, minimumServing: 2 },
      { id: 'doors', workers: 3, minimumServing: 2 },
    ],
    teams: [
      { id: 'guilds', share: 3, limit: 30 },
      { id: 'crews', share: 1, limit: 30 },
    ],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('split', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    fleet = createFleet();
    await fleet.startAll();
    await operate('change queue ovens teams = (guilds)');
    await operate('change queue doors teams = (crews)');
    await fleet.advance(2_000);
  });

  afterEach(() => fleet.close());

  async function operate(text: string): Promise<OperatorReply> {
    return (await fleet.time.settle(
      fleet.runStatement('entry-2', text),
      OPERATION_TIMEOUT_MS,
    )) as OperatorReply;
  }

  function getView() {
    return fleet.getService('entry-3', VIEW_STORE).get();
  }

  function getSplit() {
    return getView().get(EntityKind.Split, 'day');
  }

  async function advanceUntil(isDone: () => boolean): Promise<void> {
    const endsAt = fleet.time.getNow() + SPLIT_TIMEOUT_MS;
    while (!isDone() && fleet.time.getNow() < endsAt) {
      await fleet.advance(CLOCK_STEP_MS);
    }
    expect(isDone()).toEqual(true);
  }

  async function callQueue(queue: string, team: string, runMs = 10) {
    const body = Buffer.from(JSON.stringify({ runMs }));
    return fleet.call('entry-1', { queue, secret: getTeamSecret(team), body, timeoutMs: 40_000 });
  }

  it('rehearses both halves and lists everything that blocks the split', async function () {
    await operate('change queue doors teams = (crews, guilds)');
    await operate(
      'plan split day targets = (ovens), hosts = (ovens-1, doors-1, doors-2), teams = (guilds)',
    );
    const rehearsed = await operate('rehearse split day');
    const started = await operate('start split day');
    expect(rehearsed.kind === 'rows' && rehearsed.rows).toMatchSnapshot(this);
    expect(started.kind === 'refused' && started.code).toEqual('not-allowed');
  });

  it('takes the leaving half out of service without interrupting a request', async () => {
    const runningCall = callQueue('ovens', 'guilds', 9_000);
    await fleet.advance(500);
    await operate(PLAN);
    await operate('start split day');
    await fleet.advance(3_000);
    const lateResult = await fleet.time.settle(callQueue('ovens', 'guilds'), OPERATION_TIMEOUT_MS);
    const earlyResult = await fleet.time.settle(runningCall, OPERATION_TIMEOUT_MS);
    await advanceUntil(() => getSplit()?.state === SplitState.Ready);
    const stayingResult = await fleet.time.settle(
      callQueue('doors', 'crews'),
      OPERATION_TIMEOUT_MS,
    );
    expect([earlyResult?.outcome, lateResult?.outcome, stayingResult?.outcome]).toEqual([
      Outcome.Completed,
      Outcome.NotRun,
      Outcome.Completed,
    ]);
    expect(fleet.listLedger().filter(({ event }) => event === 'stopped')).toEqual([]);
  });

  it('drains all hosts that the budgets allow at the same time', async () => {
    await operate(PLAN);
    await operate('start split day');
    await advanceUntil(() => getView().listHosts('ovens')[0]?.state === HostState.Draining);
    const tokens = getView()
      .listHosts('ovens')
      .map(({ maintenance }) => maintenance?.token);
    await fleet.advance(4_000);
    const states = getView()
      .listHosts('ovens')
      .map(({ state }) => state);
    expect(new Set(tokens).size).toEqual(1);
    expect(states).toEqual([HostState.Drained, HostState.Drained, HostState.Drained]);
  });

  it('leaves no key, queue or host of one half in the other', async () => {
    await operate(PLAN);
    await operate('start split day');
    await advanceUntil(() => getSplit()?.state === SplitState.Ready);
    await operate('finish split day reason "signed"');
    await fleet.advance(1_000);
    const kinds = [
      EntityKind.Target,
      EntityKind.Host,
      EntityKind.Team,
      EntityKind.Key,
      EntityKind.Queue,
      EntityKind.Pool,
    ];
    const staying = kinds.flatMap((kind) =>
      getView()
        .list(kind)
        .map(({ id }) => id),
    );
    const stored = await fleet.objects.get('split-day.json');
    const { mutations } = JSON.parse(
      Buffer.from(stored.ok ? stored.value : []).toString('utf8'),
    ) as { mutations: readonly { readonly id: string }[] };
    const leaving = mutations.map(({ id }) => id);
    expect(staying.toSorted((a, b) => a.localeCompare(b))).toEqual([
      'crews',
      'doors',
      'doors',
      'doors',
      'doors-1',
      'doors-2',
      'doors-3',
      'key-crews',
    ]);
    expect(leaving.toSorted((a, b) => a.localeCompare(b))).toEqual([
      'guilds',
      'key-guilds',
      'organisation',
      'ovens',
      'ovens',
      'ovens',
      'ovens-1',
      'ovens-2',
      'ovens-3',
    ]);
  });

  it('can be undone completely until it is finished', async () => {
    await operate(PLAN);
    const before = getView()
      .listMutations()
      .filter(({ kind }) => kind !== EntityKind.Split && kind !== EntityKind.Host);
    await operate('start split day');
    await advanceUntil(() => getSplit()?.step === SplitStep.KeysWithdrawn);
    await operate('undo split day reason "not signed"');
    await fleet.advance(1_000);
    const after = getView()
      .listMutations()
      .filter(({ kind }) => kind !== EntityKind.Split && kind !== EntityKind.Host);
    const result = await fleet.time.settle(callQueue('ovens', 'guilds'), OPERATION_TIMEOUT_MS);
    expect(after).toEqual(before);
    expect(
      getView()
        .listHosts('ovens')
        .map(({ state }) => state as string),
    ).toEqual(['serving', 'serving', 'serving']);
    expect(result?.outcome).toEqual(Outcome.Completed);
  });

  it('pauses after the current step and resumes when started again', async () => {
    await operate(PLAN);
    await operate('start split day');
    await fleet.advance(500);
    await operate('pause split day');
    await fleet.advance(60_000);
    const pausedStep = getSplit()?.step;
    await operate('start split day');
    await advanceUntil(() => getSplit()?.state === SplitState.Ready);
    expect(pausedStep).toEqual(SplitStep.TargetsLeaving);
  });

  it('does not start before its planned time', async () => {
    await operate(`${PLAN}, starts-in = 2m`);
    await operate('start split day');
    await fleet.advance(60_000);
    const earlyStep = getSplit()?.step;
    await advanceUntil(() => getSplit()?.state === SplitState.Ready);
    expect(earlyStep).toEqual(SplitStep.None);
  });

  it('refuses to finish before the other steps are completed', async () => {
    await operate(PLAN);
    await operate('start split day');
    const reply = await operate('finish split day');
    expect(reply.kind === 'refused' && reply.code).toEqual('conflict');
  });
});
