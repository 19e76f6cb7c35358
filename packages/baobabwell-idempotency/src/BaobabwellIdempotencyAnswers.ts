import type { KeptAnswer, KeptResult } from './BaobabwellIdempotency';
import type { Claim, StoredAnswer } from './BaobabwellIdempotencyRows';
import type { ObjectStore } from '@baobabwell/platform';

import { INLINE_ANSWER_BYTES } from './BaobabwellIdempotencyConstants';

/** Keeps answers in rows when they are small, in the object store when they are large. */
export class AnswerStore {
  readonly #objects: ObjectStore;

  constructor(objects: ObjectStore) {
    this.#objects = objects;
  }

  /** Stores a result; `null` when the object store did not take the answer. */
  async put(name: string, { outcome, reason, answer }: KeptResult): Promise<Claim['result']> {
    if (answer === null) {
      return { outcome, reason, answer: null };
    }
    const stored = await this.#putAnswer(name, answer);
    return stored === null ? null : { outcome, reason, answer: stored };
  }

  /** Gets a stored result back; `null` when the answer cannot be read. */
  async get({ outcome, reason, answer }: NonNullable<Claim['result']>): Promise<KeptResult | null> {
    if (answer === null) {
      return { outcome, reason, answer: null };
    }
    const { status, contentType, body, object } = answer;
    if (object === null) {
      const inline = Buffer.from(body ?? '', 'base64');
      return { outcome, reason, answer: { status, contentType, body: inline } };
    }
    const read = await this.#objects.get(object);
    return read.ok ? { outcome, reason, answer: { status, contentType, body: read.value } } : null;
  }

  /** Removes what belongs to a result besides its row. */
  async remove(result: Claim['result']): Promise<void> {
    const name = result?.answer?.object ?? null;
    if (name !== null) {
      await this.#objects.remove(name);
    }
  }

  async #putAnswer(
    name: string,
    { status, contentType, body }: KeptAnswer,
  ): Promise<StoredAnswer | null> {
    if (body.byteLength <= INLINE_ANSWER_BYTES) {
      const inline = Buffer.from(body).toString('base64');
      return { status, contentType, body: inline, object: null };
    }
    const put = await this.#objects.put(name, body);
    return put.ok ? { status, contentType, body: null, object: name } : null;
  }
}
