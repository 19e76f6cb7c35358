import type { DaemonAdapters } from './BaobabwellDaemonSettings';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { Logger } from '@baobabwell/logging';
import type { Row } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { getKeyRange, WatchErrorKind } from '@baobabwell/platform';
import { RetryDelay } from '@baobabwell/utils';

/**
 * Longest wait of a watch, in ms: with the time after which its connection counts as lost, less than
 * the two seconds within which a change has to be in force.
 */
const WATCH_WAIT_MS = 900;

/** Pause after a failure, in ms. */
const RETRY_MS = 100;

/** Longest pause before the store is asked again, in ms: every process asks, and its rates are shared. */
const MAX_RETRY_MS = 400;

/** Asks another process for its configuration; `null` when none answers. */
export type AskPeer = () => Promise<FleetConfiguration | null>;

/** Follows the operator's configuration; an older version is never applied. */
export class ConfigurationWatcher {
  readonly #adapters: DaemonAdapters;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #askPeer: AskPeer;

  readonly #stopped = new AbortController();

  #configuration: FleetConfiguration | null = null;

  /** Monotonic time at which the store last confirmed the configuration, in ms. */
  #confirmedAtMs: number | null = null;

  constructor(options: {
    readonly adapters: DaemonAdapters;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly askPeer: AskPeer;
  }) {
    this.#adapters = options.adapters;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#askPeer = options.askPeer;
  }

  getConfiguration(): FleetConfiguration | null {
    return this.#configuration;
  }

  /** Time since the configuration was last confirmed, in ms; `null` when it never was. */
  getAgeMs(): number | null {
    return this.#confirmedAtMs === null ? null : this.#clock.getNow() - this.#confirmedAtMs;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Follows the configuration until stopped. */
  async run(): Promise<void> {
    const { signal } = this.#stopped;
    const retry = new RetryDelay(RETRY_MS, MAX_RETRY_MS);
    let version: number | null = null;
    while (!signal.aborted) {
      const sentAtMs = this.#clock.getNow();
      version = version === null ? await this.#readAll() : await this.#watch(version);
      if (version !== null) {
        this.#confirmedAtMs = sentAtMs;
        retry.settle();
      } else if (!signal.aborted) {
        await this.#applyFromPeer();
        await this.#clock.wait(retry.advance(), signal);
      }
    }
  }

  /** Applies a configuration unless a later one is in force. */
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
    const page = await store.waitForChanges(codec.operatorTable, version, WATCH_WAIT_MS, signal);
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
    const configuration = await this.#askPeer();
    if (configuration !== null) {
      this.apply(configuration, 'peer');
    }
  }
}
