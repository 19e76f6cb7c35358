import type { Figures } from './BaobabwellMeasures';
import type { CallSystemShape } from '@baobabwell/fuzz';

import { EmulatedTime } from '@baobabwell/emulator';
import { NO_WORKER_FAULTS, StandInTableService, StandInWorker } from '@baobabwell/stand-ins';
import { Random } from '@baobabwell/utils';

const MS_PER_SECOND = 1_000;
const RUN_MS = 60;
const SILENT_DEADLINE_MS = 60_000;
const LEASE_MS = 3_600_000;
const HOLDER = 'naive';
const ATTEMPTS = 2;

type NaiveLoad = { readonly ratePerSecond: number; readonly durationMs: number };

/**
 * The naive way: one write a call before its dispatch, workers in turn, nothing learnt from
 * failures, a lost answer taken for work that was not run and sent again, answers not checked.
 */
class NaiveFleet {
  readonly time = new EmulatedTime();

  readonly tables: StandInTableService;

  readonly workers: readonly StandInWorker[];

  readonly counts = { calls: 0, completed: 0, notRun: 0, unknown: 0, wrongAnswers: 0 };

  readonly #toldNotRun = new Set<string>();

  #turn = 0;

  constructor({ workers, slots, seed }: CallSystemShape) {
    this.tables = new StandInTableService(this.time, new Random(seed));
    this.workers = Array.from({ length: workers }, (_, index) => {
      const worker = new StandInWorker(`worker-${index}`, slots, this.time);
      worker.renew({ holder: HOLDER, slots, startTtlMs: LEASE_MS, taskTtlMs: LEASE_MS });
      return worker;
    });
  }

  async runLoad({ ratePerSecond, durationMs }: NaiveLoad, seed: number): Promise<void> {
    const random = new Random(seed);
    const endsAt = this.time.getNow() + durationMs;
    while (this.time.getNow() < endsAt) {
      this.counts.calls += 1;
      void this.#runCall(`call-${this.counts.calls}`);
      await this.time.advance(random.getExponential(MS_PER_SECOND / ratePerSecond));
    }
    await this.time.advance(MS_PER_SECOND);
  }

  /** Calls of which the workers started more than one task. */
  countDoubleRuns(): number {
    return [...this.#countStarts().values()].filter((starts) => starts > 1).length;
  }

  /** Calls told not run of which a worker started a task. */
  countFalseNotRun(): number {
    const starts = this.#countStarts();
    return [...this.#toldNotRun].filter((id) => starts.has(id)).length;
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
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      if (await this.#runAttempt(`${id}.${attempt}`)) {
        return;
      }
    }
    this.counts.notRun += 1;
    this.#toldNotRun.add(id);
  }

  async #runAttempt(taskId: string): Promise<boolean> {
    this.#turn += 1;
    const worker = this.workers[this.#turn % this.workers.length] as StandInWorker;
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

/** Time after which a call with a deadline and nothing else leaves an exchange without answer. */
async function measureSilence(time: EmulatedTime): Promise<number> {
  const startedAt = time.getNow();
  const answer = new Promise<void>(() => {});
  const left = Promise.race([answer, time.wait(SILENT_DEADLINE_MS)]);
  await time.settle(left, 2 * SILENT_DEADLINE_MS);
  return time.getNow() - startedAt;
}

/** What the naive way costs and gains: one worker fails all, one loses answers, one crosses them. */
export async function measureNaive(shape: CallSystemShape, load: NaiveLoad): Promise<Figures> {
  const bad = new NaiveFleet(shape);
  bad.workers[0]?.applyFaults({ ...NO_WORKER_FAULTS, failAll: true });
  await bad.runLoad(load, shape.seed);
  const faulty = new NaiveFleet(shape);
  faulty.workers[0]?.applyFaults({ ...NO_WORKER_FAULTS, loseAnswers: true });
  faulty.workers[1]?.applyFaults({ ...NO_WORKER_FAULTS, loseAnswers: true });
  faulty.workers[2]?.applyFaults({ ...NO_WORKER_FAULTS, crossAnswers: true });
  await faulty.runLoad(load, shape.seed);
  return {
    ...faulty.counts,
    doubleRuns: faulty.countDoubleRuns(),
    falseNotRun: faulty.countFalseNotRun(),
    successWithBadWorker: bad.counts.completed / bad.counts.calls,
    silentConnectionLeftMs: await measureSilence(bad.time),
    writesPerCall: bad.tables.getCounts().writes / bad.counts.calls,
  };
}
