import type { CallFuzzSystem, FuzzCall } from './BaobabwellFuzzCallSystem';
import type { PlatformFaults, WorkerFaults } from '@baobabwell/stand-ins';
import type { Arbitrary, AsyncCommand } from 'fast-check';

import { boolean, constant, constantFrom, nat, oneof, option, record } from 'fast-check';

/** The model is empty because the oracle reads the ledgers only at the end. */
export type CallModel = Record<string, never>;

/** One step of a history. */
export type CallStep =
  | ({ readonly kind: 'call' } & FuzzCall)
  | {
      readonly kind: 'worker-fault';
      readonly worker: number;
      readonly faults: Partial<WorkerFaults>;
    }
  | { readonly kind: 'worker-crash'; readonly worker: number }
  | { readonly kind: 'platform-fault'; readonly faults: Partial<PlatformFaults> }
  | {
      readonly kind: 'cut';
      readonly entry: number;
      readonly worker: number | null;
      readonly isTowardsEntry: boolean;
    }
  | { readonly kind: 'restore' }
  | { readonly kind: 'pause-or-resume'; readonly entry: number }
  | { readonly kind: 'kill-or-start'; readonly entry: number }
  | { readonly kind: 'advance'; readonly durationMs: number };

async function applyStep(system: CallFuzzSystem, step: CallStep): Promise<void> {
  switch (step.kind) {
    case 'call':
      system.sendCall(step);
      return;
    case 'worker-fault':
      system.applyWorkerFaults(step.worker, step.faults);
      return;
    case 'worker-crash':
      system.crashWorker(step.worker);
      return;
    case 'platform-fault':
      system.applyPlatformFaults(step.faults);
      return;
    case 'cut':
      system.partition(step.entry, step.worker, step.isTowardsEntry);
      return;
    case 'restore':
      system.healNetwork();
      return;
    case 'pause-or-resume':
      system.togglePause(step.entry);
      return;
    case 'kill-or-start':
      system.toggleRunning(step.entry);
      return;
    case 'advance':
      await system.advance(step.durationMs);
  }
}

/** Adapts a step to a command of a fast-check model run. */
export class CallCommand implements AsyncCommand<CallModel, CallFuzzSystem> {
  readonly #step: CallStep;

  constructor(step: CallStep) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  async run(_model: CallModel, system: CallFuzzSystem): Promise<void> {
    await applyStep(system, this.#step);
    // Advances the clock so that steps have different timestamps.
    await system.advance(1);
  }

  toString(): string {
    return JSON.stringify(this.#step);
  }
}

const KEYED_RUN_MS = 150;

const entry = nat({ max: 2 });
const worker = nat({ max: 2 });

const call = record({
  kind: constant('call' as const),
  entry,
  work: option(nat({ max: 2 }), { nil: null }),
  isRepeatable: boolean(),
  runMs: constantFrom(1, 20, 400, 2_500),
  timeoutMs: constantFrom(300, 2_000, 6_000),
  cancelAfterMs: option(constantFrom(1, 50, 700), { nil: null, freq: 4 }),
}).map((step) =>
  // All requests with one idempotency key send the same run time.
  step.work === null ? step : { ...step, runMs: (step.work + 1) * KEYED_RUN_MS },
);

const workerFaults: Arbitrary<Partial<WorkerFaults>> = constantFrom<Partial<WorkerFaults>[]>(
  {},
  { down: true },
  { slowMs: 300 },
  { slowMs: 3_000 },
  { silent: true },
  { loseAnswers: true },
  { failAll: true },
  { crossAnswers: true },
  { cutAnswers: true },
);

const platformFaults: Arbitrary<Partial<PlatformFaults>> = constantFrom<Partial<PlatformFaults>[]>(
  {},
  { down: true },
  { slowMs: 300 },
  { slowMs: 5_000 },
  { loseAnswers: 0.5 },
  { loseAnswers: 1 },
  { slowMs: 900, loseAnswers: 0.5 },
);

const advance = record({
  kind: constant('advance' as const),
  durationMs: constantFrom(5, 50, 500, 500, 1_500, 6_000, 15_000),
});

const fault = oneof(
  record({ kind: constant('worker-fault' as const), worker, faults: workerFaults }),
  record({ kind: constant('worker-crash' as const), worker }),
  record({ kind: constant('platform-fault' as const), faults: platformFaults }),
  record({
    kind: constant('cut' as const),
    entry,
    worker: option(worker, { nil: null }),
    isTowardsEntry: boolean(),
  }),
  record({ kind: constant('restore' as const) }),
  record({ kind: constant('pause-or-resume' as const), entry }),
  record({ kind: constant('kill-or-start' as const), entry }),
);

/** Commands of a history: half are calls, a quarter advance time, and a quarter inject faults. */
export const CALL_COMMANDS: readonly Arbitrary<CallCommand>[] = [
  call,
  call,
  call,
  call,
  advance,
  advance,
  fault,
  fault,
].map((step: Arbitrary<CallStep>) => step.map((value) => new CallCommand(value)));
