import type { Plugin } from '@baobabwell/kernel';

import { mergeUndo } from '@baobabwell/kernel';
import {
  HttpHostList,
  HttpObjectStore,
  HttpTableService,
  PlatformChannel,
} from '@baobabwell/platform';

import { HOST_LIST, OBJECT_STORE, SETTINGS, TABLE_SERVICE } from './BaobabwellEntryTokens';

/** Provides the platform's table service, object store and host list over HTTP. */
export const platformPlugin: Plugin = {
  name: 'platform',
  register(kernel) {
    const { url, timeout } = kernel.getService(SETTINGS).platform;
    const channel = new PlatformChannel({ baseUrl: url, timeoutMs: timeout });
    kernel.lifecycle.add('platform channel', async () => channel.close());
    return mergeUndo(
      kernel.registerService(TABLE_SERVICE, () => new HttpTableService(channel)),
      kernel.registerService(OBJECT_STORE, () => new HttpObjectStore(channel)),
      kernel.registerService(HOST_LIST, () => new HttpHostList(channel)),
    );
  },
};
