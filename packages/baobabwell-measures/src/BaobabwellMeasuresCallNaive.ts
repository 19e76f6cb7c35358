import type { CallSystemShape } from '@baobabwell/fuzz';

import { EmulatedTime } from '@baobabwell/emulator';
import { NO_WORKER_FAULTS, StandInTableService, StandInWorker } from '@baobabwell/stand-ins';
import { Random } from '@baobabwell/utils';

const MS_PER_SECOND = 1_000;
const RUN_MS = 60;
const SILENT_DEADLINE_MS = 60_000;
const LEASE_MS = 3_600_000;
const HOLDER = 'naive';

/** What the naive way costs and gains under the same load. */
export type NaiveFindings = {
  readonly calls: number;
  readonly successWithBadWorker: number;
  readonly writesPerCall: number;
  readonly silentConnectionLeftMs: number;
};

/** Time after which a call with a deadline and nothing else leaves an exchange without answer. */
async function measureSilence(time: EmulatedTime): Promise<number> {
  const startedAt = time.getNow();
  const answer = new Promise<void>(() => {});
  await time.settle(Promise.race([answer, time.wait(SILENT_DEADLINE_MS)]), 2 * SILENT_DEADLINE_MS);
  return time.getNow() - startedAt;
}

/**
 * The naive way: one write a call before its dispatch, workers in turn, no retries, nothing
 * learnt from failures, and silence ended by the deadline alone.
 */
export async function measureNaive(
  { workers, slots, seed }: CallSystemShape,
  load: { readonly ratePerSecond: number; readonly durationMs: number },
): Promise<NaiveFindings> {
  const time = new EmulatedTime();
  const random = new Random(seed);
  const tables = new StandInTableService(time, new Random(seed));
  const pool = Array.from({ length: workers }, (_, index) => {
    const worker = new StandInWorker(`worker-${index}`, slots, time);
    worker.renew({ holder: HOLDER, slots, startTtlMs: LEASE_MS, taskTtlMs: LEASE_MS });
    return worker;
  });
  pool[0]?.applyFaults({ ...NO_WORKER_FAULTS, failAll: true });
  let calls = 0;
  let completed = 0;
  const endsAt = time.getNow() + load.durationMs;
  while (time.getNow() < endsAt) {
    calls += 1;
    const taskId = `call-${calls}.0`;
    const worker = pool[calls % pool.length] as StandInWorker;
    void (async () => {
      await tables.commit({
        conditions: [{ table: 'claims', key: taskId, version: 0 }],
        writes: [{ table: 'claims', key: taskId, value: { taskId } }],
      });
      const body = Buffer.from(JSON.stringify({ runMs: RUN_MS }));
      const result = await worker.run({ taskId, holder: HOLDER, team: 'guilds', body });
      completed += result.kind === 'completed' ? 1 : 0;
    })();
    await time.advance(random.getExponential(MS_PER_SECOND / load.ratePerSecond));
  }
  await time.advance(MS_PER_SECOND);
  return {
    calls,
    successWithBadWorker: completed / calls,
    writesPerCall: tables.getCounts().writes / calls,
    silentConnectionLeftMs: await measureSilence(time),
  };
}
