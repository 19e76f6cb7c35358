import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { IncarnationState } from './BaobabwellControllerIncarnationState';
import type { CrashBlame, CrashEvidence, Run } from '@baobabwell/jobs';

import { decideCrashBlame, RunEndEffect, RunPhase } from '@baobabwell/jobs';

import {
  MAX_CRASH_NOTICE_MS,
  MIN_COMMON_CAUSE_HOSTS,
  START_SURVIVAL_MS,
} from './BaobabwellControllerConstants';
import { isReplaced } from './BaobabwellControllerHost';
import { stopFailedJob } from './BaobabwellControllerJobEnds';
import { describeRun } from './BaobabwellControllerRunLog';

/** Runs that may have been lost with an incarnation of a host, which may have crashed. */
type SuspectedCrash = {
  readonly runs: readonly Run[];
  readonly state: IncarnationState;
};

/** Recognises crashes of one host and records them with the tasks that may have caused them. */
export class HostCrashes {
  readonly #context: TermContext;

  readonly #host: Host;

  /** Runs given up because their leases expired; their host may have crashed or be unreachable. */
  #expired: SuspectedCrash | null = null;

  /** Runs at a restart of the host, until the new incarnation has reported its own. */
  #restarted: SuspectedCrash | null = null;

  /** Monotonic time of the first call without an answer, in ms; `null` while the host answers. */
  #silentAtMs: number | null = null;

  /** True when the host was about to leave the pool as it became silent. */
  #wasLeaving = false;

  /** True when the silent host refused a connection: its process has ended. */
  #hasRefusedConnection = false;

  constructor(context: TermContext, host: Host) {
    this.#context = context;
    this.#host = host;
  }

  /** Records that the host left a call unanswered for the first time since its last answer. */
  recordSilence(): void {
    const { clock, hostSilences } = this.#context;
    const { incarnation, state, trackedSinceMs, listedWorker, isCordoned } = this.#host;
    this.#wasLeaving = isCordoned || listedWorker?.isDraining === true;
    this.#silentAtMs = clock.getNow();
    if (this.#wasLeaving) {
      return;
    }
    hostSilences.record(incarnation.id, {
      answeredAtMs: state.answeredAtMs ?? trackedSinceMs,
      noticedAtMs: clock.getNow(),
    });
  }

  /** Records that the silent host refused a connection. */
  recordRefusedConnection(): void {
    this.#hasRefusedConnection = true;
  }

  /** Records that the host was moved or went down by order: the loss of its runs is no crash. */
  recordDeparture(): void {
    this.#wasLeaving = true;
  }

