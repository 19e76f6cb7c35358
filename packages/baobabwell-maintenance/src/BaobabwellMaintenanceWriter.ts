import type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
import type { FleetView, Mutation } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';
import type { ViewWriter } from '@baobabwell/view';

import { createError } from '@baobabwell/utils';

import { isOwner } from './BaobabwellMaintenanceOwnership';

/** A change to the view that the controller requests. */
export type ControllerChange = {
  readonly command: string;
  readonly reason: string;
  readonly build: (view: FleetView) => Result<readonly Mutation[], string>;
};

/** Writes the controller's changes one at a time, and only while this entry owns maintenance. */
export class ControllerWriter {
  readonly #writer: ViewWriter;

  readonly #identity: ControllerIdentity;

  #lastWrite: Promise<unknown> = Promise.resolve();

  constructor(writer: ViewWriter, identity: ControllerIdentity) {
    this.#writer = writer;
    this.#identity = identity;
  }

  /** Writes a change; the error says why it was not made or why its outcome is unknown. */
  async write(change: ControllerChange): Promise<Result<number, string>> {
    const written = this.#lastWrite.then(async () => this.#writeNow(change));
    this.#lastWrite = written;
    return written;
  }

  async #writeNow({ command, reason, build }: ControllerChange): Promise<Result<number, string>> {
    const written = await this.#writer.write<string>({
      author: this.#identity.id,
      command,
      reason,
      build: (view) =>
        isOwner(view, this.#identity) ? build(view) : createError('another entry owns maintenance'),
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
        return createError('unknown outcome: the change may have been written');
    }
  }
}
