import type { LogPosition } from './BaobabwellViewLog';
import type { JsonValue, ObjectStore, RowWrite, TableService } from '@baobabwell/platform';

import { z } from 'zod';

import { FleetView } from '@baobabwell/model';

import {
  LOG_TABLE,
  RETAINED_LOG_CHANGES,
  SNAPSHOT_KEY,
  SNAPSHOT_TABLE,
} from './BaobabwellViewConstants';
import { formatVersion } from './BaobabwellViewLog';

/** Snapshot of the view and the log position from which a reader continues. */
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

type SnapshotPointer = z.infer<typeof pointerSchema>;

type SnapshotPointerRow = {
  readonly pointer: SnapshotPointer | null;
  readonly rowVersion: number;
};

const mutationsSchema = z.array(z.custom<Parameters<typeof FleetView.create>[1][number]>());

function buildTrimWrites(after: number, upTo: number): readonly RowWrite[] {
  const count = Math.max(0, upTo - after);
  return Array.from({ length: count }, (_, index) => ({
    table: LOG_TABLE,
    key: formatVersion(after + 1 + index),
    value: null,
  }));
}

/**
 * Stores snapshots of the view in the object store. A row in the table service points to the newest
 * one. The same transaction replaces that row and trims the log, and only a newer snapshot can
 * replace it; a writer that was overtaken changes neither.
 */
export class ViewSnapshots {
  readonly #tables: TableService;

  readonly #objects: ObjectStore;

  constructor(tables: TableService, objects: ObjectStore) {
    this.#tables = tables;
    this.#objects = objects;
  }

  /** Reads the newest snapshot; `null` when there is none or it cannot be read. */
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
   * Stores a snapshot, makes it the newest one and trims older changes from the log.
   *
   * @returns whether the snapshot became the newest one.
   */
  async write(view: FleetView, { rowVersion }: LogPosition): Promise<boolean> {
    const current = await this.#readPointer();
    if (current === null || (current.pointer?.viewVersion ?? 0) >= view.version) {
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
    const trimmedBefore = current.pointer?.trimmedVersion ?? 0;
    const trimmedVersion = Math.max(trimmedBefore, view.version - RETAINED_LOG_CHANGES);
    const value: SnapshotPointer = {
      object,
      viewVersion: view.version,
      rowVersion,
      trimmedVersion,
    };
    const committed = await this.#tables.commit({
      conditions: [{ table: SNAPSHOT_TABLE, key: SNAPSHOT_KEY, version: current.rowVersion }],
      writes: [
        { table: SNAPSHOT_TABLE, key: SNAPSHOT_KEY, value: value as unknown as JsonValue },
        ...buildTrimWrites(trimmedBefore, trimmedVersion),
      ],
    });
    if (committed.ok && current.pointer !== null) {
      await this.#objects.remove(current.pointer.object);
    }
    return committed.ok;
  }

  async #readPointer(): Promise<SnapshotPointerRow | null> {
    const row = await this.#tables.read(SNAPSHOT_TABLE, SNAPSHOT_KEY);
    if (!row.ok) {
      return null;
    }
    return row.value === null
      ? { pointer: null, rowVersion: 0 }
      : { pointer: pointerSchema.parse(row.value.value), rowVersion: row.value.version };
  }
}
