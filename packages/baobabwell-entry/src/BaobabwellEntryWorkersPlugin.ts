import type { Plugin } from '@baobabwell/kernel';

import { HttpWorkerClientFactory } from '@baobabwell/workers';

import { WORKER_CLIENT_FACTORY } from './BaobabwellEntryTokens';

/** Reaches workers over HTTP. */
export const workersPlugin: Plugin = {
  name: 'workers',
  register: (kernel) =>
    kernel.registerService(WORKER_CLIENT_FACTORY, () => new HttpWorkerClientFactory()),
};
