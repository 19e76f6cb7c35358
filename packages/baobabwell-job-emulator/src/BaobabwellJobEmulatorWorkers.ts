import type { EmulatedHost } from './BaobabwellJobEmulatorHost';
import type { EmulatedRows } from './BaobabwellJobEmulatorStore';
import type { ListedWorker } from '@baobabwell/fleet';
import type { Resources } from '@baobabwell/jobs';
import type { JsonValue } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { POOL } from './BaobabwellJobEmulatorConfiguration';
import { getAddress } from './BaobabwellJobEmulatorNames';

export const WORKERS_TABLE = 'workers';

/** Creates the listing of a host that has just started. */
export function createListedWorker(
  { id, bornMs }: EmulatedHost,
  zone: string,
  capacity: Resources,
): ListedWorker {
  return {
    id,
    address: getAddress(id),
    pool: POOL,
    zone,
    labels: [],
    capacity,
    isDraining: false,
    leavesInMs: null,
    coldLeftMs: 0,
    bornMs,
  };
}

/** Writes the rows in which hosts report about themselves. */
export class EmulatedWorkerRows {
  readonly #rows: EmulatedRows;

  readonly #clock: Clock;

  readonly #workers = new Map<string, ListedWorker>();

  constructor(rows: EmulatedRows, clock: Clock) {
    this.#rows = rows;
    this.#clock = clock;
  }

  /** Writes the first row of an incarnation after a lag. */
  put(worker: ListedWorker, lagMs: number): void {
    this.#workers.set(worker.id, worker);
    const write = (): void => this.#write(worker.id, worker);
    if (lagMs === 0) {
      write();
    } else {
      this.#clock.startTimer(lagMs, write);
    }
  }

  /** Changes what an incarnation reports about itself, unless it has ended. */
  update(host: EmulatedHost, change: Partial<ListedWorker>): void {
    const worker = this.#workers.get(host.id);
    if (host.isAlive && worker?.bornMs === host.bornMs) {
      const updated = { ...worker, ...change };
      this.#workers.set(host.id, updated);
      this.#write(host.id, updated);
    }
  }

  remove(id: string): void {
    this.#write(id, null);
  }

  #write(id: string, worker: ListedWorker | null): void {
    const value = worker as unknown as JsonValue;
    this.#rows.apply({ conditions: [], writes: [{ table: WORKERS_TABLE, key: id, value }] });
  }
}
