import type { HostEvidence } from '@baobabwell/maintenance';
import type { Host } from '@baobabwell/model';

import {
  FAILED_SCORE,
  FAILING_TASKS_SCORE,
  LONG_FAULT_MS,
  LONG_FAULT_SCORE,
  MIN_FAULT_MS,
  UNLISTED_SCORE,
  UNREACHABLE_SCORE,
} from './BaobabwellRepairConstants';

/** Signs of failure of a host that this entry observes. */
export type HostSymptoms = {
  readonly isUnreachable: boolean;
  readonly isUnlisted: boolean;
  readonly hasFailingTasks: boolean;
};

/** A host that counts as failed, and the cause in words. */
export type FailedHost = { readonly host: Host; readonly cause: string };

/**
 * Returns whether the tasks of this entry keep failing on a host, or `null` when that is unknown.
 */
export type HasFailingTasks = (host: string) => boolean | null;

function hasSymptoms({ isUnreachable, isUnlisted, hasFailingTasks }: HostSymptoms): boolean {
  return isUnreachable || isUnlisted || hasFailingTasks;
}

function computeScore(symptoms: HostSymptoms, durationMs: number): number {
  if (durationMs < MIN_FAULT_MS) {
    return 0;
  }
  return (
    (symptoms.isUnreachable ? UNREACHABLE_SCORE : 0) +
    (symptoms.isUnlisted ? UNLISTED_SCORE : 0) +
    (symptoms.hasFailingTasks ? FAILING_TASKS_SCORE : 0) +
    (durationMs >= LONG_FAULT_MS ? LONG_FAULT_SCORE : 0)
  );
}

function formatSymptoms(symptoms: HostSymptoms, durationMs: number): string {
  const parts = [
    symptoms.isUnreachable ? 'does not respond to probes' : null,
    symptoms.isUnlisted ? 'is missing from the host list' : null,
    symptoms.hasFailingTasks ? 'fails every task' : null,
  ].filter((part) => part !== null);
  return `${parts.join(' and ')} for ${Math.round(durationMs / 1_000)} s`;
}

/** Tracks how long hosts have had symptoms and scores them. */
export class SymptomTracker {
  readonly #hasFailingTasks: HasFailingTasks;

  /** Monotonic time at which the symptoms of a host began, by host. */
  readonly #symptomsSince = new Map<string, number>();

  constructor(hasFailingTasks: HasFailingTasks) {
    this.#hasFailingTasks = hasFailingTasks;
  }

  /** Returns the hosts that count as failed now, and updates how long each has had symptoms. */
  listFailed(
    hosts: readonly Host[],
    getEvidence: (host: string) => HostEvidence,
    now: number,
  ): readonly FailedHost[] {
    return hosts.flatMap((host) => {
      const symptoms = this.#getSymptoms(host.id, getEvidence(host.id));
      if (!hasSymptoms(symptoms)) {
        this.#symptomsSince.delete(host.id);
        return [];
      }
      const since = this.#symptomsSince.get(host.id) ?? now;
      this.#symptomsSince.set(host.id, since);
      const durationMs = now - since;
      return computeScore(symptoms, durationMs) >= FAILED_SCORE
        ? [{ host, cause: formatSymptoms(symptoms, durationMs) }]
        : [];
    });
  }

  /** Discards all observations, for example after another entry owned the controller. */
  reset(): void {
    this.#symptomsSince.clear();
  }

  #getSymptoms(host: string, { isListed, isReachable }: HostEvidence): HostSymptoms {
    return {
      isUnreachable: isReachable === false,
      isUnlisted: isListed === false,
      hasFailingTasks: this.#hasFailingTasks(host) === true,
    };
  }
}
