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

/** Requests the configuration of another process; resolves to `null` when none answers. */
export type RequestPeerConfiguration = () => Promise<FleetConfiguration | null>;

/** Watches the operator's configuration; never applies an older version. */
export class ConfigurationWatcher {
  readonly #adapters: DaemonAdapters;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #requestPeerConfiguration: RequestPeerConfiguration;

  readonly #stopped = new AbortController();

  #configuration: FleetConfiguration | null = null;

  /** Monotonic time at which the store last confirmed the configuration, in ms. */
  #confirmedAtMs: number | null = null;

  constructor(options: {
    readonly adapters: DaemonAdapters;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly requestPeerConfiguration: RequestPeerConfiguration;
  }) {
    this.#adapters = options.adapters;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#requestPeerConfiguration = options.requestPeerConfiguration;
  }

  getConfiguration(): FleetConfiguration | null {
    return this.#configuration;
  }

  /** Returns the time since the configuration was last confirmed, in ms; `null` if it never was. */
  getAgeMs(): number | null {
    return this.#confirmedAtMs === null ? null : this.#clock.getNow() - this.#confirmedAtMs;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Watches the configuration until {@link stop} is called. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    const retryDelay = new RetryDelay(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    let version: number | null = null;
    while (!signal.aborted) {
      const sentAtMs = this.#clock.getNow();
      version = version === null ? await this.#readAll() : await this.#watch(version);
      if (version !== null) {
        this.#confirmedAtMs = sentAtMs;
        retryDelay.reset();
      } else if (!signal.aborted) {
        await this.#applyFromPeer();
        await this.#clock.wait(retryDelay.advance(), signal);
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

  async #readAll(): Promise<number | null> {
    const { store, codec, configurationKey } = this.#adapters;
    const page = await store.list(getKeyRange(codec.operatorTable, configurationKey));
    if (!page.ok) {
      this.#logger.recordWarning('configuration-not-read', { reason: page.error.kind });
      return null;
    }
    page.value.rows.forEach((row) => this.#applyRow(row));
    return page.value.version;
  }

  async #watch(version: number): Promise<number | null> {
    const { store, codec } = this.#adapters;
    const { signal } = this.#stopped;
    const page = await store.waitForChanges(codec.operatorTable, version, WATCH_TIMEOUT_MS, signal);
    if (page.ok) {
      page.value.rows.forEach((row) => this.#applyRow(row));
      return page.value.version;
    }
    if (!signal.aborted) {
      this.#logger.recordWarning('configuration-watch-failed', {
        cause: page.error.cause,
        ageMs: Math.round(this.getAgeMs() ?? -1),
        isHistoryGone: page.error.kind === WatchErrorKind.HistoryCompacted,
      });
    }
    return null;
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

  async #applyFromPeer(): Promise<void> {
    const configuration = await this.#requestPeerConfiguration();
    if (configuration !== null) {
      this.apply(configuration, 'peer');
    }
  }
}
