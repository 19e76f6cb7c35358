import type { CallResult } from '@baobabwell/calls';
import type { LedgerLine } from '@baobabwell/stand-ins';

import { Outcome } from '@baobabwell/model';

/** One request of a caller, and what it was told. */
export type ObservedCall = {
  readonly id: string;
  /** The work that it asks for; repeats with an idempotency key ask for the same. */
  readonly work: string;
  readonly isKeyed: boolean;
  readonly isRepeatable: boolean;
  readonly body: string;
  result: CallResult | null;
  /** Milliseconds past its deadline at which it was answered; `null` if nothing bounds that. */
  lateMs: number | null;
  /** Whether an answer is owed: its entry was neither killed nor restarted. */
  isOwed: boolean;
};

/** How often each promise was broken. */
export type Violations = {
  /** Calls told not run whose work a worker started. */
  readonly falseNotRun: readonly string[];
  /** Work that must not be repeated and was started more than once. */
  readonly doubleRuns: readonly string[];
  /** Calls told completed with an answer that is not their own, or not whole. */
  readonly wrongAnswers: readonly string[];
  /** Calls told completed of which no worker knows. */
  readonly falseCompleted: readonly string[];
  /** Calls that were never answered, or long after their deadline. */
  readonly unanswered: readonly string[];
};

const LATE_BOUND_MS = 250;

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

/** What callers were told, compared with what the workers' ledgers say. */
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
  const told = (outcome: Outcome): readonly ObservedCall[] =>
    calls.filter(({ result }) => result?.outcome === outcome);
  return {
    falseNotRun: told(Outcome.NotRun)
      .filter(({ id }) => started.has(id))
      .map(({ id }) => id),
    doubleRuns: [...startsByWork].filter(([, count]) => count > 1).map(([name]) => name),
    wrongAnswers: told(Outcome.Completed)
      .filter((call) => !isOwnAnswer(call))
      .map(({ id }) => id),
    falseCompleted: told(Outcome.Completed)
      .filter(({ work }) => !completedWork.has(work))
      .map(({ id }) => id),
    unanswered: calls
      .filter(({ isOwed, result, lateMs }) => isOwed && (result === null || isLate(lateMs)))
      .map(({ id, lateMs }) => `${id} (${lateMs} ms late)`),
  };
}

function isLate(lateMs: number | null): boolean {
  return lateMs !== null && lateMs > LATE_BOUND_MS;
}

/** True when no promise was broken. */
export function isClean(violations: Violations): boolean {
  return Object.values(violations).every((broken) => broken.length === 0);
}
