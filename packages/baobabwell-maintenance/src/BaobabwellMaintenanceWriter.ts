import type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
import type { FleetView, Mutation } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';
import type { ViewWriter } from '@baobabwell/view';

import { createError } from '@baobabwell/utils';

import { isOwner } from './BaobabwellMaintenanceOwnership';

/** A change that the controller wants to make. */
export type ControllerChange = {
  readonly command: string;
  readonly reason: string;
  readonly build: (view: FleetView) => Result<readonly Mutation[], string>;
};

/** Makes the changes of the controller one after the other, and only while this entry owns it. */
export class ControllerWriter {
  readonly #writer: ViewWriter;

  readonly #identity: ControllerIdentity;

  #last: Promise<unknown> = Promise.resolve();

  constructor(writer: ViewWriter, identity: ControllerIdentity) {
    this.#writer = writer;
    this.#identity = identity;
  }

  /** Makes a change; the error says why it was not made, or may not have been. */
  async write(change: ControllerChange): Promise<Result<number, string>> {
    const own = this.#last.then(async () => this.#writeNow(change));
    this.#last = own;
    return own;
  }

  async #writeNow({ command, reason, build }: ControllerChange): Promise<Result<number, string>> {
    const written = await this.#writer.write<string>({
      author: this.#identity.id,
      command,
      reason,
      build: (view) =>
        isOwner(view, this.#identity) ? build(view) : createError('another entry is in charge'),
    });
    if (written.ok) {
      return { ok: true, value: written.value.version };
    }
    switch (written.error.kind) {
      case 'refused':
        return createError(written.error.refusal);
      case 'unavailable':
        return createError(written.error.cause);
      default:
        return createError('not known whether the change was made');
    }
  }
}
