import type { Plugin } from '@baobabwell/kernel';

import { mergeUndo } from '@baobabwell/kernel';
import { HttpHostControl } from '@baobabwell/maintenance';
import { HttpWorkerClientFactory } from '@baobabwell/workers';

import { HOST_CONTROL, WORKER_CLIENT_FACTORY } from './BaobabwellEntryTokens';

/** Provides access to workers and their hosts over HTTP. */
export const workersPlugin: Plugin = {
  name: 'workers',
  register(kernel) {
    const control = new HttpHostControl();
    kernel.lifecycle.add('host control', async () => control.close());
    return mergeUndo(
      kernel.registerService(WORKER_CLIENT_FACTORY, () => new HttpWorkerClientFactory()),
      kernel.registerService(HOST_CONTROL, () => control),
    );
  },
};