  /** Records that the runs of the host are given up because their leases expired. */
  recordLeaseExpiry(): void {
    const { runs, state } = this.#host;
    if (runs.size === 0 || this.#wasLeaving) {
      return;
    }
    const lost = [...runs.values()];
    this.#expired = { runs: [...(this.#expired?.runs ?? []), ...lost], state };
    const { jobRegistry, clock } = this.#context;
    this.#decideBlame({ runs: lost, state }, false).suspects.forEach((run) =>
      jobRegistry.recordPossibleCrash(run, clock.getNow()),
    );
  }

  /** Records that the host restarted, before the state of its former incarnation is replaced. */
  recordRestart(): void {
    this.#settleRestart(new Set());
    if (this.#host.isReachable) {
      this.recordSilence();
    }
    const { runs, state } = this.#host;
    this.#restarted = { runs: [...(this.#expired?.runs ?? []), ...runs.values()], state };
    this.#expired = null;
  }

  /** Records a full report with the keys of the runs that the host has or had. */
  recordReport(reportedRuns: ReadonlySet<string>): void {
    this.#settleRestart(reportedRuns);
    this.#removePossibleCrashes(this.#expired?.runs ?? []);
    this.#expired = null;
    this.#silentAtMs = null;
    this.#wasLeaving = false;
    this.#hasRefusedConnection = false;
    this.#context.hostSilences.remove(this.#host.incarnation.id);
  }

  /** Records that the incarnation has ended, before its runs are given up. */
  recordIncarnationEnd(): void {
    if (this.#host.isReachable) {
      this.recordSilence();
    }
    this.#settleRestart(new Set());
    const { runs, state } = this.#host;
    const lost = [...(this.#expired?.runs ?? []), ...runs.values()];
    this.#expired = null;
    this.#recordCrash({ runs: lost, state }, true);
  }

  /** Records that the host is silent and no longer listed: it has crashed, or nothing reaches it. */
  recordDisappearance(): void {
    this.#settleRestart(new Set());
    const expired = this.#expired;
    this.#expired = null;
    if (expired === null) {
      return;
    }
    const isConfirmed = isReplaced(this.#context.hosts, this.#host);
    if (isConfirmed || this.#hasRefusedConnection) {
      this.#recordCrash(expired, isConfirmed);
    } else {
      this.#removePossibleCrashes(expired.runs);
    }
  }

  #settleRestart(reportedRuns: ReadonlySet<string>): void {
    const restarted = this.#restarted;
    this.#restarted = null;
    if (restarted !== null) {
      const runs = restarted.runs.filter(({ key }) => !reportedRuns.has(key));
      this.#recordCrash({ ...restarted, runs }, true);
    }
  }

  #recordCrash({ runs, state }: SuspectedCrash, isConfirmed: boolean): void {
    if (this.#wasLeaving || runs.length === 0) {
      return;
    }
    const { logger, metrics, clock, hostSilences, requestCommit, requestDispatch } = this.#context;
    const { incarnation, pool } = this.#host;
    const { suspects, isAttributed } = this.#decideBlame({ runs, state }, isConfirmed);
    this.#removePossibleCrashes(runs);
    if (suspects.length === 0) {
      hostSilences.recordOtherCrash(clock.getNow());
    }
    metrics.hostHealth.crashes.inc({ pool });
    logger.recordWarning('host-crashed', {
      host: incarnation.id,
      pool,
      runs: runs.length,
      suspects: suspects.length,
      isAttributed,
      isConfirmed,
      othersSilent: hostSilences.countSimultaneous(incarnation.id),
    });
    const evidence = { isAttributed, isRefutable: !isConfirmed };
    suspects.forEach((run) => this.#recordSuspect(run, evidence));
    requestCommit();
    requestDispatch();
  }

  #decideBlame({ runs, state }: SuspectedCrash, isConfirmed: boolean): CrashBlame {
    const { incarnation } = this.#host;
    const { hostSilences, clock } = this.#context;
    const othersSilent = hostSilences.countSimultaneous(incarnation.id);
    return decideCrashBlame({
      runs: runs
        .filter(({ phase }) => phase !== RunPhase.StartPending)
        .map((run) => ({
          run,
          hasSurvivedStart:
            run.startClockMs !== null && state.lastClockMs - run.startClockMs >= START_SURVIVAL_MS,
          wasSilentAtStart: run.isRestored || this.#wasSilentAt(run),
        })),
      isConfirmed,
      hasCommonCause: othersSilent + 1 >= MIN_COMMON_CAUSE_HOSTS,
      hasOtherCrashes: hostSilences.hasOtherCrashes(clock.getNow()),
    });
  }

  /** Returns true when the host became silent shortly after the start of a run. */
  #wasSilentAt({ answeredAtMs, startSentAtMs }: Run): boolean {
    const startedAtMs = answeredAtMs ?? startSentAtMs;
    return this.#silentAtMs !== null && this.#silentAtMs - startedAtMs <= MAX_CRASH_NOTICE_MS;
  }

  #removePossibleCrashes(runs: readonly Run[]): void {
    runs.forEach(({ task, number }) => task.crashes.removeUnconfirmed(number));
  }

  #recordSuspect(run: Run, evidence: CrashEvidence): void {
    const { jobRegistry, clock, logger } = this.#context;
    const effect = jobRegistry.recordCrash(run, evidence, clock.getNow());
    if (effect === RunEndEffect.None) {
      return;
    }
    const { crashes } = run.task;
    logger.recordWarning('run-crashed', {
      ...describeRun(run),
      crashes: crashes.runs.length,
      attributed: crashes.attributedRuns.length,
      isRefutable: evidence.isRefutable,
      effect,
    });
    if (effect === RunEndEffect.JobFailed) {
      stopFailedJob(this.#context, run);
    }
  }
}
