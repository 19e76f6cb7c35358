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
  PROBE_INTERVAL_MS,
  UNREACHABLE_PROBE_FAILURES,
} from './BaobabwellMaintenanceConstants';

/** Dependencies of a {@link HostHealthMonitor}. */
export type HostHealthMonitorDependencies = {
  readonly getView: () => FleetView;
  readonly hostList: HostList;
  readonly control: HostControl;
  readonly clock: Clock;
};

type ProbeState = {
  consecutiveFailures: number;
  /** Monotonic time at which the last successful probe was sent. */
  answeredProbeSentAt: number | null;
  status: HostStatus | null;
};

/** Polls the host list and probes every host. */
export class HostHealthMonitor {
  readonly #dependencies: HostHealthMonitorDependencies;

  readonly #probes = new Map<string, ProbeState>();

  readonly #stopped = new AbortController();

  #listedHosts: ReadonlySet<string> | null = null;

  #listedAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: HostHealthMonitorDependencies) {
    this.#dependencies = dependencies;
  }

  /** Returns the current evidence about a host. */
  getEvidence(host: string): HostEvidence {
    const probe = this.#probes.get(host);
    if (probe === undefined && this.#listedHosts === null) {
      return NO_EVIDENCE;
    }
    return {
      isListed: this.#isListed(host),
      isReachable: this.#isReachable(probe),
      running: probe?.status?.running ?? null,
    };
  }

  /** Returns the number of consecutive failed probes of a host. */
  getConsecutiveProbeFailures(host: string): number {
    return this.#probes.get(host)?.consecutiveFailures ?? 0;
  }

  /** Probes a host immediately; returns `null` if the probe fails. */
  async probe(host: Host): Promise<HostStatus | null> {
    const { control, clock } = this.#dependencies;
    const sentAt = clock.getNow();
    const answer = await control.probe(host);
    const state = this.#probes.get(host.id) ?? {
      consecutiveFailures: 0,
      answeredProbeSentAt: null,
      status: null,
    };
    this.#probes.set(host.id, state);
    if (!answer.ok) {
      state.consecutiveFailures += 1;
      return null;
    }
    state.consecutiveFailures = 0;
    state.answeredProbeSentAt = sentAt;
    state.status = answer.value;
    return answer.value;
  }

  /** Probes the hosts and reads the host list until {@link stop} is called. */
  async run(): Promise<void> {
    await Promise.all([this.#pollHostList(), this.#probeHosts()]);
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #pollHostList(): Promise<void> {
    const { hostList, clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      const sentAt = clock.getNow();
      const listed = await hostList.list();
      // Ignores an empty list: it indicates a faulty host list, not a fleet without hosts.
      if (listed.ok && listed.value.length > 0) {
        this.#listedHosts = new Set(listed.value.map(({ id }) => id));
        this.#listedAt = sentAt;
      }
      await clock.wait(HOST_LIST_INTERVAL_MS, this.#stopped.signal);
    }
  }

  async #probeHosts(): Promise<void> {
    const { getView, clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      const hosts = getView().list(EntityKind.Host);
      const currentIds = new Set(hosts.map(({ id }) => id));
      [...this.#probes.keys()]
        .filter((id) => !currentIds.has(id))
        .forEach((id) => this.#probes.delete(id));
      await Promise.all(hosts.map(async (host) => this.probe(host)));
      await clock.wait(PROBE_INTERVAL_MS, this.#stopped.signal);
    }
  }

  #isListed(host: string): boolean | null {
    const age = this.#dependencies.clock.getNow() - this.#listedAt;
    return this.#listedHosts === null || age > HOST_LIST_MAX_AGE_MS
      ? null
      : this.#listedHosts.has(host);
  }

  #isReachable(probe: ProbeState | undefined): boolean | null {
    if (probe === undefined) {
      return null;
    }
    return probe.consecutiveFailures < UNREACHABLE_PROBE_FAILURES;
  }
}
