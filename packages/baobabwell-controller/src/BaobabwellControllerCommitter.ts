import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { Job, JobState } from '@baobabwell/jobs';
import type { JsonValue, RowCondition, RowWrite } from '@baobabwell/platform';

import { PROGRESS_TABLE } from '@baobabwell/ingress';
import { createJobProgress, parseJobProgress } from '@baobabwell/jobs';
import { TableErrorKind } from '@baobabwell/platform';
import { RetryDelay, Waker } from '@baobabwell/utils';

import {
  COMMIT_ENTRIES,
  COMMIT_GATHER_MS,
  COMMIT_HOSTS,
  COMMIT_IDLE_MS,
  COMMIT_RETRY_MS,
  HOSTS_TABLE,
  MAX_COMMIT_RETRY_MS,
} from './BaobabwellControllerConstants';

type Batch = {
  readonly jobs: readonly { readonly job: Job; readonly state: JobState }[];
  readonly registered: readonly Host[];
  readonly removedHosts: readonly string[];
  /** Positions of ends that this batch makes last. */
  readonly ends: readonly { readonly host: Host; readonly position: number }[];
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
};

/** Stores progress in groups, one transaction after the other. */
export class Committer {
  readonly #context: TermContext;

  readonly #requestHold: (hostId: string) => void;

  readonly #removedHosts = new Set<string>();

  readonly #waker: Waker;

  readonly #retry = new RetryDelay(COMMIT_RETRY_MS, MAX_COMMIT_RETRY_MS);

  #isRequested = false;

  constructor(context: TermContext, requestHold: (hostId: string) => void) {
    this.#context = context;
    this.#waker = new Waker(context.clock);
    this.#requestHold = requestHold;
  }

  /** Something has to be stored. */
  request(): void {
    this.#isRequested = true;
    this.#waker.wake();
  }

  /** Forgets a host life on which nothing can be running any more. */
  removeHost(hostId: string): void {
    this.#removedHosts.add(hostId);
    this.request();
  }

  /** Stores what was requested, until the term ends. */
  async run(): Promise<void> {
    const { signal, clock } = this.#context;
    while (!signal.aborted) {
      if (!this.#isRequested) {
        await this.#waker.wait(COMMIT_IDLE_MS, signal);
        await clock.wait(COMMIT_GATHER_MS, signal);
      }
      if (!signal.aborted) {
        await this.commitOnce();
      }
    }
  }

  /** Stores one batch of what is pending. */
  async commitOnce(): Promise<void> {
    this.#isRequested = false;
    const batch = this.#createBatch();
    if (batch.writes.length === 0) {
      this.#recordStored(batch, 0);
      return;
    }
    const { ownership, term } = this.#context;
    const reply = await ownership.commit(term, batch.conditions, batch.writes);
    if (reply.ok) {
      this.#retry.settle();
      this.#recordStored(batch, reply.value);
      return;
    }
    batch.jobs.forEach(({ job }) => this.#context.ledger.addUnsavedJob(job));
    batch.removedHosts.forEach((hostId) => this.#removedHosts.add(hostId));
    this.#isRequested = true;
    const { kind } = reply.error;
    this.#context.logger.recordWarning('progress-not-stored', {
      jobs: batch.jobs.length,
      reason: kind,
      cause: reply.error.kind === TableErrorKind.Unavailable ? reply.error.cause : null,
    });
    if (reply.error.kind === TableErrorKind.Conflict && !this.#context.signal.aborted) {
      await this.#adoptVersions(batch);
    }
    await this.#context.clock.wait(this.#retry.advance(), this.#context.signal);
  }

  #createBatch(): Batch {
    const { ledger, hosts } = this.#context;
    const registered = [...hosts.values()]
      .filter(
        ({ isRegistered, isReachable, listed, hasClock }) =>
          !isRegistered && isReachable && listed !== null && hasClock,
      )
      .slice(0, COMMIT_HOSTS);
    const kept = new Set(registered.map(({ life }) => life.id));
    const removedHosts = [...this.#removedHosts]
      .filter((hostId) => !kept.has(hostId))
      .slice(0, COMMIT_HOSTS - registered.length);
    // A host takes one entry, a job one for its condition and one for its row.
    const hostEntries = registered.length + removedHosts.length;
    const jobCount = Math.floor((COMMIT_ENTRIES - hostEntries) / 2);
    const changed = [...ledger.listUnsavedJobs()].slice(0, jobCount);
    const isWhole = changed.length === ledger.listUnsavedJobs().size;
    changed.forEach((job) => ledger.removeUnsavedJob(job));
    removedHosts.forEach((hostId) => this.#removedHosts.delete(hostId));
    kept.forEach((hostId) => this.#removedHosts.delete(hostId));
    if (!isWhole || this.#removedHosts.size > 0 || registered.length === COMMIT_HOSTS) {
      this.#isRequested = true;
    }
    return {
      jobs: changed.map((job) => ({ job, state: job.state })),
      registered,
      removedHosts,
      ends: isWhole
        ? [...hosts.values()]
            .filter(({ appliedEnd, storedEnd }) => appliedEnd > storedEnd)
            .map((host) => ({ host, position: host.appliedEnd }))
        : [],
      conditions: changed.map(({ record, progressVersion }) => ({
        table: PROGRESS_TABLE,
        key: record.id,
        version: progressVersion,
      })),
      writes: [
        ...changed.map((job) => ({
          table: PROGRESS_TABLE,
          key: job.record.id,
          value: createJobProgress(job) as unknown as JsonValue,
        })),
        ...registered.map(({ life, pool, bornMs }) => ({
          table: HOSTS_TABLE,
          key: life.id,
          value: { address: life.address, pool, bornMs },
        })),
        ...removedHosts.map((key) => ({ table: HOSTS_TABLE, key, value: null })),
      ],
    };
  }

  #recordStored(batch: Batch, version: number): void {
    const { ledger, requestDispatch } = this.#context;
    batch.jobs.forEach(({ job, state }) => ledger.recordStored(job, state, version));
    batch.registered.forEach((host) => {
      const known = host;
      known.isRegistered = true;
      requestDispatch();
    });
    batch.ends.forEach(({ host, position }) => {
      const known = host;
      known.storedEnd = Math.max(known.storedEnd, position);
      this.#requestHold(host.life.id);
    });
  }

  /** A transaction whose answer was lost may have been applied: goes on from what is stored. */
  async #adoptVersions({ jobs }: Batch): Promise<void> {
    const { store, ledger } = this.#context;
    await Promise.all(
      jobs.map(async ({ job }) => {
        const read = await store.read(PROGRESS_TABLE, job.record.id);
        if (read.ok && read.value !== null && parseJobProgress(read.value.value) !== null) {
          ledger.recordStored(job, job.storedState, read.value.version);
        }
      }),
    );
  }
}
