import type { Ejection, HealthHost } from './BaobabwellHostHealthModel';
import type { HostInPool, StepKey } from './BaobabwellHostHealthRecords';

import { decideEjections } from './BaobabwellHostHealthEjections';
import { HostFault } from './BaobabwellHostHealthModel';
import { HostRecords } from './BaobabwellHostHealthRecords';

/** Time after which an ejected host receives its first probe, in ms; it doubles with each failed probe. */
const FIRST_PROBE_DELAY_MS = 1_500;
const MAX_PROBE_DELAY_MS = 12_000;

/** Number of sound probes in a row after which a host is admitted again. */
const SOUND_PROBES = 2;

/** Multiple of the usual duration up to which a probe counts as sound. */
const MAX_SOUND_SLOWNESS = 2;

/**
 * Time after which a host without a probe is offered work of any size, and after as much again is admitted: work
 * of the right size, or work that ends, may never come.
 */
const UNUSED_PROBE_MS = 1_500;

/** Longest time between two tasks on a failing host that no other host may run, in ms. */
const MAX_SOLE_DELAY_MS = 2_000;

/** Interval at which the ejected hosts of a pool are decided, in ms. */
const UPDATE_INTERVAL_MS = 250;

/** How much work a host may receive. */
export enum HostAdmission {
  Full = 'full',
  /** Small work only, to find out whether the host is sound again. */
  Probe = 'probe',
  /** One task of any size, for the same reason. */
  AnyProbe = 'any-probe',
  None = 'none',
}

/** How much work a host may receive that no other host may run. */
export enum SoleAdmission {
  /** A slow host is better than none. */
  Full = 'full',
  /** One task at a time: each that fails is one attempt less. */
  Probe = 'probe',
  None = 'none',
}

type EjectedHost = Ejection & {
  readonly pool: string;
  readonly probeAtMs: number;
  readonly probeDelayMs: number;
  readonly soundProbes: number;
  /** Monotonic time of the ejection, or of the end of the latest run since then, in ms. */
  readonly lastEndAtMs: number;
};

/** Why an ejected host is admitted again. */
export enum AdmissionGround {
  /** Its probes were sound. */
  Sound = 'sound',
  /** No work came that could have been a probe. */
  Unprobed = 'unprobed',
}

/** Receives what changes. */
export type HostHealthListener = {
  readonly recordEjected: (hostId: string, ejection: Ejection) => void;
  readonly recordAdmitted: (hostId: string, ground: AdmissionGround) => void;
};

/** Ejects bad hosts from their pools, and admits them again after sound probes. */
export class HostHealth {
  readonly #records = new HostRecords();

  readonly #ejected = new Map<string, EjectedHost>();

  readonly #updatedAtMs = new Map<string, number>();

  /** Pools in which something was observed since its ejected hosts were decided. */
  readonly #changedPools = new Set<string>();

  readonly #listener: HostHealthListener;

  constructor(listener: HostHealthListener) {
    this.#listener = listener;
  }

  recordDone(host: HostInPool, key: StepKey, nowMs: number): void {
    this.#records.recordDone(host.id, key, nowMs);
  }

  recordFailure(host: HostInPool, key: StepKey, nowMs: number): void {
    this.#records.recordFailure(host.id, key, nowMs);
    this.#changedPools.add(host.pool);
    this.#recordProbe(host.id, false, nowMs);
  }

