import type { Clock } from '@baobabwell/utils';

/** What is known of the queue that a call would join. */
export type QueueOutlook = {
  readonly team: string;
  /** Calls of the team that would start before it. */
  readonly ahead: number;
  /** Slots that the team may use here; infinite while there is room for everybody. */
  readonly slots: number;
  /** Mean time that the team's work takes, in milliseconds. */
  readonly meanRunMs: number;
  /** Milliseconds until the call's deadline. */
  readonly remainingMs: number;
};

/** Decides whether a call may wait for its turn. */
export abstract class AdmissionControl {
  /** Gets the expected wait in milliseconds when it is too long, or `null` to admit the call. */
  abstract getRefusal(outlook: QueueOutlook): number | null;

  /** Records that a call of a team got its turn. */
  abstract recordStart(team: string): void;
}

/** Lets every call wait until its deadline. */
export class DeadlineAdmission extends AdmissionControl {
  override getRefusal(): null {
    return null;
  }

  override recordStart(): void {
    // What was started says nothing to this policy.
  }
}

const WINDOW_MS = 1_000;
const WAIT_PART = 0.25;

type StartCount = {
  since: number;
  count: number;
  /** Starts in the window before. */
  previous: number;
};

/**
 * Refuses a call on arrival when the wait that is expected from the queue before it and from the
 * team's recent starts takes more than a quarter of the time left: a short queue is soon gone, and the rest covers the work
 * itself and the error of the estimate.
 */
export class ExpectedWaitAdmission extends AdmissionControl {
  readonly #clock: Clock;

  readonly #starts = new Map<string, StartCount>();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override getRefusal({ team, ahead, slots, meanRunMs, remainingMs }: QueueOutlook): number | null {
    if (!Number.isFinite(slots) || ahead === 0) {
      return null;
    }
    const expectedMs = ahead / this.#getRate(team, Math.max(1, slots) / meanRunMs);
    return expectedMs > remainingMs * WAIT_PART ? expectedMs : null;
  }

  override recordStart(team: string): void {
    this.#getCount(team).count += 1;
  }

  /** What was started says little of a team that had nothing waiting. */
  #getRate(team: string, expectedRate: number): number {
    return Math.max(this.#getStartRate(team), expectedRate);
  }

  /** Starts a millisecond over the last one to two windows. */
  #getStartRate(team: string): number {
    const { since, count, previous } = this.#getCount(team);
    return (count + previous) / (WINDOW_MS + this.#clock.getNow() - since);
  }

  #getCount(team: string): StartCount {
    const now = this.#clock.getNow();
    const known = this.#starts.get(team) ?? { since: now, count: 0, previous: 0 };
    this.#starts.set(team, known);
    const windows = Math.floor((now - known.since) / WINDOW_MS);
    if (windows > 0) {
      known.previous = windows === 1 ? known.count : 0;
      known.count = 0;
      known.since += windows * WINDOW_MS;
    }
    return known;
  }
}
