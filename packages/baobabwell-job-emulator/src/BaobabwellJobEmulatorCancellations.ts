import { parseTaskName } from '@baobabwell/jobs';

/** Time after the acknowledgement of a cancellation from which no task of the job may start, in ms. */
export const CANCEL_MS = 3_000;

/** Time after that for which a run of the job may still be active, in ms. */
export const CANCELLED_RUN_MS = 900;

/** Time for which a start that a host carried out late may go unnoticed, in ms. */
const LATE_START_NOTICE_MS = 3_000;

/** A run that is active on a host. */
type ActiveRun = {
  readonly task: string;
  readonly host: string;
  readonly startedAtMs: number;
  readonly isLate: boolean;
};

/** Tracks the runs of cancelled jobs, and checks that none of them starts or remains. */
export class CancellationTracker {
  readonly #recordViolation: (task: string, atMs: number, detail: string) => void;

  /** Time at which the cancellation of each job was acknowledged, in ms. */
  readonly #cancelledAtMs = new Map<string, number>();

  readonly #activeRuns = new Map<string, ActiveRun>();

  constructor(recordViolation: (task: string, atMs: number, detail: string) => void) {
    this.#recordViolation = recordViolation;
  }

  /** Records that a cancellation was acknowledged; a repeated one changes nothing. */
  recordCancel(jobId: string, atMs: number): void {
    if (!this.#cancelledAtMs.has(jobId)) {
      this.#cancelledAtMs.set(jobId, atMs);
    }
  }

  /** @param isLate true when the host carried out the order late. */
  recordStart(task: string, host: string, atMs: number, isLate: boolean): void {
    this.#activeRuns.set(`${task} ${host}`, { task, host, startedAtMs: atMs, isLate });
    const cancelledAtMs = this.#findCancelledAt(task);
    if (cancelledAtMs !== null && !isLate && atMs > cancelledAtMs + CANCEL_MS) {
      this.#recordViolation(
        task,
        atMs,
        `started on ${host} ${atMs - cancelledAtMs} ms after the cancellation of its job`,
      );
    }
  }

  recordEnd(task: string, host: string): void {
    this.#activeRuns.delete(`${task} ${host}`);
  }

  /**
   * Lists the runs, each with its host, that are active too long after the cancellation of their job. The
   * bound holds only while no fault delays a stop.
   */
  listOverdueRuns(nowMs: number): readonly string[] {
    return [...this.#activeRuns.values()]
      .filter(({ task, startedAtMs, isLate }) => {
        const cancelledAtMs = this.#findCancelledAt(task) ?? Infinity;
        const noticedAtMs = isLate ? startedAtMs + LATE_START_NOTICE_MS : -Infinity;
        return nowMs > Math.max(cancelledAtMs + CANCEL_MS, noticedAtMs) + CANCELLED_RUN_MS;
      })
      .map(({ task, host }) => `${task} on ${host}`);
  }

  #findCancelledAt(task: string): number | null {
    return this.#cancelledAtMs.get(parseTaskName(task)?.jobId ?? '') ?? null;
  }
}
