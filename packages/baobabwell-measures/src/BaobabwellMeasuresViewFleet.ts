import type { MeasureOptions } from './BaobabwellMeasures';

import { createHash } from 'node:crypto';

import { buildEmulatedSettings, EmulatedFleet } from '@baobabwell/emulator';
import { FRESHNESS, VIEW_STORE } from '@baobabwell/entry';
import { Outcome } from '@baobabwell/model';
import { NO_PLATFORM_FAULTS } from '@baobabwell/stand-ins';
import { checkInvariant, Random } from '@baobabwell/utils';

import { Deployment } from './BaobabwellMeasures';

const ENTRIES: Readonly<Record<Deployment, number>> = {
  [Deployment.Braudvakt]: 9,
  [Deployment.Agenda]: 7,
};
const LATENCY_MS = 2;
const STEP_MS = 1;
const CHANGE_TIMEOUT_MS = 5_000;
const SETTLE_MS = 6_000;
const CALL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** Sources from which entries receive changes. */
export enum ViewExchange {
  /** The table service and the other entries. */
  Full = 'full',
  /** The table service only. */
  StoreOnly = 'store-only',
}

/** A key as the reply to the operator contains it. */
export type GrantedKey = {
  readonly id: string;
  readonly secret: string;
};

/** Operations on the table service per second. */
export type StoreRates = {
  readonly reads: number;
  readonly writes: number;
};

/** Emulated time at which a change was requested, and had reached a majority and all entries. */
export type ChangeTimes = {
  readonly requestedAt: number;
  readonly acceptedAt: number;
  readonly inForceAt: number;
};

function getNote(notes: readonly string[], name: string): string {
  const note = notes.find((line) => line.startsWith(`${name} `));
  checkInvariant(note !== undefined, `the reply has no note ${name}`);
  return note.slice(name.length + 1);
}

/** Emulated deployment for the measures of the view. */
export class ViewFleet {
  readonly fleet: EmulatedFleet;

  readonly names: readonly string[];

  readonly random: Random;

  readonly #exchange: ViewExchange;

  private constructor({ deployment, seed }: MeasureOptions, exchange: ViewExchange) {
    const settings = buildEmulatedSettings({
      entries: ENTRIES[deployment],
      pools: [{ id: 'ovens', workers: 2, minimumServing: 1, slots: 16 }],
      teams: [{ id: 'guilds', share: 1, limit: 1_000 }],
    });
    this.fleet = new EmulatedFleet(settings, seed);
    this.names = settings.entries.map(({ id }) => id);
    this.random = new Random(seed);
    this.#exchange = exchange;
  }

  /** Starts a deployment and waits until it is in a steady state. */
  static async start(options: MeasureOptions, exchange: ViewExchange): Promise<ViewFleet> {
    const started = new ViewFleet(options, exchange);
    started.fleet.network.setLatency(LATENCY_MS);
    await started.fleet.startAll();
    started.restoreNetwork();
    await started.fleet.advance(SETTLE_MS);
    return started;
  }

  /** Heals all partitions except those that the kind of exchange requires. */
  restoreNetwork(): void {
    this.fleet.network.healAll();
    if (this.#exchange === ViewExchange.StoreOnly) {
      this.fleet.network.partitionBetween(this.names, this.names);
    }
  }

  /** Stops or restarts the table service. */
  applyStoreDown(down: boolean): void {
    this.fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down });
  }

  /** Grants a key through an entry. */
  async grantKey(entry: string): Promise<GrantedKey> {
    const reply = await this.fleet.settleStatement(entry, 'grant key guilds reason "measure"');
    checkInvariant(reply?.kind === 'changed', `no key was granted: ${JSON.stringify(reply)}`);
    return { id: getNote(reply.notes, 'key'), secret: getNote(reply.notes, 'secret') };
  }

  /** Makes a change and checks every millisecond which entries have applied it. */
  async measureChange(entry: string): Promise<ChangeTimes> {
    const before = this.fleet.getService(entry, VIEW_STORE).get().version;
    const requestedAt = this.fleet.time.getNow();
    const replied = this.fleet.runStatement(entry, 'grant key guilds reason "measure"');
    const acceptedAt = await this.#waitUntil(before + 1, Math.floor(this.names.length / 2) + 1);
    const inForceAt = await this.#waitUntil(before + 1, this.names.length);
    await this.fleet.time.settle(replied, CHANGE_TIMEOUT_MS);
    return { requestedAt, acceptedAt, inForceAt };
  }

  /** Returns true when an entry would start work for a key. */
  isUsable(entry: string, { secret }: GrantedKey): boolean {
    const digest = createHash('sha256').update(secret).digest('hex');
    return (
      !this.fleet.isPaused(entry) &&
      this.fleet.getService(entry, FRESHNESS).isCurrent() &&
      this.fleet.getService(entry, VIEW_STORE).get().findKey(digest) !== null
    );
  }

  /** Sends calls to all entries for a time and returns the fraction that completed. */
  async measureAnswered(key: GrantedKey, durationMs: number): Promise<number> {
    let calls = 0;
    let completed = 0;
    const endsAt = this.fleet.time.getNow() + durationMs;
    while (this.fleet.time.getNow() < endsAt) {
      this.names.forEach((entry) => {
        calls += 1;
        void this.fleet.call(entry, { queue: 'ovens', secret: key.secret }).then((result) => {
          completed += result?.outcome === Outcome.Completed ? 1 : 0;
        });
      });
      await this.fleet.advance(CALL_INTERVAL_MS);
    }
    await this.fleet.advance(SETTLE_MS);
    return completed / calls;
  }

  /** Measures operations on the table service for a time, optionally with changes at an interval. */
  async measureRates(durationMs: number, changeIntervalMs: number | null): Promise<StoreRates> {
    const before = this.fleet.tables.getCounts();
    const startedAt = this.fleet.time.getNow();
    while (this.fleet.time.getNow() < startedAt + durationMs) {
      const nextAt = this.fleet.time.getNow() + (changeIntervalMs ?? durationMs);
      if (changeIntervalMs !== null) {
        await this.grantKey(this.random.getOneOf(this.names));
      }
      await this.fleet.advance(Math.max(0, nextAt - this.fleet.time.getNow()));
    }
    const after = this.fleet.tables.getCounts();
    const seconds = (this.fleet.time.getNow() - startedAt) / MS_PER_SECOND;
    return {
      reads: (after.reads - before.reads) / seconds,
      writes: (after.writes - before.writes) / seconds,
    };
  }

  /** Closes the emulated fleet. */
  close(): void {
    this.fleet.close();
  }

  async #waitUntil(version: number, count: number): Promise<number> {
    const limit = this.fleet.time.getNow() + CHANGE_TIMEOUT_MS;
    while (this.#countEntriesAt(version) < count && this.fleet.time.getNow() < limit) {
      await this.fleet.advance(STEP_MS);
    }
    return this.fleet.time.getNow();
  }

  #countEntriesAt(version: number): number {
    return this.names.filter(
      (entry) => this.fleet.getService(entry, VIEW_STORE).get().version >= version,
    ).length;
  }
}
