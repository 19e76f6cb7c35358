import type { OperatorReply } from '@baobabwell/operations';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { CHANGE_JOURNAL, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, HostState, Outcome, WaveState } from '@baobabwell/model';
import { NO_PLATFORM_FAULTS, NO_WORKER_FAULTS } from '@baobabwell/stand-ins';

const SEED = 13;
const OPERATION_TIMEOUT_MS = 60_000;
const BOOT_TIME_MS = 20_000;
const CLOCK_STEP_MS = 50;
const WAVE_TIMEOUT_MS = 1_200_000;

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [
      { id: 'ovens', workers: 6, minimumServing: 4 },
      { id: 'spare', workers: 2, minimumServing: 0, spare: true },
    ],
    teams: [{ id: 'guilds', share: 1, limit: 30 }],
  });
  const fleet = new EmulatedFleet(settings, SEED);
  fleet.listWorkers().forEach((worker) => worker.setBootTime(BOOT_TIME_MS));
  return fleet;
}

describe('maintenance', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    fleet = createFleet();
    await fleet.startAll();
    await operate('change pool ovens self-repair = no');
    await fleet.advance(3_000);
  });

  afterEach(() => fleet.close());

  async function operate(text: string, entry = 'entry-2'): Promise<OperatorReply> {
    return (await fleet.time.settle(
      fleet.runStatement(entry, text),
      OPERATION_TIMEOUT_MS,
    )) as OperatorReply;
  }

  function getView(entry = 'entry-3') {
    return fleet.getService(entry, VIEW_STORE).get();
  }

  function getHost(id: string) {
    return getView().get(EntityKind.Host, id);
  }

  function countAvailable(pool: string): number {
    return getView()
      .listHosts(pool)
      .filter((host) => host.state === HostState.Serving && !fleet.getWorker(host.id).isBooting())
      .length;
  }

  async function advanceUntil(isDone: () => boolean, check: () => void = () => {}): Promise<void> {
    const endsAt = fleet.time.getNow() + WAVE_TIMEOUT_MS;
    while (!isDone() && fleet.time.getNow() < endsAt) {
      await fleet.advance(CLOCK_STEP_MS);
      check();
    }
    expect(isDone()).toEqual(true);
  }

  function isWaveInState(id: string, state: WaveState, entry = 'entry-3'): boolean {
    return getView(entry).get(EntityKind.Wave, id)?.state === state;
  }

  it('reboots a host only after its tasks have ended, and returns it to service', async () => {
    const call = {
      queue: 'ovens',
      secret: getTeamSecret('guilds'),
      body: Buffer.from('{"runMs":9000}'),
      timeoutMs: 30_000,
    };
    const calls = Array.from({ length: 9 }, async () => fleet.call('entry-1', call));
    await fleet.advance(500);
    const host = fleet.listWorkers().find((worker) => worker.getRunningCount() > 0)?.id ?? '';
    await operate(`reboot host ${host} reason "kernel"`);
    const results = await fleet.time.settle(Promise.all(calls), OPERATION_TIMEOUT_MS);
    await advanceUntil(() => getHost(host)?.state === HostState.Serving);
    expect(results.map((result) => result?.outcome)).toEqual(
      Array.from({ length: 9 }, () => Outcome.Completed),
    );
    expect(fleet.getWorker(host).getRebootToken() > 0).toEqual(true);
    expect(fleet.listLedger().filter(({ event }) => event === 'stopped')).toEqual([]);
  });

  it('keeps a host in exactly one pool while it is moved', async () => {
    await operate('move host ovens-1 to spare reason "less load"');
    const pools = new Set<string>();
    await advanceUntil(
      () => getHost('ovens-1')?.pool === 'spare',
      () => pools.add(`${getHost('ovens-1')?.pool} ${getHost('ovens-1')?.state}`),
    );
    expect([...pools]).toEqual([
      'ovens draining',
      ...(pools.has('ovens drained') ? ['ovens drained'] : []),
      'spare serving',
    ]);
  });

  it('takes as many hosts out of service in a wave as the budget allows, and no more', async () => {
    await operate('start wave spring pool = ovens reason "kernel"');
    let minAvailable = 6;
    await advanceUntil(
      () => isWaveInState('spring', WaveState.Finished),
      () => {
        minAvailable = Math.min(minAvailable, countAvailable('ovens'));
      },
    );
    expect(minAvailable).toEqual(4);
    expect(getView().get(EntityKind.Wave, 'spring')?.done.length).toEqual(6);
  });

  it('does not reboot a drained host while its pool lacks serving hosts', async () => {
    await operate('reboot host ovens-1');
    await operate('reboot host ovens-2');
    ['ovens-3'].forEach((id) =>
      fleet.getWorker(id).applyFaults({ ...NO_WORKER_FAULTS, down: true }),
    );
    await fleet.advance(60_000);
    expect(getHost('ovens-1')?.state).toEqual(HostState.Drained);
    expect(fleet.getWorker('ovens-1').getRebootToken()).toEqual(0);
    fleet.getWorker('ovens-3').applyFaults(NO_WORKER_FAULTS);
    await advanceUntil(() => getHost('ovens-1')?.state === HostState.Serving);
  });

  it('stops a wave when hosts are not rebooted successfully, and lists them', async () => {
    ['ovens-1', 'ovens-2'].forEach((id) => fleet.getWorker(id).setBootTime(WAVE_TIMEOUT_MS * 2));
    await operate('start wave spring pool = ovens');
    await advanceUntil(() => isWaveInState('spring', WaveState.Stopped));
    const wave = getView().get(EntityKind.Wave, 'spring');
    expect(wave?.failed).toEqual(['ovens-1', 'ovens-2']);
    expect(wave?.stateReason).toEqual('hosts not rebooted successfully: ovens-1, ovens-2');
    expect(wave?.waiting.length).toEqual(4);
  });

  it('stops a wave when the budget allows no further host, and continues when resumed', async () => {
    await operate('drain host ovens-1');
    await operate('drain host ovens-2');
    await operate('start wave spring pool = ovens');
    await advanceUntil(() => isWaveInState('spring', WaveState.Stopped));
    const reason = getView().get(EntityKind.Wave, 'spring')?.stateReason;
    await operate('return host ovens-1');
    await operate('return host ovens-2');
    await operate('resume wave spring');
    await advanceUntil(() => isWaveInState('spring', WaveState.Finished));
    expect(reason).toEqual(expect.includes('pool ovens has 4 serving hosts and needs 4'));
  });

  it('pauses, resumes and aborts a wave', async () => {
    await operate('start wave spring pool = ovens');
    await fleet.advance(2_000);
    await operate('pause wave spring');
    await fleet.advance(100_000);
    const paused = getView().get(EntityKind.Wave, 'spring');
    await operate('resume wave spring');
    await fleet.advance(2_000);
    await operate('abort wave spring');
    await fleet.advance(100_000);
    const aborted = getView().get(EntityKind.Wave, 'spring');
    expect([paused?.done.length, paused?.working.length]).toEqual([2, 0]);
    expect([aborted?.done.length, aborted?.state]).toEqual([4, WaveState.Aborted]);
  });

  it('continues a wave on another entry when the owner stops', async () => {
    await operate('start wave spring pool = ovens');
    await fleet.advance(10_000);
    const owner = getView().get(EntityKind.Controller, 'maintenance')?.owner ?? '';
    await fleet.stopEntry(owner);
    const other = fleet.listEntries()[0] ?? '';
    await advanceUntil(() => isWaveInState('spring', WaveState.Finished, other));
    expect(getView(other).get(EntityKind.Controller, 'maintenance')?.owner).not.toEqual(owner);
    expect(getView(other).get(EntityKind.Wave, 'spring')?.done.length).toEqual(6);
  });

  it('continues a wave on another entry when the owner is killed during a reboot', async () => {
    await operate('start wave spring pool = ovens');
    await advanceUntil(() => fleet.listWorkers().some((worker) => worker.isBooting()));
    const owner = getView().get(EntityKind.Controller, 'maintenance')?.owner ?? '';
    fleet.killEntry(owner);
    const other = fleet.listEntries()[0] ?? '';
    await advanceUntil(() => isWaveInState('spring', WaveState.Finished, other));
    const rebootedHosts = fleet.listWorkers().filter((worker) => worker.getRebootToken() > 0);
    expect(rebootedHosts.length).toEqual(6);
    expect(getView(other).get(EntityKind.Wave, 'spring')?.done.length).toEqual(6);
  });

  it('makes no changes from a former owner that resumes after a takeover', async () => {
    await operate('start wave spring pool = ovens');
    await fleet.advance(1_000);
    const owner = getView().get(EntityKind.Controller, 'maintenance')?.owner ?? '';
    fleet.pauseEntry(owner);
    const other = fleet.listEntries().find((entry) => entry !== owner) ?? '';
    await advanceUntil(
      () => getView(other).get(EntityKind.Controller, 'maintenance')?.owner !== owner,
    );
    fleet.resumeEntry(owner);
    const { version } = getView(other);
    await advanceUntil(() => isWaveInState('spring', WaveState.Finished, other));
    const lateChanges = fleet
      .getService(other, CHANGE_JOURNAL)
      .listSince(version)
      .filter(({ author, command }) => author === owner && /host|wave|reboot|drain/.test(command));
    expect(lateChanges).toEqual([]);
  });

  it('respects the budget while the store is down, and continues when it is up again', async () => {
    await operate('start wave spring pool = ovens');
    await fleet.advance(1_000);
    fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
    await fleet.advance(120_000);
    const rebootedHosts = fleet.listWorkers().filter((worker) => worker.getRebootToken() > 0);
    fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    await advanceUntil(() => isWaveInState('spring', WaveState.Finished));
    expect(rebootedHosts.length <= 2).toEqual(true);
    expect(getView().get(EntityKind.Wave, 'spring')?.done.length).toEqual(6);
  });

  it('refuses a wave whose hosts are covered by another wave', async () => {
    await operate('start wave spring pool = ovens');
    const reply = await operate('start wave summer rack = ovens-rack-1');
    expect(reply.kind === 'refused' && reply.message).toEqual(
      expect.includes('wave spring (running) covers some of these hosts'),
    );
  });
});
