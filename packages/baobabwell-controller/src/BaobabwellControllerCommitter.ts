import type { TermContext } from './BaobabwellControllerContext';
import type { Host } from './BaobabwellControllerHost';
import type { IncarnationState } from './BaobabwellControllerIncarnationState';
import type { Job, JobState } from '@baobabwell/jobs';
import type { JsonValue, Row, RowCondition, RowWrite, TableError } from '@baobabwell/platform';

import { PROGRESS_TABLE } from '@baobabwell/ingress';
import { createProgressRow, parseJobProgress } from '@baobabwell/jobs';
import { TableErrorKind } from '@baobabwell/platform';
import { Activity } from '@baobabwell/processor-time';
import { RetryDelay, WakeSignal } from '@baobabwell/utils';

import {
  COMMIT_BATCHING_MS,
  COMMIT_RETRY_MS,
  HOSTS_TABLE,
  MAX_COMMIT_BYTES,
  MAX_COMMIT_ENTRIES,
  MAX_COMMIT_HOSTS,
  MAX_COMMIT_RETRY_MS,
  MAX_COMMIT_WAIT_MS,
} from './BaobabwellControllerConstants';

type Batch = {
  readonly jobs: readonly {
    readonly job: Job;
    readonly state: JobState;
    readonly notifyStored: readonly (() => void)[];
  }[];
  readonly addedHosts: readonly Host[];
  readonly removedHosts: readonly string[];
  /** Positions of the run ends whose effects this batch makes durable. */
  readonly ends: readonly {
    readonly host: Host;
    readonly state: IncarnationState;
    readonly position: number;
  }[];
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
};

/** Stores progress in batches, one transaction after the other. */
export class Committer {
  readonly #context: TermContext;

  readonly #requestHold: (hostId: string) => void;

  readonly #removedHosts = new Set<string>();

  /** Versions of the stored host rows, as far as known. */
  readonly #hostRowVersions = new Map<string, number>();

  /** Callbacks to call once the present progress of a job is stored. */
  readonly #storedCallbacks = new Map<Job, (() => void)[]>();

  readonly #wakeSignal: WakeSignal;

  readonly #retry = new RetryDelay(COMMIT_RETRY_MS, MAX_COMMIT_RETRY_MS);

  #isRequested = false;

  constructor(context: TermContext, requestHold: (hostId: string) => void) {
    this.#context = context;
    this.#wakeSignal = new WakeSignal(context.clock);
    this.#requestHold = requestHold;
  }

  /** Requests a commit of the pending changes. */
  request(): void {
    this.#isRequested = true;
    this.#wakeSignal.notify();
  }

  /** Stores the present progress of a job; never settles if the term ends first. */
  async storeProgress(job: Job): Promise<void> {
    this.#context.jobRegistry.addUnsavedJob(job);
    this.request();
    await new Promise<void>((resolve) => {
      this.#addStoredCallbacks(job, [resolve]);
    });
  }

