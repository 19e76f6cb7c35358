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
const CHANGE_LIMIT_MS = 5_000;
const SETTLE_MS = 6_000;
const CALL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** How entries learn of changes. */
export enum ViewExchange {
  /** From the table service and from each other. */
  Full = 'full',
  /** From the table service alone. */
  StoreOnly = 'store-only',
}

/** A key as it was shown to the operator. */
export type GrantedKey = {
  readonly id: string;
  readonly secret: string;
};

/** Operations on the table service for each second. */
export type StoreRates = {
  readonly reads: number;
  readonly writes: number;
};

/** When a change was asked for, had reached a majority, and all, in emulated milliseconds. */
export type ChangeTimes = {
  readonly askedAt: number;
  readonly acceptedAt: number;
  readonly inForceAt: number;
};

function getNote(notes: readonly string[], name: string): string {
  const note = notes.find((line) => line.startsWith(`${name} `));
  checkInvariant(note !== undefined, `no note ${name}`);
  return note.slice(name.length + 1);
}

/** The deployment on which the measures of the view are taken. */
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

  /** Starts a deployment and waits until it is at rest. */
  static async start(options: MeasureOptions, exchange: ViewExchange): Promise<ViewFleet> {
    const started = new ViewFleet(options, exchange);
    started.fleet.network.setLatency(LATENCY_MS);
    await started.fleet.startAll();
    started.restoreNetwork();
    await started.fleet.advance(SETTLE_MS);
    return started;
  }

  /** Ends all cuts but those that the kind of exchange asks for. */
  restoreNetwork(): void {
    this.fleet.network.healAll();
    if (this.#exchange === ViewExchange.StoreOnly) {
      this.fleet.network.partitionBetween(this.names, this.names);
    }
  }

  /** Makes the table service fail, or work again. */
  applyStoreDown(down: boolean): void {
    this.fleet.tables.applyFaults({ ...NO_PLATFORM_FAULTS, down });
  }

  /** Grants a key. */
  async grantKey(entry: string): Promise<GrantedKey> {
    const reply = await this.fleet.settleStatement(entry, 'grant key guilds reason "measure"');
    checkInvariant(reply?.kind === 'changed', `no key: ${JSON.stringify(reply)}`);
    return { id: getNote(reply.notes, 'key'), secret: getNote(reply.notes, 'secret') };
  }

  /** Makes a change and watches each millisecond how far it has come. */
  async measureChange(entry: string): Promise<ChangeTimes> {
    const before = this.fleet.getService(entry, VIEW_STORE).get().version;
    const askedAt = this.fleet.time.getNow();
    const replied = this.fleet.runStatement(entry, 'grant key guilds reason "measure"');
    const acceptedAt = await this.#waitUntil(before + 1, Math.floor(this.names.length / 2) + 1);
    const inForceAt = await this.#waitUntil(before + 1, this.names.length);
    await this.fleet.time.settle(replied, CHANGE_LIMIT_MS);
    return { askedAt, acceptedAt, inForceAt };
  }

  /** True while an entry would start work for a key. */
  isUsable(entry: string, { secret }: GrantedKey): boolean {
    const digest = createHash('sha256').update(secret).digest('hex');
    return (
      !this.fleet.isPaused(entry) &&
      this.fleet.getService(entry, FRESHNESS).isCurrent() &&
      this.fleet.getService(entry, VIEW_STORE).get().findKey(digest) !== null
    );
  }

  /** Share of calls, made at all entries over a time, that were completed. */
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

  /** Operations on the table service over a time, with changes at an interval. */
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

  /** Ends the deployment. */
  close(): void {
    this.fleet.close();
  }

  async #waitUntil(version: number, count: number): Promise<number> {
    const limit = this.fleet.time.getNow() + CHANGE_LIMIT_MS;
    while (this.#countHolders(version) < count && this.fleet.time.getNow() < limit) {
      await this.fleet.advance(STEP_MS);
    }
    return this.fleet.time.getNow();
  }

  #countHolders(version: number): number {
    return this.names.filter(
      (entry) => this.fleet.getService(entry, VIEW_STORE).get().version >= version,
    ).length;
  }
}
