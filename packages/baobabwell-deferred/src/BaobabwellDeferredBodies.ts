import type { StoredBody } from './BaobabwellDeferred';
import type { ObjectStore } from '@baobabwell/platform';

import { MAX_INLINE_BODY_BYTES } from './BaobabwellDeferredConstants';

/** Stores small bodies inline in their rows and large ones in the object store. */
export class BodyStore {
  readonly #objects: ObjectStore;

  constructor(objects: ObjectStore) {
    this.#objects = objects;
  }

  /** Stores a body; returns `null` when the object store did not accept it. */
  async put(name: string, body: Uint8Array): Promise<StoredBody | null> {
    if (body.byteLength <= MAX_INLINE_BODY_BYTES) {
      return { inline: Buffer.from(body).toString('base64'), object: null };
    }
    const stored = await this.#objects.put(name, body);
    return stored.ok ? { inline: null, object: name } : null;
  }

  /** Reads a body; returns `null` when the object store cannot be read. */
  async get({ inline, object }: StoredBody): Promise<Uint8Array | null> {
    if (object === null) {
      return Buffer.from(inline ?? '', 'base64');
    }
    const read = await this.#objects.get(object);
    return read.ok ? read.value : null;
  }

  /** Removes the object of a body that is stored outside its row. */
  async remove(body: StoredBody | null): Promise<void> {
    if (body !== null && body.object !== null) {
      await this.#objects.remove(body.object);
    }
  }
}
