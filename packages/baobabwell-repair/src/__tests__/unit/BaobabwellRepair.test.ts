import type { OperatorReply } from '@baobabwell/operations';

import { expect } from 'earl';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, HostState } from '@baobabwell/model';
import { ListedHostState } from '@baobabwell/platform';
import { NO_WORKER_FAULTS } from '@baobabwell/stand-ins';

const SEED = 19;
const OPERATION_TIMEOUT_MS = 60_000;
const REPAIR_TIMEOUT_MS = 120_000;
const CLOCK_STEP_MS = 100;
const CALL_INTERVAL_MS = 50;
const DOWN = { ...NO_WORKER_FAULTS, down: true };

function createFleet(): EmulatedFleet {
  const settings = buildEmulatedSettings({
    entries: 3,
    pools: [
      { id: 'ovens', workers: 5, minimumServing: 4 },
      { id: 'spare', workers: 2, minimumServing: 0, spare: true },
    ],
    teams: [{ id: 'guilds', share: 1, limit: 30 }],
  });
  return new EmulatedFleet(settings, SEED);
}

describe('self-repair', () => {
  let fleet: EmulatedFleet;

  beforeEach(async () => {
    fleet = createFleet();
    await fleet.startAll();
    await fleet.advance(3_000);
  });

  afterEach(() => fleet.close());

  async function operate(text: string): Promise<OperatorReply> {
    return (await fleet.time.settle(
      fleet.runStatement('entry-2', text),
      OPERATION_TIMEOUT_MS,
    )) as OperatorReply;
  }

  function getHost(id: string) {
    return fleet.getService('entry-3', VIEW_STORE).get().get(EntityKind.Host, id);
  }

  function listPool(pool: string): readonly string[] {
    return fleet
      .getService('entry-3', VIEW_STORE)
      .get()
      .listHosts(pool)
      .map(({ id, state }) => `${id} ${state}`);
  }

  function applyUnlisted(hosts: readonly string[]): void {
    const listed = fleet.settings.fleet.pools
      .flatMap((pool) => pool.hosts)
      .filter(({ id }) => !hosts.includes(id))
      .map(({ id, address }) => ({ id, address, state: ListedHostState.Live }));
    fleet.hosts.replace(listed);
  }

  async function advanceUntil(isDone: () => boolean): Promise<void> {
    const endsAt = fleet.time.getNow() + REPAIR_TIMEOUT_MS;
    while (!isDone() && fleet.time.getNow() < endsAt) {
      await fleet.advance(CLOCK_STEP_MS);
    }
    expect(isDone()).toEqual(true);
  }

  it('replaces a failed host from the spare pool and records the reasons', async function () {
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    applyUnlisted(['ovens-2']);
    await advanceUntil(
      () => getHost('ovens-2')?.pool === 'spare' && getHost('spare-1')?.pool === 'ovens',
    );
    const reply = await operate('changes where reason like "self-repair*" show command, reason');
    expect(listPool('ovens')).toEqual([
      'ovens-1 serving',
      'ovens-3 serving',
      'ovens-4 serving',
      'ovens-5 serving',
      'spare-1 serving',
    ]);
    expect(reply.kind === 'rows' && reply.rows).toMatchSnapshot(this);
  });

  it('takes out a host that responds to probes and fails every task', async () => {
    fleet.getWorker('ovens-2').applyFaults({ ...NO_WORKER_FAULTS, failAll: true });
    const callers = fleet.listEntries().map(async (entry) => {
      while (getHost('ovens-2')?.state === HostState.Serving) {
        const body = Buffer.from('{"runMs":200}');
        const secret = getTeamSecret('guilds');
        const call = { queue: 'ovens', secret, body, isRepeatable: true };
        await Promise.all(Array.from({ length: 8 }, async () => fleet.call(entry, call)));
        await fleet.time.wait(CALL_INTERVAL_MS);
      }
    });
    await fleet.time.settle(Promise.all(callers), REPAIR_TIMEOUT_MS);
    expect(getHost('ovens-2')?.stateReason).toEqual(expect.includes('fails every task'));
  });

  it('takes longer to fail a host with a single symptom', async () => {
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    await fleet.advance(20_000);
    const early = getHost('ovens-2')?.state;
    await advanceUntil(() => getHost('ovens-2')?.state === HostState.Failed);
    expect(early).toEqual(HostState.Serving);
  });

  it('does not fail a host that was unresponsive for a short time', async () => {
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    await fleet.advance(4_000);
    fleet.getWorker('ovens-2').applyFaults(NO_WORKER_FAULTS);
    await fleet.advance(60_000);
    expect(getHost('ovens-2')?.stateReason).toEqual('settings');
  });

  it('reboots a failed host that responds again before it returns to service', async () => {
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    await advanceUntil(() => getHost('ovens-2')?.pool === 'spare');
    fleet.getWorker('ovens-2').applyFaults(NO_WORKER_FAULTS);
    await advanceUntil(() => getHost('ovens-2')?.state === HostState.Serving);
    expect(fleet.getWorker('ovens-2').getRebootToken() > 0).toEqual(true);
    expect(getHost('ovens-2')?.pool).toEqual('spare');
  });

  it('does nothing in a pool that disables it', async () => {
    await operate('change pool ovens self-repair = no');
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    applyUnlisted(['ovens-2']);
    await fleet.advance(120_000);
    expect(getHost('ovens-2')?.state).toEqual(HostState.Serving);
  });

  it('fails no host when most hosts appear failed', async () => {
    fleet.listWorkers().forEach((worker) => worker.applyFaults(DOWN));
    await fleet.advance(120_000);
    const log = fleet.getLogLines().filter((line) => line.includes('event=self-repair-doubted'));
    expect(listPool('ovens').every((line) => line.endsWith('serving'))).toEqual(true);
    expect(log.length).toEqual(1);
  });

  it('takes no more hosts from the spare pool than its budget allows', async () => {
    await operate('change pool spare minimum-serving = 2');
    fleet.getWorker('ovens-2').applyFaults(DOWN);
    await fleet.advance(120_000);
    expect(getHost('ovens-2')?.state).toEqual(HostState.Failed);
    expect(listPool('spare')).toEqual(['spare-1 serving', 'spare-2 serving']);
  });
});