  /**
   * Records the duration of a run over the expected one.
   *
   * @param isEnded false for a run whose duration is extrapolated from its progress.
   */
  recordDuration(
    host: HostInPool,
    key: StepKey,
    { ratio, isEnded }: { readonly ratio: number; readonly isEnded: boolean },
    nowMs: number,
  ): void {
    this.#records.recordDuration(host, key, ratio, nowMs);
    this.#changedPools.add(host.pool);
    const usual = Math.max(1, this.#records.getUsualSlowness(host.pool));
    if (isEnded) {
      this.#recordProbe(host.id, ratio <= MAX_SOUND_SLOWNESS * usual, nowMs);
    }
  }

  /** Decides which hosts of a pool are ejected, unless it was done just before or nothing was observed since. */
  update(pool: string, listHosts: () => readonly HealthHost[], nowMs: number): void {
    const updatedAtMs = this.#updatedAtMs.get(pool) ?? -Infinity;
    if (!this.#changedPools.has(pool) || nowMs - updatedAtMs < UPDATE_INTERVAL_MS) {
      return;
    }
    this.#updatedAtMs.set(pool, nowMs);
    this.#changedPools.delete(pool);
    const hosts = listHosts();
    const evidence = new Map(
      hosts.flatMap(({ id }) => {
        const found = this.#records.findEvidence(id, nowMs);
        return found === null ? [] : [[id, found] as const];
      }),
    );
    const usualSlowness = this.#records.getUsualSlowness(pool);
    const ejected = this.#ejected;
    decideEjections({ hosts, evidence, usualSlowness, ejected }).forEach((ejection, id) => {
      if (!ejected.has(id)) {
        ejected.set(id, {
          ...ejection,
          pool,
          probeAtMs: nowMs + FIRST_PROBE_DELAY_MS,
          probeDelayMs: FIRST_PROBE_DELAY_MS,
          soundProbes: 0,
          lastEndAtMs: nowMs,
        });
        this.#listener.recordEjected(id, ejection);
      }
    });
  }

  /** Returns how much work a host may receive. */
  getAdmission(hostId: string, nowMs: number): HostAdmission {
    const ejected = this.#ejected.get(hostId);
    if (ejected === undefined) {
      return HostAdmission.Full;
    }
    if (nowMs < ejected.probeAtMs) {
      return HostAdmission.None;
    }
    return nowMs < ejected.probeAtMs + UNUSED_PROBE_MS
      ? HostAdmission.Probe
      : HostAdmission.AnyProbe;
  }

  /** Returns how much work a host may receive that no other host may run. */
  getSoleAdmission(hostId: string, nowMs: number): SoleAdmission {
    const ejected = this.#ejected.get(hostId);
    if (ejected === undefined || ejected.fault === HostFault.Slow) {
      return SoleAdmission.Full;
    }
    const fromMs = Math.min(ejected.probeAtMs, ejected.lastEndAtMs + MAX_SOLE_DELAY_MS);
    return nowMs >= fromMs ? SoleAdmission.Probe : SoleAdmission.None;
  }

  /**
   * Admits the ejected hosts of a pool on which no probe has ended for some time, and none is under way.
   *
   * @param hasProbe tells whether work that ends is on a host.
   */
  admitUnprobed(pool: string, hasProbe: (hostId: string) => boolean, nowMs: number): void {
    this.#ejected.forEach((host, id) => {
      const isUnprobed = nowMs >= host.probeAtMs + 2 * UNUSED_PROBE_MS;
      if (host.pool === pool && isUnprobed && !hasProbe(id)) {
        this.removeHost(id);
        this.#listener.recordAdmitted(id, AdmissionGround.Unprobed);
      }
    });
  }

  /** Records a run that was done, of a step whose durations do not compare. */
  recordUntimedDone(hostId: string, nowMs: number): void {
    if (this.#ejected.get(hostId)?.fault === HostFault.Failing) {
      this.#recordProbe(hostId, true, nowMs);
    }
  }

  /** Lists the ejected hosts of a pool. */
  listEjected(pool: string): readonly string[] {
    return [...this.#ejected].filter(([, host]) => host.pool === pool).map(([id]) => id);
  }

  /** Forgets a host: another incarnation took its place, or it left the pool. */
  removeHost(hostId: string): void {
    this.#ejected.delete(hostId);
    this.#records.clearHost(hostId);
  }

  /** Forgets a step whose job has ended. */
  removeStep(step: string): void {
    this.#records.removeStep(step);
  }

  #recordProbe(hostId: string, isSound: boolean, nowMs: number): void {
    const ejected = this.#ejected.get(hostId);
    if (ejected === undefined) {
      return;
    }
    const host = { ...ejected, lastEndAtMs: nowMs };
    this.#ejected.set(hostId, host);
    if (nowMs < host.probeAtMs) {
      // Runs that started before the ejection say nothing new.
      return;
    }
    if (!isSound) {
      const probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, 2 * host.probeDelayMs);
      const probeAtMs = nowMs + probeDelayMs;
      this.#ejected.set(hostId, { ...host, probeDelayMs, probeAtMs, soundProbes: 0 });
      return;
    }
    const soundProbes = host.soundProbes + 1;
    if (soundProbes < SOUND_PROBES) {
      this.#ejected.set(hostId, { ...host, soundProbes, probeAtMs: nowMs });
      return;
    }
    this.removeHost(hostId);
    this.#listener.recordAdmitted(hostId, AdmissionGround.Sound);
  }
}
