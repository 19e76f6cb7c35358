import type { FleetConfiguration } from '@baobabwell/fleet';
import type { Job, JobRecord } from '@baobabwell/jobs';
import type { Clock } from '@baobabwell/utils';

import { ArrivalRates } from '@baobabwell/fairness';

/** Time within which an admitted job appears among the stored jobs, in ms; later it is counted again. */
const STORE_TIME_MS = 5_000;

type OfferedJob = { readonly isBeyondRate: boolean; readonly offeredAtMs: number };

/**
 * Tells which jobs their organisations sent beyond their weight in jobs a second. After a takeover the
 * open jobs are counted anew, by the times at which they were accepted.
 */
export class JobRates {
  readonly #clock: Clock;

  readonly #getConfiguration: () => FleetConfiguration | null;

  readonly #rates = new ArrivalRates();

  readonly #jobs = new WeakMap<Job, boolean>();

  /** Jobs that were offered and are not stored yet, by id. */
  readonly #offered = new Map<string, OfferedJob>();

  constructor(options: {
    readonly clock: Clock;
    readonly getConfiguration: () => FleetConfiguration | null;
  }) {
    this.#clock = options.clock;
    this.#getConfiguration = options.getConfiguration;
  }

  /** Counts an offered job; returns true if it is beyond the rate of its organisation. */
  addOffer(record: JobRecord): boolean {
    this.#pruneOffers();
    const existing = this.#offered.get(record.id);
    if (existing !== undefined) {
      return existing.isBeyondRate;
    }
    const isBeyondRate = !this.#take(record);
    this.#offered.set(record.id, { isBeyondRate, offeredAtMs: this.#clock.getNow() });
    return isBeyondRate;
  }

  /** Takes back the count of an offered job that was refused. */
  removeOffer({ id, organisation }: JobRecord): void {
    const offered = this.#offered.get(id);
    this.#offered.delete(id);
    if (offered?.isBeyondRate === false && organisation !== null) {
      this.#rates.release(organisation);
    }
  }

  /** Counts the jobs that were not counted yet. */
  addJobs(jobs: readonly Job[]): void {
    jobs
      .filter((job) => !this.#jobs.has(job))
      .toSorted((left, right) => left.record.acceptedAtMs - right.record.acceptedAtMs)
      .forEach((job) => {
        if (!this.#jobs.has(job)) {
          const offered = this.#offered.get(job.record.id);
          this.#jobs.set(job, offered?.isBeyondRate ?? !this.#take(job.record));
        }
      });
  }

  isBeyondRate(job: Job): boolean {
    return this.#jobs.get(job) ?? false;
  }

  /** Returns the time until a job of an organisation is within its rate, in ms. */
  getDelayMs(organisation: string | null): number {
    const weight = this.#findWeight(organisation);
    return organisation === null || weight === null
      ? 0
      : this.#rates.getDelayMs(organisation, weight, this.#clock.getWallTime());
  }

  #take({ organisation, acceptedAtMs }: JobRecord): boolean {
    const weight = this.#findWeight(organisation);
    return (
      organisation === null ||
      weight === null ||
      this.#rates.take(organisation, weight, acceptedAtMs)
    );
  }

  #findWeight(organisation: string | null): number | null {
    const settings = this.#getConfiguration()?.organisations.find(
      ({ name }) => name === organisation,
    );
    return settings?.weight ?? null;
  }

  #pruneOffers(): void {
    const nowMs = this.#clock.getNow();
    for (const [id, { offeredAtMs }] of this.#offered) {
      if (nowMs - offeredAtMs < STORE_TIME_MS) {
        break;
      }
      this.#offered.delete(id);
    }
  }
}
