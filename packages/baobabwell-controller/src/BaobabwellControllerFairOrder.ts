import type { TermContext } from './BaobabwellControllerContext';
import type { JobRates } from './BaobabwellControllerJobRates';
import type { ReadyWork } from '@baobabwell/fairness';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Step } from '@baobabwell/jobs';
import type { StepUrgency } from '@baobabwell/placement';

import { decideFairOrder } from '@baobabwell/fairness';
import { getUrgencyClass } from '@baobabwell/placement';

import { listContendedPools } from './BaobabwellControllerPoolUsage';
import { ShareLog } from './BaobabwellControllerShareLog';

/** Number of organisations from which shares make a difference. */
const MIN_SHARING_ORGANISATIONS = 2;

/** A step that can start tasks, with its pool and queue. */
export type ReadyStep = {
  readonly step: Step;
  readonly pool: string;
  readonly queue: QueueSettings | null;
};

/** A ready step with its urgency. */
export type UrgentStep = ReadyStep & { readonly urgency: StepUrgency };

/** Creates the description of a step by which organisations share the pools. */
function createReadyWork(
  ready: UrgentStep,
  jobRates: JobRates,
): ReadyWork & { readonly ready: ReadyStep } {
  const { step, pool, urgency } = ready;
  const { need, isFilling } = step.spec;
  const count = step.waitingCount;
  return {
    ready,
    pool,
    organisation: step.job.record.organisation ?? '',
    workClass: getUrgencyClass(urgency),
    need: {
      cpuMillis: isFilling ? 0 : count * need.cpuMillis,
      memoryMb: count * need.memoryMb,
      gpus: count * need.gpus,
    },
    isBeyondRate: jobRates.isBeyondRate(step.job),
    isExempt: urgency.isLongRunning,
  };
}

/** Orders ready steps by the shares of their organisations. */
export class FairOrder {
  readonly #context: TermContext;

  readonly #shareLog: ShareLog;

  constructor(context: TermContext) {
    this.#context = context;
    this.#shareLog = new ShareLog(context);
  }

  /** Sorts steps, which are sorted by urgency, within each class of urgency by the shares of their organisations. */
  sort(steps: readonly UrgentStep[]): readonly ReadyStep[] {
    const { getConfiguration, jobRates } = this.#context;
    const organisations = getConfiguration()?.organisations ?? [];
    if (organisations.length < MIN_SHARING_ORGANISATIONS) {
      return steps;
    }
    jobRates.addJobs(steps.map(({ step }) => step.job));
    const work = steps.map((ready) => createReadyWork(ready, jobRates));
    const pools = listContendedPools(this.#context, work);
    if (pools.size === 0) {
      return steps;
    }
    const weights = new Map(organisations.map(({ name, weight }) => [name, weight]));
    pools.forEach((usage, pool) => this.#shareLog.record(pool, usage, weights, work));
    return decideFairOrder({ work, pools, weights }).map(({ ready }) => ready);
  }
}
