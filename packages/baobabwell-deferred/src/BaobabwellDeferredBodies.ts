import type { StoredBody } from './BaobabwellDeferred';
import type { ObjectStore } from '@baobabwell/platform';

import { INLINE_BODY_BYTES } from './BaobabwellDeferredConstants';

/** Keeps small bodies in rows and large ones in the object store. */
export class BodyStore {
  readonly #objects: ObjectStore;

  constructor(objects: ObjectStore) {
    this.#objects = objects;
  }

  /** Stores a body; `null` when the object store did not take it. */
  async put(name: string, body: Uint8Array): Promise<StoredBody | null> {
    if (body.byteLength <= INLINE_BODY_BYTES) {
      return { inline: Buffer.from(body).toString('base64'), object: null };
    }
    const stored = await this.#objects.put(name, body);
    return stored.ok ? { inline: null, object: name } : null;
  }

  /** Gets a body back; `null` when it cannot be read now. */
  async get({ inline, object }: StoredBody): Promise<Uint8Array | null> {
    if (object === null) {
      return Buffer.from(inline ?? '', 'base64');
    }
    const read = await this.#objects.get(object);
    return read.ok ? read.value : null;
  }

  /** Removes what a body keeps outside its row. */
  async remove(body: StoredBody | null): Promise<void> {
    if (body !== null && body.object !== null) {
      await this.#objects.remove(body.object);
    }
  }
}
