import type { CallResult } from '@baobabwell/calls';
import type { LedgerLine } from '@baobabwell/stand-ins';

import { Outcome } from '@baobabwell/model';

/** A request of a caller and the result that the caller received. */
export type ObservedCall = {
  readonly id: string;
  /** Identifies the requested work; calls that share an idempotency key request the same work. */
  readonly work: string;
  readonly isKeyed: boolean;
  readonly isRepeatable: boolean;
  readonly body: string;
  result: CallResult | null;
  /** Milliseconds between the deadline and the reply; `null` if the reply time is not checked. */
  lateMs: number | null;
  /** False once the entry of the call was killed before it replied. */
  isReplyExpected: boolean;
};

/** Violations of each invariant. */
export type Violations = {
  /** Calls reported as not run although a worker started them. */
  readonly falseNotRun: readonly string[];
  /** Non-repeatable work that was started more than once. */
  readonly doubleRuns: readonly string[];
  /** Calls reported as completed whose answer is incomplete or belongs to another call. */
  readonly wrongAnswers: readonly string[];
  /** Calls reported as completed whose work no worker completed. */
  readonly falseCompleted: readonly string[];
  /** Calls that got no reply, or got it too long after their deadline. */
  readonly unanswered: readonly string[];
};

const MAX_LATE_MS = 250;

function getRequestId(taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('.'));
}

function countByRequest(ledger: readonly LedgerLine[], event: string): Map<string, number> {
  const counts = new Map<string, number>();
  ledger
    .filter((line) => (line.event as string) === event)
    .forEach(({ taskId }) => {
      const id = getRequestId(taskId);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    });
  return counts;
}

function isOwnAnswer({ body, result }: ObservedCall): boolean {
  try {
    const text = Buffer.from(result?.answer?.body ?? []).toString('utf8');
    return (JSON.parse(text) as { readonly echo?: unknown }).echo === body;
  } catch {
    return false;
  }
}

/** Compares the results that callers received with the workers' ledgers. */
export function findViolations(
  calls: readonly ObservedCall[],
  ledger: readonly LedgerLine[],
): Violations {
  const started = countByRequest(ledger, 'started');
  const completed = countByRequest(ledger, 'completed');
  const startsByWork = new Map<string, number>();
  calls
    .filter(({ isRepeatable }) => !isRepeatable)
    .forEach(({ id, work, isKeyed }) => {
      const name = isKeyed ? work : id;
      startsByWork.set(name, (startsByWork.get(name) ?? 0) + (started.get(id) ?? 0));
    });
  const completedWork = new Set(
    calls.filter(({ id }) => completed.has(id)).map(({ work }) => work),
  );
  const filterByOutcome = (outcome: Outcome): readonly ObservedCall[] =>
    calls.filter(({ result }) => result?.outcome === outcome);
  return {
    falseNotRun: filterByOutcome(Outcome.NotRun)
      .filter(({ id }) => started.has(id))
      .map(({ id }) => id),
    doubleRuns: [...startsByWork].filter(([, count]) => count > 1).map(([name]) => name),
    wrongAnswers: filterByOutcome(Outcome.Completed)
      .filter((call) => !isOwnAnswer(call))
      .map(({ id }) => id),
    falseCompleted: filterByOutcome(Outcome.Completed)
      .filter(({ work }) => !completedWork.has(work))
      .map(({ id }) => id),
    unanswered: calls
      .filter(
        ({ isReplyExpected, result, lateMs }) =>
          isReplyExpected && (result === null || isLate(lateMs)),
      )
      .map(({ id, lateMs }) => `${id} (${lateMs} ms late)`),
  };
}

function isLate(lateMs: number | null): boolean {
  return lateMs !== null && lateMs > MAX_LATE_MS;
}

/** Returns true when no invariant was violated. */
export function hasNoViolations(violations: Violations): boolean {
  return Object.values(violations).every((ids) => ids.length === 0);
}
