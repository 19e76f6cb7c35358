import type { HostEvidence } from './BaobabwellMaintenance';
import type { HostControl, HostStatus } from './BaobabwellMaintenanceHostControl';
import type { FleetView, Host } from '@baobabwell/model';
import type { HostList } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { EntityKind } from '@baobabwell/model';

import { NO_EVIDENCE } from './BaobabwellMaintenance';
import {
  HOST_LIST_INTERVAL_MS,
  HOST_LIST_MAX_AGE_MS,
  PROBE_FAILURES,
  PROBE_INTERVAL_MS,
} from './BaobabwellMaintenanceConstants';

/** What the health monitor works with. */
export type HostHealthParts = {
  readonly getView: () => FleetView;
  readonly hostList: HostList;
  readonly control: HostControl;
  readonly clock: Clock;
};

type ProbeState = {
  failures: number;
  /** Monotonic time at which the last answered probe was sent. */
  answeredAt: number | null;
  status: HostStatus | null;
};

/** Follows the host list and probes every host. */
export class HostHealth {
  readonly #parts: HostHealthParts;

  readonly #probes = new Map<string, ProbeState>();

  readonly #stopped = new AbortController();

  #listed: ReadonlySet<string> | null = null;

  #listedAt = Number.NEGATIVE_INFINITY;

  constructor(parts: HostHealthParts) {
    this.#parts = parts;
  }

  /** What is known of a host now. */
  getEvidence(host: string): HostEvidence {
    const probe = this.#probes.get(host);
    if (probe === undefined && this.#listed === null) {
      return NO_EVIDENCE;
    }
    return {
      isListed: this.#isListed(host),
      isReachable: this.#isReachable(probe),
      running: probe?.status?.running ?? null,
    };
  }

  /** Number of probes of a host that failed in a row. */
  getFailedProbes(host: string): number {
    return this.#probes.get(host)?.failures ?? 0;
  }

  /** Asks a host now. */
  async probe(host: Host): Promise<HostStatus | null> {
    const { control, clock } = this.#parts;
    const sentAt = clock.getNow();
    const answer = await control.probe(host);
    const state = this.#probes.get(host.id) ?? { failures: 0, answeredAt: null, status: null };
    this.#probes.set(host.id, state);
    if (!answer.ok) {
      state.failures += 1;
      return null;
    }
    state.failures = 0;
    state.answeredAt = sentAt;
    state.status = answer.value;
    return answer.value;
  }

  /** Probes and reads until stopped. */
  async run(): Promise<void> {
    await Promise.all([this.#followHostList(), this.#probeHosts()]);
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #followHostList(): Promise<void> {
    const { hostList, clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      const sentAt = clock.getNow();
      const listed = await hostList.list();
      // A list without a single host says that the list is broken, not that the fleet is gone.
      if (listed.ok && listed.value.length > 0) {
        this.#listed = new Set(listed.value.map(({ id }) => id));
        this.#listedAt = sentAt;
      }
      await clock.wait(HOST_LIST_INTERVAL_MS, this.#stopped.signal);
    }
  }

  async #probeHosts(): Promise<void> {
    const { getView, clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      const hosts = getView().list(EntityKind.Host);
      const known = new Set(hosts.map(({ id }) => id));
      [...this.#probes.keys()]
        .filter((id) => !known.has(id))
        .forEach((id) => this.#probes.delete(id));
      await Promise.all(hosts.map(async (host) => this.probe(host)));
      await clock.wait(PROBE_INTERVAL_MS, this.#stopped.signal);
    }
  }

  #isListed(host: string): boolean | null {
    const age = this.#parts.clock.getNow() - this.#listedAt;
    return this.#listed === null || age > HOST_LIST_MAX_AGE_MS ? null : this.#listed.has(host);
  }

  #isReachable(probe: ProbeState | undefined): boolean | null {
    if (probe === undefined) {
      return null;
    }
    return probe.failures < PROBE_FAILURES;
  }
}
