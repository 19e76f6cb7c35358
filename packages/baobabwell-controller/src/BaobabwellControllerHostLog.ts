/** Log lines on a host from which it can be told later why a task was started again. */
import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Run } from '@baobabwell/jobs';
import type { LogFields } from '@baobabwell/logging';

import { describeRun } from './BaobabwellControllerOrders';

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

/** Returns the log fields with the incarnation of a host and its positions of run ends. */
export function describePositions(host: Host): LogFields {
  return {
    bornMs: host.bornMs,
    applied: host.appliedEndPosition,
    stored: host.storedEndPosition,
    acknowledged: host.acknowledgedEndPosition,
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
