import type { HostEvidence } from '@baobabwell/maintenance';
import type { Host } from '@baobabwell/model';

import {
  BAD_RESULTS_SCORE,
  FAILED_SCORE,
  LONG_FAULT_MS,
  LONG_FAULT_SCORE,
  SHORT_FAULT_MS,
  UNLISTED_SCORE,
  UNREACHABLE_SCORE,
} from './BaobabwellRepairConstants';

/** What is wrong with a host, as far as this entry can see. */
export type HostSymptoms = {
  readonly isUnreachable: boolean;
  readonly isUnlisted: boolean;
  readonly hasBadResults: boolean;
};

/** A host that counts as failed, and why. */
export type FailedHost = { readonly host: Host; readonly why: string };

/** Whether the tasks of a host all fail here, or `null` when nothing is known. */
export type HasBadResults = (host: string) => boolean | null;

function isSick({ isUnreachable, isUnlisted, hasBadResults }: HostSymptoms): boolean {
  return isUnreachable || isUnlisted || hasBadResults;
}

function getScore(symptoms: HostSymptoms, durationMs: number): number {
  if (durationMs < SHORT_FAULT_MS) {
    return 0;
  }
  return (
    (symptoms.isUnreachable ? UNREACHABLE_SCORE : 0) +
    (symptoms.isUnlisted ? UNLISTED_SCORE : 0) +
    (symptoms.hasBadResults ? BAD_RESULTS_SCORE : 0) +
    (durationMs >= LONG_FAULT_MS ? LONG_FAULT_SCORE : 0)
  );
}

function formatSymptoms(symptoms: HostSymptoms, durationMs: number): string {
  const parts = [
    symptoms.isUnreachable ? 'answers no probe' : null,
    symptoms.isUnlisted ? 'is not in the host list' : null,
    symptoms.hasBadResults ? 'fails every task' : null,
  ].filter((part) => part !== null);
  return `${parts.join(' and ')} for ${Math.round(durationMs / 1_000)} s`;
}

/** Weighs the evidence about hosts over time. */
export class SymptomTracker {
  readonly #hasBadResults: HasBadResults;

  /** Monotonic time since which a host is sick. */
  readonly #sickSince = new Map<string, number>();

  constructor(hasBadResults: HasBadResults) {
    this.#hasBadResults = hasBadResults;
  }

  /** Finds the hosts that count as failed now. */
  listFailed(
    hosts: readonly Host[],
    getEvidence: (host: string) => HostEvidence,
    now: number,
  ): readonly FailedHost[] {
    return hosts.flatMap((host) => {
      const symptoms = this.#getSymptoms(host.id, getEvidence(host.id));
      if (!isSick(symptoms)) {
        this.#sickSince.delete(host.id);
        return [];
      }
      const since = this.#sickSince.get(host.id) ?? now;
      this.#sickSince.set(host.id, since);
      const durationMs = now - since;
      return getScore(symptoms, durationMs) >= FAILED_SCORE
        ? [{ host, why: formatSymptoms(symptoms, durationMs) }]
        : [];
    });
  }

  /** Forgets everything, for example while another entry is in charge. */
  reset(): void {
    this.#sickSince.clear();
  }

  #getSymptoms(host: string, { isListed, isReachable }: HostEvidence): HostSymptoms {
    return {
      isUnreachable: isReachable === false,
      isUnlisted: isListed === false,
      hasBadResults: this.#hasBadResults(host) === true,
    };
  }
}
