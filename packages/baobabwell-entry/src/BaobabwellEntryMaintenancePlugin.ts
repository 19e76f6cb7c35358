import type { Plugin } from '@baobabwell/kernel';

import { HostHealth } from '@baobabwell/maintenance';

import { HOST_CONTROL, HOST_HEALTH, HOST_LIST, VIEW_STORE } from './BaobabwellEntryTokens';

/** Follows the health of hosts. */
export const maintenancePlugin: Plugin = {
  name: 'maintenance',
  register: (kernel) =>
    kernel.registerService(
      HOST_HEALTH,
      () =>
        new HostHealth({
          getView: () => kernel.getService(VIEW_STORE).get(),
          hostList: kernel.getService(HOST_LIST),
          control: kernel.getService(HOST_CONTROL),
          clock: kernel.clock,
        }),
    ),
  async start(kernel) {
    const health = kernel.getService(HOST_HEALTH);
    void health.run();
    kernel.lifecycle.add('host health', () => health.stop());
  },
};