  #addStoredCallbacks(job: Job, callbacks: readonly (() => void)[]): void {
    if (callbacks.length > 0) {
      this.#storedCallbacks.set(job, [...(this.#storedCallbacks.get(job) ?? []), ...callbacks]);
    }
  }

  #takeStoredCallbacks(job: Job): readonly (() => void)[] {
    const callbacks = this.#storedCallbacks.get(job) ?? [];
    this.#storedCallbacks.delete(job);
    return callbacks;
  }

  /** Removes the stored row of a host incarnation on which nothing can be running any more. */
  removeHost(hostId: string): void {
    this.#removedHosts.add(hostId);
    this.request();
  }

  /**
   * Records the version of a host row as read from the store. The row of a host that counts as stored is
   * written again when it is missing: a transaction that was carried out late removed it.
   */
  recordHostRow({ key, value, version }: Row): void {
    if (version <= (this.#hostRowVersions.get(key) ?? 0)) {
      return;
    }
    if (value !== null) {
      this.#hostRowVersions.set(key, version);
      return;
    }
    this.#hostRowVersions.delete(key);
    const host = this.#context.hosts.get(key);
    if (host?.isRegistered === true && !this.#removedHosts.has(key)) {
      this.#context.logger.recordWarning('host-row-missing', { host: key, version });
      host.isRegistered = false;
      this.request();
    }
  }

  /** Stores pending changes on request until the term ends. */
  async run(): Promise<void> {
    const { signal, clock } = this.#context;
    while (!signal.aborted) {
      if (!this.#isRequested) {
        await this.#wakeSignal.wait(MAX_COMMIT_WAIT_MS, signal);
        await clock.wait(COMMIT_BATCHING_MS, signal);
      }
      if (!signal.aborted) {
        await this.commitOnce();
      }
    }
  }

  /** Stores one batch of the pending changes. */
  async commitOnce(): Promise<void> {
    this.#isRequested = false;
    const { processorTime } = this.#context;
    const batch = processorTime.measure(Activity.Storage, () => this.#createBatch());
    if (batch.writes.length === 0) {
      this.#recordStored(batch, 0);
      return;
    }
    const { ownership, term, handover } = this.#context;
    batch.ends.forEach(({ host, position }) => host.history.recordCommit(position));
    const reply = await processorTime.measure(Activity.Storage, async () =>
      ownership.commit(term, batch.conditions, [...batch.writes, ...handover.createWrites()]),
    );
    batch.ends.forEach(({ host }) => host.history.recordCommit(null));
    if (reply.ok) {
      const { value: version } = reply;
      this.#retry.reset();
      processorTime.measure(Activity.Storage, () => this.#recordStored(batch, version));
      return;
    }
    handover.requestStore();
    batch.jobs.forEach(({ job, notifyStored }) => {
      this.#context.jobRegistry.addUnsavedJob(job);
      this.#addStoredCallbacks(job, notifyStored);
    });
    batch.removedHosts.forEach((hostId) => this.#removedHosts.add(hostId));
    this.#isRequested = true;
    const { kind } = reply.error;
    this.#context.logger.recordWarning('progress-not-stored', {
      jobs: batch.jobs.length,
      reason: kind,
      cause: reply.error.kind === TableErrorKind.Unavailable ? reply.error.cause : null,
    });
    if (reply.error.kind === TableErrorKind.Conflict && !this.#context.signal.aborted) {
      this.#adoptHostRowVersions(batch, reply.error);
      await this.#adoptVersions(batch);
    }
    await this.#context.clock.wait(this.#retry.advance(), this.#context.signal);
  }

  #createBatch(): Batch {
    const { jobRegistry, hosts, possibleRuns } = this.#context;
    possibleRuns.takeSettledJobs().forEach((job) => jobRegistry.addUnsavedJob(job));
    const addedHosts = [...hosts.values()]
      .filter(
        ({ isRegistered, isReachable, listedWorker, hasClock }) =>
          !isRegistered && isReachable && listedWorker !== null && hasClock,
      )
      .slice(0, MAX_COMMIT_HOSTS);
    addedHosts.forEach((host) => {
      const stored = host;
      stored.mayBeStored = true;
    });
    const addedHostIds = new Set(addedHosts.map(({ incarnation }) => incarnation.id));
    const removedHosts = [...this.#removedHosts]
      .filter((hostId) => !addedHostIds.has(hostId))
      .slice(0, Math.floor((MAX_COMMIT_HOSTS - addedHosts.length) / 2));
    // An added host takes one entry; a removed host and a job take two, for their condition and their row.
    const hostEntries = addedHosts.length + 2 * removedHosts.length;
    const jobCount = Math.floor((MAX_COMMIT_ENTRIES - hostEntries) / 2);
    const unsaved = [...jobRegistry.listUnsavedJobs()].slice(0, jobCount);
    const progressWrites = this.#createProgressWrites(unsaved);
    const changed = unsaved.slice(0, progressWrites.length);
    const hasAllChanges = changed.length === jobRegistry.listUnsavedJobs().size;
    changed.forEach((job) => jobRegistry.removeUnsavedJob(job));
    removedHosts.forEach((hostId) => this.#removedHosts.delete(hostId));
    addedHostIds.forEach((hostId) => this.#removedHosts.delete(hostId));
    if (!hasAllChanges || this.#removedHosts.size > 0 || addedHosts.length === MAX_COMMIT_HOSTS) {
      this.#isRequested = true;
    }
    return {
      jobs: changed.map((job) => ({
        job,
        state: job.state,
        notifyStored: this.#takeStoredCallbacks(job),
      })),
      addedHosts,
      removedHosts,
      ends: hasAllChanges
        ? [...hosts.values()]
            .filter(({ state }) => state.hasUnstoredEnds())
            .map((host) => ({
              host,
              state: host.state,
              position: host.state.appliedEndPosition,
            }))
        : [],
      conditions: [
        ...changed.map(({ record, progressVersion }) => ({
          table: PROGRESS_TABLE,
          key: record.id,
          version: progressVersion,
        })),
        // A removal that is carried out late must not remove the row of a host that has come back.
        ...removedHosts.map((key) => ({
          table: HOSTS_TABLE,
          key,
          version: this.#hostRowVersions.get(key) ?? 0,
        })),
      ],
      writes: [
        ...progressWrites,
        ...addedHosts.map(({ incarnation, pool, bornMs }) => ({
          table: HOSTS_TABLE,
          key: incarnation.id,
          value: { address: incarnation.address, pool, bornMs },
        })),
        ...removedHosts.map((key) => ({ table: HOSTS_TABLE, key, value: null })),
      ],
    };
  }

  /** Creates the rows of jobs, of as many as fit into one transaction. */
  #createProgressWrites(jobs: readonly Job[]): readonly RowWrite[] {
    const { logger, possibleRuns } = this.#context;
    const writes: RowWrite[] = [];
    let bytes = 0;
    for (const job of jobs) {
      const row = createProgressRow(job, possibleRuns.countLeftoverRuns(job));
      const { progress } = row;
      bytes += row.bytes;
      if (bytes > MAX_COMMIT_BYTES && writes.length > 0) {
        break;
      }
      if (progress.isShortened === true) {
        logger.recordWarning('progress-shortened', { job: job.record.id });
      }
      const value = progress as unknown as JsonValue;
      writes.push({ table: PROGRESS_TABLE, key: job.record.id, value });
    }
    return writes;
  }

  #recordStored(batch: Batch, version: number): void {
    const { jobRegistry, requestDispatch } = this.#context;
    batch.jobs.forEach(({ job, state, notifyStored }) => {
      jobRegistry.recordStored(job, state, version);
      notifyStored.forEach((notify) => notify());
    });
    batch.removedHosts.forEach((hostId) => this.#hostRowVersions.delete(hostId));
    batch.addedHosts.forEach((host) => {
      const storedHost = host;
      this.#hostRowVersions.set(host.incarnation.id, version);
      // A removal that was requested meanwhile follows with the next batch.
      storedHost.isRegistered = !this.#removedHosts.has(host.incarnation.id);
      requestDispatch();
    });
    batch.ends.forEach(({ host, state, position }) => {
      const storedState = state;
      storedState.storedEndPosition = Math.max(storedState.storedEndPosition, position);
      this.#requestHold(host.incarnation.id);
    });
  }

  /** Adopts the present versions of the rows to remove; a row that is not named is gone. */
  #adoptHostRowVersions(
    { removedHosts }: Batch,
    { conflicts }: TableError & { readonly kind: TableErrorKind.Conflict },
  ): void {
    removedHosts.forEach((hostId) => {
      const row = conflicts.find(({ table, key }) => table === HOSTS_TABLE && key === hostId);
      this.#hostRowVersions.set(hostId, row?.version ?? 0);
    });
  }

  /**
   * Adopts the stored versions of the jobs after a conflict: an earlier transaction whose answer was
   * lost may have been applied.
   */
  async #adoptVersions({ jobs }: Batch): Promise<void> {
    const { store, jobRegistry } = this.#context;
    await Promise.all(
      jobs.map(async ({ job }) => {
        const read = await store.read(PROGRESS_TABLE, job.record.id);
        if (read.ok && read.value !== null && parseJobProgress(read.value.value) !== null) {
          jobRegistry.recordStored(job, job.storedState, read.value.version);
        }
      }),
    );
  }
}
