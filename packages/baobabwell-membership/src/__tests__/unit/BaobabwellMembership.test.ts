import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { FENCE_TRACKER, FRESHNESS, IDENTITY, VIEW_STORE } from '@baobabwell/entry';
import { CLAIM_TABLE } from '@baobabwell/idempotency';
import { EntityKind, Outcome } from '@baobabwell/model';
import { ListedHostState } from '@baobabwell/platform';
import { NO_PLATFORM_FAULTS } from '@baobabwell/stand-ins';
import { FRESHNESS_BOUND_MS } from '@baobabwell/view';

import { FENCE_LEASE_MS } from '../../BaobabwellMembershipConstants';
import { IncarnationState } from '../../BaobabwellMembershipFences';

const SEED = 5;
const LIMIT_MS = 60_000;
const STARTUP_MS = 4_000;
const FENCED_MS = 9_000;
const PAST_HOST_LIST_LAG_MS = 60_000;

describe('membership', () => {
  let fleet: EmulatedFleet;

  async function start(entries: number): Promise<void> {
    const settings = buildEmulatedSettings({
      entries,
      pools: [{ id: 'ovens', workers: 4, minimumServing: 1 }],
      teams: [{ id: 'guilds', share: 1, limit: 30 }],
    });
    fleet = new EmulatedFleet(settings, SEED);
    await fleet.startAll();
    await fleet.advance(STARTUP_MS);
  }

  function listMembers(observer: string): readonly string[] {
    const members = fleet.getService(observer, VIEW_STORE).get().list(EntityKind.Member);
    return members.map(({ id }) => id);
  }

  function listCurrent(): readonly string[] {
    return fleet.listEntries().filter((id) => fleet.getService(id, FRESHNESS).isCurrent());
  }

  function removeFromHostList(removed: readonly string[]): void {
    const remaining = fleet.settings.entries.filter(({ id }) => !removed.includes(id));
    fleet.hosts.replace(
      remaining.map(({ id, peers }) => ({ id, address: peers, state: ListedHostState.Live })),
    );
  }

  async function getOutcome(entry: string): Promise<Outcome | undefined> {
    const request = { queue: 'ovens', secret: getTeamSecret('guilds') };
    return (await fleet.time.settle(fleet.call(entry, request), LIMIT_MS))?.outcome;
  }

  afterEach(() => fleet.close());

  it('fences a killed entry, and releases its holdings one lease after the fence', async () => {
    await start(5);
    const { id, incarnation } = fleet.getService('entry-2', IDENTITY);
    const member = { id, incarnation };
    const tracker = fleet.getService('entry-1', FENCE_TRACKER);
    expect(tracker.getState(member)).toEqual(IncarnationState.Member);
    fleet.killEntry('entry-2');
    await fleet.advance(FENCED_MS);
    expect(tracker.getState(member)).toEqual(IncarnationState.Fenced);
    expect(listMembers('entry-5').includes('entry-2')).toEqual(false);
    await fleet.advance(FRESHNESS_BOUND_MS + FENCE_LEASE_MS);
    expect(tracker.getState(member)).toEqual(IncarnationState.Released);
    expect(listCurrent()).toEqual(['entry-1', 'entry-3', 'entry-4', 'entry-5']);
  });

  it('releases no holdings before the fence can have been observed and the leases expired', async () => {
    await start(5);
    const { id, incarnation } = fleet.getService('entry-2', IDENTITY);
    const tracker = fleet.getService('entry-1', FENCE_TRACKER);
    fleet.killEntry('entry-2');
    while (tracker.getState({ id, incarnation }) === IncarnationState.Member) {
      await fleet.advance(10);
    }
    const fencedAt = fleet.time.getNow();
    while (tracker.getState({ id, incarnation }) !== IncarnationState.Released) {
      await fleet.advance(10);
    }
    const waited = fleet.time.getNow() - fencedAt;
    expect(waited).toBeGreaterThanOrEqual(FRESHNESS_BOUND_MS + FENCE_LEASE_MS);
    expect(waited).toBeLessThan(FRESHNESS_BOUND_MS + FENCE_LEASE_MS + 1_000);
  });

  it('keeps a member that only one peer cannot reach', async () => {
    await start(5);
    fleet.network.partitionBetween(['entry-1'], ['entry-2']);
    await fleet.advance(2 * FENCED_MS);
    expect(listMembers('entry-1').length).toEqual(5);
    expect(listCurrent().length).toEqual(5);
  });

  it('keeps a member that no peer can reach but that still writes its heartbeat row', async () => {
    await start(5);
    const others = ['entry-1', 'entry-3', 'entry-4', 'entry-5'];
    fleet.network.partitionBetween(['entry-2'], others);
    await fleet.advance(2 * FENCED_MS);
    expect(listMembers('entry-1').length).toEqual(5);
    expect(listCurrent().length).toEqual(5);
  });

  it('starts a new incarnation without holdings after an entry was fenced while paused', async () => {
    await start(5);
    const { id, incarnation } = fleet.getService('entry-2', IDENTITY);
    fleet.pauseEntry('entry-2');
    await fleet.advance(30_000);
    fleet.resumeEntry('entry-2');
    expect(fleet.getService('entry-2', FRESHNESS).isCurrent()).toEqual(false);
    await fleet.advance(1_000);
    expect(fleet.getService('entry-2', FRESHNESS).isCurrent()).toEqual(false);
    await fleet.advance(FRESHNESS_BOUND_MS + FENCE_LEASE_MS + 2_000);
    expect(fleet.getService('entry-2', IDENTITY).incarnation === incarnation).toEqual(false);
    expect(fleet.getService('entry-1', FENCE_TRACKER).getState({ id, incarnation })).toEqual(
      IncarnationState.Released,
    );
    expect(await getOutcome('entry-2')).toEqual(Outcome.Completed);
  });

  it('claims keyed calls in the new incarnation, not in the fenced one', async () => {
    await start(5);
    fleet.pauseEntry('entry-2');
    await fleet.advance(30_000);
    fleet.resumeEntry('entry-2');
    await fleet.advance(FRESHNESS_BOUND_MS + FENCE_LEASE_MS + 3_000);
    const { id, incarnation } = fleet.getService('entry-2', IDENTITY);
    const call = { queue: 'ovens', secret: getTeamSecret('guilds'), idempotencyKey: 'booking-1' };
    await fleet.time.settle(fleet.call('entry-2', call), LIMIT_MS);
    const page = await fleet.tables.readSince(CLAIM_TABLE, 0, 10);
    const owners = page.ok ? page.value.rows.map(({ value }) => value) : [];
    expect(owners).toEqual([expect.subset({ owner: `${id}.${incarnation}` })]);
  });

  it('lets a restarted entry join at once, with its previous incarnation fenced', async () => {
    await start(5);
    const { id, incarnation } = fleet.getService('entry-2', IDENTITY);
    fleet.killEntry('entry-2');
    const startedAt = fleet.time.getNow();
    await fleet.startEntry('entry-2');
    expect(fleet.time.getNow() - startedAt).toBeLessThan(2_000);
    expect(await getOutcome('entry-2')).toEqual(Outcome.Completed);
    const tracker = fleet.getService('entry-1', FENCE_TRACKER);
    expect(tracker.getState({ id, incarnation })).toEqual(IncarnationState.Fenced);
  });

  it('serves calls again after all processes were replaced at once on their hosts', async () => {
    await start(5);
    const names = fleet.listEntries();
    names.forEach((name) => fleet.killEntry(name));
    const kernels = names.map((name) => fleet.createEntry(name));
    await fleet.time.settle(Promise.all(kernels.map(async (kernel) => kernel.start())), LIMIT_MS);
    await fleet.advance(STARTUP_MS);
    expect(listCurrent()).toEqual(names);
    expect(await getOutcome('entry-4')).toEqual(Outcome.Completed);
  });

  it('accepts changes after the loss of a majority, once its hosts are no longer listed', async () => {
    await start(5);
    await fleet.advance(PAST_HOST_LIST_LAG_MS);
    const lost = ['entry-1', 'entry-2', 'entry-3'];
    lost.forEach((name) => fleet.killEntry(name));
    await fleet.advance(FENCED_MS);
    const pending = await fleet.settleStatement('entry-4', 'grant key guilds');
    expect(pending?.kind === 'changed' ? pending.progress.missing : null).toEqual(lost);
    removeFromHostList(lost);
    await fleet.advance(FENCED_MS);
    expect(listMembers('entry-5')).toEqual(['entry-4', 'entry-5']);
    const reply = await fleet.settleStatement('entry-4', 'grant key guilds');
    expect(reply?.kind === 'changed' ? reply.progress.missing : null).toEqual([]);
  });

  it('accepts changes after the loss of a majority, once an operator has fenced it', async () => {
    await start(5);
    const lost = ['entry-1', 'entry-2', 'entry-3'];
    lost.forEach((name) => fleet.killEntry(name));
    await fleet.advance(FENCED_MS);
    expect(listMembers('entry-4').length).toEqual(5);
    for (const name of lost) {
      await fleet.settleStatement('entry-4', `fence member ${name} reason "host burnt"`);
    }
    expect(listMembers('entry-5')).toEqual(['entry-4', 'entry-5']);
    const reply = await fleet.settleStatement('entry-4', 'grant key guilds');
    expect(reply?.kind === 'changed' ? reply.progress.missing : null).toEqual([]);
  });

  it('admits an entry that starts during a store outage once the store is back', async () => {
    await start(3);
    fleet.killEntry('entry-3');
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
    const started = fleet.createEntry('entry-3').start();
    await fleet.advance(20_000);
    expect(listCurrent()).toEqual(['entry-1', 'entry-2']);
    expect(await getOutcome('entry-3')).toEqual(Outcome.NotRun);
    fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    await fleet.time.settle(started, LIMIT_MS);
    expect(await getOutcome('entry-3')).toEqual(Outcome.Completed);
  });
});
