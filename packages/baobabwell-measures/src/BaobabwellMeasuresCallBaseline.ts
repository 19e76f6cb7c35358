import type { Figures } from './BaobabwellMeasures';
import type { CallSystemShape } from '@baobabwell/fuzz';

import { EmulatedTime } from '@baobabwell/emulator';
import { NO_WORKER_FAULTS, StandInTableService, StandInWorker } from '@baobabwell/stand-ins';
import { Random } from '@baobabwell/utils';

const MS_PER_SECOND = 1_000;
const RUN_MS = 60;
const CALL_DEADLINE_MS = 60_000;
const LEASE_MS = 3_600_000;
const HOLDER = 'naive';
const MAX_ATTEMPTS = 2;

type BaselineLoad = { readonly ratePerSecond: number; readonly durationMs: number };

/**
 * The naive baseline: writes once per call before its dispatch, selects workers round robin,
 * ignores failures when selecting a worker, treats a lost answer as work that was not run and sends
 * it again, and does not check answers.
 */
class BaselineFleet {
  readonly time = new EmulatedTime();

  readonly tables: StandInTableService;

  readonly workers: readonly StandInWorker[];

  readonly counts = { calls: 0, completed: 0, notRun: 0, unknown: 0, wrongAnswers: 0 };

  readonly #reportedNotRun = new Set<string>();

  #attemptCount = 0;

  constructor({ workers, slots, seed }: CallSystemShape) {
    this.tables = new StandInTableService(this.time, new Random(seed));
    this.workers = Array.from({ length: workers }, (_, index) => {
      const worker = new StandInWorker(`worker-${index}`, slots, this.time);
      worker.renew({ holder: HOLDER, slots, startTtlMs: LEASE_MS, taskTtlMs: LEASE_MS });
      return worker;
    });
  }

  async runLoad({ ratePerSecond, durationMs }: BaselineLoad, seed: number): Promise<void> {
    const random = new Random(seed);
    const endsAt = this.time.getNow() + durationMs;
    while (this.time.getNow() < endsAt) {
      this.counts.calls += 1;
      void this.#runCall(`call-${this.counts.calls}`);
      await this.time.advance(random.getExponential(MS_PER_SECOND / ratePerSecond));
    }
    await this.time.advance(MS_PER_SECOND);
  }

  /** Counts the calls for which workers started more than one task. */
  countDoubleRuns(): number {
    return [...this.#countStarts().values()].filter((starts) => starts > 1).length;
  }

  /** Counts the calls reported as not run for which a worker started a task. */
  countFalseNotRun(): number {
    const starts = this.#countStarts();
    return [...this.#reportedNotRun].filter((id) => starts.has(id)).length;
  }

  #countStarts(): Map<string, number> {
    const starts = new Map<string, number>();
    this.workers
      .flatMap((worker) => worker.getLedger())
      .filter(({ event }) => (event as string) === 'started')
      .forEach(({ taskId }) => {
        const id = taskId.slice(0, taskId.lastIndexOf('.'));
        starts.set(id, (starts.get(id) ?? 0) + 1);
      });
    return starts;
  }

  async #runCall(id: string): Promise<void> {
    await this.tables.commit({
      conditions: [{ table: 'claims', key: id, version: 0 }],
      writes: [{ table: 'claims', key: id, value: { id } }],
    });
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (await this.#runAttempt(`${id}.${attempt}`)) {
        return;
      }
    }
    this.counts.notRun += 1;
    this.#reportedNotRun.add(id);
  }

  async #runAttempt(taskId: string): Promise<boolean> {
    this.#attemptCount += 1;
    const worker = this.workers[this.#attemptCount % this.workers.length] as StandInWorker;
    const body = Buffer.from(JSON.stringify({ runMs: RUN_MS }));
    const result = await worker.run({ taskId, holder: HOLDER, team: 'guilds', body });
    if (result.kind === 'failed') {
      this.counts.unknown += 1;
      return true;
    }
    if (result.kind !== 'completed' || worker.getFaults().loseAnswers) {
      return false;
    }
    this.counts.completed += 1;
    this.counts.wrongAnswers += result.taskId === taskId ? 0 : 1;
    return true;
  }
}

/** Measures when a call that has only a deadline abandons an unanswered exchange. */
async function measureUnresponsiveExchange(time: EmulatedTime): Promise<number> {
  const startedAt = time.getNow();
  const answer = new Promise<void>(() => {});
  const abandoned = Promise.race([answer, time.wait(CALL_DEADLINE_MS)]);
  await time.settle(abandoned, 2 * CALL_DEADLINE_MS);
  return time.getNow() - startedAt;
}

/**
 * Measures the baseline in two runs: with one worker that fails all calls, and with two workers that
 * lose answers and one that swaps them.
 */
export async function measureBaseline(
  shape: CallSystemShape,
  load: BaselineLoad,
): Promise<Figures> {
  const withBadWorker = new BaselineFleet(shape);
  withBadWorker.workers[0]?.applyFaults({ ...NO_WORKER_FAULTS, failAll: true });
  await withBadWorker.runLoad(load, shape.seed);
  const faulty = new BaselineFleet(shape);
  faulty.workers[0]?.applyFaults({ ...NO_WORKER_FAULTS, loseAnswers: true });
  faulty.workers[1]?.applyFaults({ ...NO_WORKER_FAULTS, loseAnswers: true });
  faulty.workers[2]?.applyFaults({ ...NO_WORKER_FAULTS, crossAnswers: true });
  await faulty.runLoad(load, shape.seed);
  return {
    ...faulty.counts,
    doubleRuns: faulty.countDoubleRuns(),
    falseNotRun: faulty.countFalseNotRun(),
    successWithBadWorker: withBadWorker.counts.completed / withBadWorker.counts.calls,
    silentConnectionLeftMs: await measureUnresponsiveExchange(withBadWorker.time),
    writesPerCall: withBadWorker.tables.getCounts().writes / withBadWorker.counts.calls,
  };
}
