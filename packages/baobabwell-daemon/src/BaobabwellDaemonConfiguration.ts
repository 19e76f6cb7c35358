import type { DaemonAdapters } from './BaobabwellDaemonSettings';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { Logger } from '@baobabwell/logging';
import type { Row } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { getKeyRange, WatchErrorKind } from '@baobabwell/platform';
import { RetryDelay } from '@baobabwell/utils';

/**
 * Maximum duration of one watch, in ms. Together with the time after which its connection counts as
 * lost, it stays below the 2 seconds within which a configuration change must take effect.
 */
const WATCH_TIMEOUT_MS = 900;

/** Delay after a first failure, in ms. */
const MIN_RETRY_DELAY_MS = 100;

/**
 * Maximum delay before the store is read again, in ms. Delays grow up to it because all processes
 * read the store and share its rate limits.
 */
const MAX_RETRY_DELAY_MS = 400;

/** Age of the configuration from which peers are asked for a newer one, in ms: a watch then had no answer. */
const MIN_PEER_REQUEST_AGE_MS = 1_500;

/** Interval between two requests to peers, in ms. */
const PEER_REQUEST_INTERVAL_MS = 250;

/** Age up to which a peer's report counts, in ms: by then all peers of a small fleet were asked in turn. */
const MAX_REPORT_AGE_MS = 1_200;

/** Time for which an accepted call may still be on its way, in ms. */
const CALL_TRANSIT_MS = 500;

/** What another process knows of the configuration. */
export type ConfigurationReport = {
  readonly version: number;
  /** Time since the store confirmed the configuration, in ms. */
  readonly ageMs: number;
  /** The configuration, unless the process that asked knows it. */
  readonly configuration: FleetConfiguration | null;
};

/** Requests reports from some peers; each that arrives is given to `record`. */
export type RequestReports = (
  knownVersion: number | null,
  record: (report: ConfigurationReport) => void,
) => void;

/** Requests a report from one peer; resolves to `null` without an answer. */
export type RequestConfiguration = (
  knownVersion: number | null,
) => Promise<ConfigurationReport | null>;

/** Known version with which a peer reports its version without the configuration, which may be some MB. */
const ANY_VERSION = Number.MAX_SAFE_INTEGER;

/**
 * Watches the operator's configuration; never applies an older version. Where the store turns this process
 * away, its peers tell what they read there.
 */
export class ConfigurationWatcher {
  readonly #adapters: DaemonAdapters;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #requestReports: RequestReports;

  readonly #requestConfiguration: RequestConfiguration;

  readonly #maxAgeMs: number;

  readonly #stopped = new AbortController();

  #configuration: FleetConfiguration | null = null;

  /** Monotonic time at which the store last confirmed the configuration to this process or a peer, in ms. */
  #confirmedAtMs: number | null = null;

  /** Monotonic time at which a peer was asked that has reported, in ms. */
  #reportedAtMs = -Infinity;

  /** Latest version that a peer has reported. */
  #reportedVersion = 0;

  #wasOutdated = false;

  /** True from a call to the store without an answer until the next answer. */
  #isStoreFailing = false;

  #isRequestingConfiguration = false;

  /** Version up to which changes were seen; `null` while only a read of all rows shows them. */
  #watchedVersion: number | null = null;

  /** Calls that wait until the configuration is confirmed. */
  readonly #waiters = new Set<() => void>();

  #isConfirming = false;

  /** Version that the store has reached at least, as its answers told. */
  #storeVersion = 0;

  constructor(options: {
    readonly adapters: DaemonAdapters;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Longest time after which a change of the configuration has to be in force, in ms. */
    readonly maxAgeMs: number;
    readonly requestReports: RequestReports;
    readonly requestConfiguration: RequestConfiguration;
  }) {
    this.#adapters = options.adapters;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#maxAgeMs = options.maxAgeMs;
    this.#requestReports = options.requestReports;
    this.#requestConfiguration = options.requestConfiguration;
  }

  getConfiguration(): FleetConfiguration | null {
    return this.#configuration;
  }

  /** Returns the time since the configuration was last confirmed, in ms; `null` if it never was. */
  getAgeMs(): number | null {
    return this.#confirmedAtMs === null ? null : this.#clock.getNow() - this.#confirmedAtMs;
  }

