import type { RetainedAnswer, RetainedResult } from './BaobabwellIdempotency';
import type { Claim, StoredAnswer } from './BaobabwellIdempotencyRows';
import type { ObjectStore } from '@baobabwell/platform';

import { MAX_INLINE_ANSWER_BYTES } from './BaobabwellIdempotencyConstants';

/** Stores small answers in rows and large ones in the object store. */
export class AnswerStore {
  readonly #objects: ObjectStore;

  constructor(objects: ObjectStore) {
    this.#objects = objects;
  }

  /** Stores a result; returns `null` when the object store did not accept the answer. */
  async put(name: string, { outcome, reason, answer }: RetainedResult): Promise<Claim['result']> {
    if (answer === null) {
      return { outcome, reason, answer: null };
    }
    const stored = await this.#putAnswer(name, answer);
    return stored === null ? null : { outcome, reason, answer: stored };
  }

  /** Reads a stored result; returns `null` when the answer cannot be read. */
  async get({
    outcome,
    reason,
    answer,
  }: NonNullable<Claim['result']>): Promise<RetainedResult | null> {
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

  /** Removes the object that holds the answer of a result, if there is one. */
  async remove(result: Claim['result']): Promise<void> {
    const name = result?.answer?.object ?? null;
    if (name !== null) {
      await this.#objects.remove(name);
    }
  }

  async #putAnswer(
    name: string,
    { status, contentType, body }: RetainedAnswer,
  ): Promise<StoredAnswer | null> {
    if (body.byteLength <= MAX_INLINE_ANSWER_BYTES) {
      const inline = Buffer.from(body).toString('base64');
      return { status, contentType, body: inline, object: null };
    }
    const put = await this.#objects.put(name, body);
    return put.ok ? { status, contentType, body: null, object: name } : null;
  }
}
