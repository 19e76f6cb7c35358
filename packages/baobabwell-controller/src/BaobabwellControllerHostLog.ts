/** Log lines on a host from which it can be told later why a task was started again. */
import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run, Task } from '@baobabwell/jobs';
import type { LogFields } from '@baobabwell/logging';
import type { EndedRun, HostReport } from '@baobabwell/platform';

import { parseTaskName } from '@baobabwell/jobs';

import { countOthersUnavailable } from './BaobabwellControllerLongRunning';
import { describeRun } from './BaobabwellControllerRunLog';

/** Ground on which a run is given up although its host reported no end of it. */
export enum RunLossGround {
  /** The run was missing from a report of its host. */
  Vanished = 'vanished',
  /** The leases of its host were taken for expired. */
  LeaseExpired = 'lease-lapsed',
  /** The incarnation of its host ended. */
  IncarnationEnded = 'incarnation-ended',
  /** No order to start it can have been carried out. */
  NotStarted = 'not-started',
}

/** Returns the time since an event, in whole ms, or `null` when there was none. */
function getAgeMs(nowMs: number, atMs: number | null): number | null {
  return atMs === null ? null : Math.round(nowMs - atMs);
}

/** Returns the log fields with what this owner knows of a host; `null` for one that it does not track. */
export function describeKnowledge(nowMs: number, host: Host | null): LogFields {
  return {
    isReconciled: host?.isReconciled ?? null,
    runs: host?.runs.size ?? null,
    reportAgeMs: getAgeMs(nowMs, host?.history.lastReport?.receivedAtMs ?? null),
  };
}

/** Returns further log fields of an order to stop a run, if its task is long running. */
export function describeLongRunningStop(
  context: TermContext,
  host: Host,
  { task }: Run,
): LogFields {
  const { step } = task;
  if (!step.spec.isLasting) {
    return {};
  }
  return {
    ...describeKnowledge(context.clock.getNow(), host),
    // All tasks of an ended job are stopped, whatever the others do.
    othersAway: step.job.isEnded ? null : countOthersUnavailable(context, step, task),
    maxAway: step.spec.maxAway,
  };
}

/** Finds a task that this owner tracks, without creating the steps of its occurrence. */
function findTrackedTask({ jobRegistry }: TermContext, name: string): Task | null {
  const parsed = parseTaskName(name);
  const steps = parsed && jobRegistry.findJob(parsed.jobId)?.occurrences.get(parsed.occurrence);
  return (parsed && steps?.[parsed.step]?.tasks[parsed.index]) ?? null;
}

/** Records an end that has no effect because its run is not tracked. */
export function recordIgnoredEnd(
  context: TermContext,
  host: Host,
  { task: name, run, end, position }: EndedRun,
): void {
  const task = findTrackedTask(context, name);
  context.logger.recordInfo('end-ignored', {
    host: host.incarnation.id,
    task: name,
    run,
    end,
    position,
    bornMs: host.bornMs,
    isTaskKnown: task !== null,
    taskPhase: task?.phase ?? null,
    lastRun: task?.lastRun ?? null,
    restartAgeMs: getAgeMs(context.clock.getNow(), host.history.restartedAtMs),
  });
}

/** Returns the log fields with the incarnation of a host and its positions of run ends. */
export function describePositions(host: Host): LogFields {
  return {
    bornMs: host.bornMs,
    applied: host.state.appliedEndPosition,
    stored: host.state.storedEndPosition,
    acknowledged: host.state.acknowledgedEndPosition,
  };
}

/** Records that a run is given up without a reported end, before it is removed from its host. */
export function recordLostRun(
  { logger, metrics, clock }: TermContext,
  host: Host,
  run: Run,
  ground: RunLossGround,
): void {
  const nowMs = clock.getNow();
  const { lastReport, restartedAtMs } = host.history;
  const hasVanished = ground === RunLossGround.Vanished;
  metrics.lostRuns.inc({ pool: host.pool, ground });
  logger.recordWarning(hasVanished ? 'run-vanished' : 'run-lost', {
    ...describeRun(run),
    phase: run.phase,
    ground,
    ...describePositions(host),
    answerAgeMs: getAgeMs(nowMs, run.answeredAtMs),
    reportAgeMs: getAgeMs(nowMs, lastReport?.receivedAtMs ?? null),
    reportTookMs: lastReport === null ? null : Math.round(lastReport.tookMs),
    firstPosition: lastReport?.firstPosition ?? null,
    lastPosition: lastReport?.lastPosition ?? null,
    ends: lastReport?.endCount ?? null,
    restartAgeMs: getAgeMs(nowMs, restartedAtMs),
  });
}

/** Records that the host restarted under its id, before the state of its former incarnation is reset. */
export function recordHostRestart(
  { logger }: TermContext,
  host: Host,
  bornMs: number | null,
): void {
  logger.recordWarning('host-reborn', {
    host: host.incarnation.id,
    ...describePositions(host),
    bornMs,
    formerBornMs: host.bornMs,
    committing: host.history.committingPosition,
    runs: host.runs.size,
  });
}

/** Records that all leases on a host are taken for expired, before its runs are given up. */
export function recordLeaseExpiry({ logger, clock }: TermContext, host: Host): void {
  const nowMs = clock.getNow();
  const { restartedAtMs } = host.history;
  const lease = host.state.getLease(nowMs);
  logger.recordWarning('host-lease-lapsed', {
    host: host.incarnation.id,
    runs: host.runs.size,
    bornMs: host.bornMs,
    isFormerLease: !host.isReconciled,
    answerAgeMs: getAgeMs(nowMs, host.state.answeredAtMs),
    trackedMs: Math.round(nowMs - host.trackedSinceMs),
    leaseEndMs: lease.endMs,
    hostClockMs: lease.clockMs,
    restartAgeMs: getAgeMs(nowMs, restartedAtMs),
  });
}

/**
 * Records that a hold call acknowledged run ends of the present incarnation that no report contained: it
 * was sent for the former one.
 */
function recordUnseenAcknowledgement(
  { logger }: TermContext,
  host: Host,
  sentPosition: number,
): void {
  const { history } = host;
  if (sentPosition <= host.state.appliedEndPosition) {
    return;
  }
  logger.recordWarning('ends-acknowledged-unseen', {
    host: host.incarnation.id,
    ...describePositions(host),
    sent: sentPosition,
    committing: history.committingPosition,
  });
}

/** Records the positions in a report of the present incarnation, before its ends are applied. */
export function recordReportPositions(
  context: TermContext,
  host: Host,
  report: HostReport,
  hold: { readonly sentAtMs: number; readonly acknowledgedPosition: number },
): void {
  const { logger, clock } = context;
  const { history } = host;
  const nowMs = clock.getNow();
  recordUnseenAcknowledgement(context, host, hold.acknowledgedPosition);
  const firstPosition = report.ended[0]?.position ?? 0;
  if (history.hasKnownPositions && firstPosition > host.state.appliedEndPosition + 1) {
    logger.recordWarning('ends-skipped', {
      host: host.incarnation.id,
      ...describePositions(host),
      sent: hold.acknowledgedPosition,
      firstPosition,
      ends: report.ended.length,
      restartAgeMs: getAgeMs(nowMs, history.restartedAtMs),
    });
  }
  history.recordReport(report, hold.sentAtMs, nowMs);
}