  /**
   * Returns true while a change of the configuration may be in force of which this process cannot know: the
   * store does not answer, and no peer does or one of them knows a later configuration.
   */
  isOutdated(): boolean {
    const ageMs = this.getAgeMs();
    const hasReports = this.#clock.getNow() - this.#reportedAtMs <= MAX_REPORT_AGE_MS;
    const isOutdated =
      ageMs !== null &&
      ageMs > this.#maxAgeMs - CALL_TRANSIT_MS &&
      (!hasReports || this.#isBehindPeers());
    if (isOutdated !== this.#wasOutdated) {
      this.#wasOutdated = isOutdated;
      const version = this.#configuration?.version ?? null;
      this.#logger.recordWarning(isOutdated ? 'configuration-outdated' : 'configuration-current', {
        version,
        ageMs: Math.round(ageMs ?? 0),
      });
    }
    return isOutdated;
  }

  /**
   * Waits until the configuration is not outdated, at most for a time in ms. The store and the peers are
   * asked once for all that wait. Returns false if neither confirmed the configuration in time.
   */
  async waitUntilCurrent(maxMs: number): Promise<boolean> {
    if (!this.isOutdated()) {
      return true;
    }
    return new Promise((resolve) => {
      const end = (): void => {
        cancelTimer();
        this.#waiters.delete(end);
        resolve(!this.isOutdated());
      };
      const cancelTimer = this.#clock.startTimer(maxMs, end);
      this.#waiters.add(end);
      void this.#runConfirmation();
    });
  }

  /** Creates the report for a peer that knows a version; `null` before the first configuration. */
  createReport(knownVersion: number | null): ConfigurationReport | null {
    const ageMs = this.getAgeMs();
    const configuration = this.#configuration;
    if (configuration === null || ageMs === null) {
      return null;
    }
    const { version } = configuration;
    const isKnown = knownVersion !== null && knownVersion >= version;
    return { version, ageMs, configuration: isKnown ? null : configuration };
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Watches the configuration until {@link stop} is called. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    const retryDelay = new RetryDelay(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    while (!signal.aborted) {
      this.#watchedVersion =
        this.#watchedVersion === null
          ? await this.#readAll()
          : await this.#watch(this.#watchedVersion);
      if (!this.#isStoreFailing) {
        retryDelay.reset();
      } else if (!signal.aborted) {
        await this.#clock.wait(retryDelay.advance(), signal);
      }
    }
  }

  /** Asks peers while the store does not confirm the configuration, until {@link stop} is called. */
  async runPeerRequests(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#clock.wait(PEER_REQUEST_INTERVAL_MS, signal);
      if (!signal.aborted && (this.getAgeMs() ?? Infinity) > MIN_PEER_REQUEST_AGE_MS) {
        this.#askPeers();
      }
    }
  }

  /** Applies a configuration unless the current one has the same or a later version. */
  apply(configuration: FleetConfiguration, source: string): void {
    const before = this.#configuration?.version ?? null;
    if (before !== null && configuration.version <= before) {
      return;
    }
    this.#configuration = configuration;
    this.#logger.recordInfo('configuration-applied', {
      version: configuration.version,
      before,
      source,
      queues: configuration.queues.length,
      organisations: configuration.organisations.length,
    });
  }

  /**
   * Asks some peers for what they know, and one for the configuration while the store does not bring a later
   * one. Does not wait, because peers that do not answer must not delay the next request.
   */
  #askPeers(): void {
    const requestedAtMs = this.#clock.getNow();
    this.#requestReports(ANY_VERSION, (report) => this.#applyReport(report, requestedAtMs));
    if (this.#isBehindPeers() && this.#isStoreFailing) {
      void this.#readFromPeer();
    }
  }

  /** Asks peers, beside the watch of the store, while somebody waits for a confirmation. */
  async #runConfirmation(): Promise<void> {
    if (this.#isConfirming) {
      return;
    }
    const { signal } = this.#stopped;
    this.#isConfirming = true;
    while (this.#waiters.size > 0 && !signal.aborted) {
      this.#askPeers();
      if (this.#isStoreFailing && this.#watchedVersion !== null) {
        await this.#watch(this.#watchedVersion);
      }
      await this.#clock.wait(MIN_RETRY_DELAY_MS, signal);
    }
    this.#isConfirming = false;
  }

  async #readAll(): Promise<number | null> {
    const { store, codec, configurationKey } = this.#adapters;
    const sentAtMs = this.#clock.getNow();
    const page = await store.list(getKeyRange(codec.operatorTable, configurationKey));
    this.#isStoreFailing = !page.ok || page.value.version < this.#storeVersion;
    if (!page.ok) {
      this.#logger.recordWarning('configuration-not-read', { reason: page.error.kind });
      return null;
    }
    const { rows, version } = page.value;
    if (version < this.#storeVersion) {
      const minVersion = this.#storeVersion;
      this.#logger.recordWarning('configuration-read-behind', { version, minVersion });
      return null;
    }
    this.#storeVersion = version;
    rows.forEach((row) => this.#applyRow(row));
    this.#confirm(sentAtMs);
    return version;
  }

  /** Waits for changes after a version; returns `null` when they can only be seen by reading all rows. */
  async #watch(version: number): Promise<number | null> {
    const { store, codec } = this.#adapters;
    const { signal } = this.#stopped;
    const sentAtMs = this.#clock.getNow();
    const waitMs = this.#isStoreFailing ? 0 : WATCH_TIMEOUT_MS;
    const page = await store.waitForChanges(codec.operatorTable, version, waitMs, signal);
    this.#isStoreFailing = !page.ok;
    if (page.ok) {
      page.value.rows.forEach((row) => this.#applyRow(row));
      // The store answers without changes only after the whole wait, and so as of its end.
      const endsAtMs = sentAtMs + waitMs;
      const isTimedOut = page.value.rows.length === 0 && this.#clock.getNow() >= endsAtMs;
      this.#confirm(isTimedOut ? endsAtMs : sentAtMs);
      this.#storeVersion = Math.max(this.#storeVersion, page.value.version);
      return page.value.version;
    }
    const isHistoryGone = page.error.kind === WatchErrorKind.HistoryCompacted;
    if (isHistoryGone) {
      // Only changes after the requested version can be missing.
      this.#storeVersion = Math.max(this.#storeVersion, version + 1);
    }
    if (!signal.aborted) {
      this.#logger.recordWarning('configuration-watch-failed', {
        cause: page.error.cause,
        ageMs: Math.round(this.getAgeMs() ?? -1),
        isHistoryGone,
      });
    }
    return isHistoryGone ? null : version;
  }

  #applyRow({ key, value }: Row): void {
    if (key !== this.#adapters.configurationKey || value === null) {
      return;
    }
    const configuration = this.#adapters.decodeConfiguration(value);
    if (configuration === null) {
      this.#logger.recordError('configuration-not-understood', { key });
      return;
    }
    this.apply(configuration, 'store');
  }

  #applyReport(
    { version, ageMs, configuration }: ConfigurationReport,
    requestedAtMs: number,
  ): void {
    if (configuration !== null) {
      this.apply(configuration, 'peer');
    }
    this.#reportedAtMs = Math.max(this.#reportedAtMs, requestedAtMs);
    this.#reportedVersion = Math.max(this.#reportedVersion, version);
    if (version === this.#configuration?.version) {
      // A busy peer reads the age late; counted from the report's arrival, an old answer would seem new.
      this.#confirm(requestedAtMs - ageMs);
    }
    this.#endWaiting();
  }

  #isBehindPeers(): boolean {
    return this.#reportedVersion > (this.#configuration?.version ?? 0);
  }

  /** Reads the configuration from one peer at a time: each transfer takes its share of the link. */
  async #readFromPeer(): Promise<void> {
    if (this.#isRequestingConfiguration) {
      return;
    }
    this.#isRequestingConfiguration = true;
    const requestedAtMs = this.#clock.getNow();
    const report = await this.#requestConfiguration(this.#configuration?.version ?? null);
    this.#isRequestingConfiguration = false;
    if (report !== null) {
      this.#applyReport(report, requestedAtMs);
    }
  }

  #confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, atMs);
    this.#endWaiting();
  }

  #endWaiting(): void {
    if (this.#waiters.size > 0 && !this.isOutdated()) {
      this.#waiters.forEach((end) => end());
    }
  }
}
