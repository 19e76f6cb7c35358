import type { LogPosition } from './BaobabwellViewLog';
import type { JsonValue, ObjectStore, RowWrite, TableService } from '@baobabwell/platform';

import { z } from 'zod';

import { FleetView } from '@baobabwell/model';

import {
  LOG_KEPT_CHANGES,
  LOG_TABLE,
  SNAPSHOT_KEY,
  SNAPSHOT_TABLE,
} from './BaobabwellViewConstants';
import { formatVersion } from './BaobabwellViewLog';

/** A snapshot and the place in the log from which to read on. */
export type ViewSnapshot = {
  readonly view: FleetView;
  readonly position: LogPosition;
};

const pointerSchema = z.object({
  object: z.string(),
  viewVersion: z.number().int(),
  rowVersion: z.number().int(),
  /** Version up to which the log has been trimmed. */
  trimmedVersion: z.number().int(),
});

type Pointer = z.infer<typeof pointerSchema>;

type PointerRow = {
  readonly pointer: Pointer | null;
  readonly rowVersion: number;
};

const mutationsSchema = z.array(z.custom<Parameters<typeof FleetView.create>[1][number]>());

function buildTrim(after: number, upTo: number): readonly RowWrite[] {
  const count = Math.max(0, upTo - after);
  return Array.from({ length: count }, (_, index) => ({
    table: LOG_TABLE,
    key: formatVersion(after + 1 + index),
    value: null,
  }));
}

/**
 * Snapshots of the view in the object store. The row that names the newest one stands in the
 * table service and is replaced only by a newer one, in the transaction that also trims the log;
 * a writer that was overtaken changes nothing.
 */
export class ViewSnapshots {
  readonly #tables: TableService;

  readonly #objects: ObjectStore;

  constructor(tables: TableService, objects: ObjectStore) {
    this.#tables = tables;
    this.#objects = objects;
  }

  /** Reads the newest snapshot, or `null` when there is none or it cannot be read. */
  async read(): Promise<ViewSnapshot | null> {
    const row = await this.#readPointer();
    const pointer = row?.pointer ?? null;
    if (pointer === null) {
      return null;
    }
    const { object, viewVersion, rowVersion } = pointer;
    const body = await this.#objects.get(object);
    if (!body.ok) {
      return null;
    }
    const mutations = mutationsSchema.parse(JSON.parse(Buffer.from(body.value).toString('utf8')));
    return {
      view: FleetView.create(viewVersion, mutations),
      position: { viewVersion, rowVersion },
    };
  }

  /**
   * Stores a snapshot, makes it the newest one and trims the log behind it.
   *
   * @returns whether it became the newest one.
   */
  async write(view: FleetView, { rowVersion }: LogPosition): Promise<boolean> {
    const known = await this.#readPointer();
    if (known === null || (known.pointer?.viewVersion ?? 0) >= view.version) {
      return false;
    }
    const object = `view-snapshot-${view.version}`;
    const stored = await this.#objects.put(
      object,
      Buffer.from(JSON.stringify(view.listMutations())),
    );
    if (!stored.ok) {
      return false;
    }
    const trimmedBefore = known.pointer?.trimmedVersion ?? 0;
    const trimmedVersion = Math.max(trimmedBefore, view.version - LOG_KEPT_CHANGES);
    const value: Pointer = { object, viewVersion: view.version, rowVersion, trimmedVersion };
    const committed = await this.#tables.commit({
      conditions: [{ table: SNAPSHOT_TABLE, key: SNAPSHOT_KEY, version: known.rowVersion }],
      writes: [
        { table: SNAPSHOT_TABLE, key: SNAPSHOT_KEY, value: value as unknown as JsonValue },
        ...buildTrim(trimmedBefore, trimmedVersion),
      ],
    });
    if (committed.ok && known.pointer !== null) {
      await this.#objects.remove(known.pointer.object);
    }
    return committed.ok;
  }

  async #readPointer(): Promise<PointerRow | null> {
    const row = await this.#tables.read(SNAPSHOT_TABLE, SNAPSHOT_KEY);
    if (!row.ok) {
      return null;
    }
    return row.value === null
      ? { pointer: null, rowVersion: 0 }
      : { pointer: pointerSchema.parse(row.value.value), rowVersion: row.value.version };
  }
}
