import type { StandInWorker } from './BaobabwellStandInsWorker';
import type { HostControlError, HostStatus } from '@baobabwell/maintenance';
import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { HostControl } from '@baobabwell/maintenance';
import { createError, createOk } from '@baobabwell/utils';

/** Finds the worker at an address; `null` when it cannot be reached from here. */
export type FindWorker = (address: string) => StandInWorker | null;

/** Host control over in-memory workers. */
export class StandInHostControl extends HostControl {
  readonly #find: FindWorker;

  constructor(find: FindWorker) {
    super();
    this.#find = find;
  }

  override async probe({ address }: Host): Promise<Result<HostStatus, HostControlError>> {
    const worker = this.#findReachable(address);
    return worker === null
      ? createError({ kind: 'unreachable', cause: 'no answer' })
      : createOk({ running: worker.getRunningCount(), rebootToken: worker.getRebootToken() });
  }

  override async reboot({ address }: Host, token: number): Promise<Result<null, HostControlError>> {
    const worker = this.#findReachable(address);
    if (worker === null) {
      return createError({ kind: 'unreachable', cause: 'no answer' });
    }
    return worker.reboot(token) ? createOk(null) : createError({ kind: 'stale-token' });
  }

  override async close(): Promise<void> {
    // There are no connections to close.
  }

  #findReachable(address: string): StandInWorker | null {
    const worker = this.#find(address);
    const isReachable =
      worker !== null &&
      !worker.getFaults().down &&
      !worker.getFaults().silent &&
      !worker.isBooting();
    return isReachable ? worker : null;
  }
}
