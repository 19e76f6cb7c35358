import type { Host } from './BaobabwellControllerHost';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { DurationEstimator } from '@baobabwell/durations';
import type {
  HealthHost,
  HostAdmission,
  HostInPool,
  SoleAdmission,
  StepKey,
} from '@baobabwell/host-health';
import type { Run, Step, StepSpec } from '@baobabwell/jobs';

import { HostHealth } from '@baobabwell/host-health';
import { RunEnd } from '@baobabwell/jobs';

/** Minimum progress, in percent, and time at work, in ms, from which a duration is extrapolated. */
const MIN_PROGRESS_PERCENT = 5;
const MIN_ELAPSED_MS = 400;

const FULL_PERCENT = 100;

type ObserverContext = Pick<TermOptions, 'clock' | 'logger' | 'metrics'> & {
  readonly durations: DurationEstimator;
  readonly hosts: ReadonlyMap<string, Host>;
  /** Requests a round of placements. */
  readonly requestDispatch: () => void;
};

function getStepKey({ job, occurrence, position }: Step): StepKey {
  const jobId = job.record.id;
  return { jobId, step: `${jobId}.${occurrence}.${position}` };
}

function getHostInPool({ incarnation, pool }: Host): HostInPool {
  return { id: incarnation.id, pool };
}

/** Returns true if runs of the step take equally long on every sound host. */
function isComparable(spec: StepSpec): boolean {
  const { isLasting, isFilling, isGang, dataRack, prefersOneRack } = spec;
  return !isLasting && !isFilling && !isGang && dataRack === null && !prefersOneRack;
}

/** Observes how runs fare on each host, and tells which hosts may receive work. */
export class HostObserver {
  readonly #context: ObserverContext;

  readonly #health: HostHealth;

  /** Runs whose duration was extrapolated from their progress. */
  readonly #extrapolated = new WeakSet<Run>();

  constructor(context: ObserverContext) {
    this.#context = context;
    const { logger, metrics, requestDispatch } = context;
    this.#health = new HostHealth({
      recordEjected: (hostId, { fault, group }) => {
        const pool = context.hosts.get(hostId)?.pool ?? '';
        metrics.hostHealth.ejections.inc({ pool, fault });
        logger.recordWarning('host-ejected', { host: hostId, pool, fault, group });
      },
      recordAdmitted: (hostId, ground) => {
        const pool = context.hosts.get(hostId)?.pool ?? '';
        metrics.hostHealth.admissions.inc({ pool });
        logger.recordInfo('host-admitted', { host: hostId, pool, ground });
        requestDispatch();
      },
    });
  }

  /** Records the end of a run that its host reported. */
  recordEnd(host: Host, run: Run, end: RunEnd): void {
    const { step } = run.task;
    if (step.spec.isLasting) {
      return;
    }
    const nowMs = this.#context.clock.getNow();
    const key = getStepKey(step);
    const hostInPool = getHostInPool(host);
    if (end === RunEnd.Failed) {
      this.#health.recordFailure(hostInPool, key, nowMs);
    } else if (end === RunEnd.Done) {
      this.#health.recordDone(hostInPool, key, nowMs);
      const isTimed = this.#recordDuration(host, run, { percent: FULL_PERCENT, isEnded: true });
      if (!isTimed) {
        this.#health.recordUntimedDone(hostInPool.id, nowMs);
      }
    }
    if (step.isDone() || step.job.isEnded) {
      this.#health.removeStep(key.step);
    }
  }

  /** Records the progress of a run, once it shows how long the run takes. */
  recordProgress(host: Host, run: Run): void {
    const { progressPercent, answeredAtMs } = run;
    const elapsedMs = this.#context.clock.getNow() - (answeredAtMs ?? Infinity);
    if (
      progressPercent >= MIN_PROGRESS_PERCENT &&
      elapsedMs >= MIN_ELAPSED_MS &&
      !this.#extrapolated.has(run)
    ) {
      this.#extrapolated.add(run);
      this.#recordDuration(host, run, { percent: progressPercent, isEnded: false });
    }
  }

  /** Forgets a host whose incarnation ended or that left the pool. */
  removeHost(hostId: string): void {
    this.#health.removeHost(hostId);
  }

  /** Decides which hosts of a pool are ejected. */
  updatePool(pool: string): void {
    const { clock, hosts } = this.#context;
    const listHosts = (): readonly HealthHost[] =>
      [...hosts.values()]
        .filter((host) => host.pool === pool && host.listedWorker !== null)
        .map(({ incarnation, listedWorker }) => ({
          id: incarnation.id,
          groups: [...(listedWorker?.labels ?? []), listedWorker?.zone ?? ''],
        }));
    const nowMs = clock.getNow();
    this.#health.update(pool, listHosts, nowMs);
    const hasProbe = (hostId: string): boolean => hosts.get(hostId)?.hasShortRuns === true;
    this.#health.admitUnprobed(pool, hasProbe, nowMs);
  }

  getAdmission(hostId: string): HostAdmission {
    return this.#health.getAdmission(hostId, this.#context.clock.getNow());
  }

  /** Returns how much work a host may receive that no other host may run. */
  getSoleAdmission(hostId: string): SoleAdmission {
    return this.#health.getSoleAdmission(hostId, this.#context.clock.getNow());
  }

  /** Records how long a run took; returns false if that does not compare with others. */
  #recordDuration(
    host: Host,
    { task, answeredAtMs, startSentAtMs }: Run,
    { percent, isEnded }: { readonly percent: number; readonly isEnded: boolean },
  ): boolean {
    const { step } = task;
    const { durations, clock } = this.#context;
    // The start of a run of a former owner is not known.
    const isAdopted = startSentAtMs === host.trackedSinceMs;
    const nowMs = clock.getNow();
    const isCold = host.getColdLeftMs(nowMs) > 0;
    if (answeredAtMs === null || isAdopted || isCold || !isComparable(step.spec)) {
      return false;
    }
    const durationMs = ((nowMs - answeredAtMs) * FULL_PERCENT) / percent;
    const expectedMs = durations.getExpectedMs(step.job.record.queue, step.spec);
    const ratio = durationMs / Math.max(1, expectedMs);
    this.#health.recordDuration(getHostInPool(host), getStepKey(step), { ratio, isEnded }, nowMs);
    return true;
  }
}
