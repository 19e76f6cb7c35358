import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { ControllerReport } from '@baobabwell/maintenance';

import { mergeUndo } from '@baobabwell/kernel';
import { HostHealth, MaintenanceController, WaveDuty } from '@baobabwell/maintenance';
import { RepairDuty } from '@baobabwell/repair';
import { SplitDuty } from '@baobabwell/split';

import {
  FRESHNESS,
  HOST_CONTROL,
  HOST_HEALTH,
  HOST_LIST,
  IDENTITY,
  LOGGER,
  MAINTENANCE_CONTROLLER,
  OBJECT_STORE,
  VIEW_QUORUM,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

function buildHealth(kernel: Kernel): HostHealth {
  return new HostHealth({
    getView: () => kernel.getService(VIEW_STORE).get(),
    hostList: kernel.getService(HOST_LIST),
    control: kernel.getService(HOST_CONTROL),
    clock: kernel.clock,
  });
}

function buildController(kernel: Kernel): MaintenanceController {
  const logger = kernel.getService(LOGGER);
  const report: ControllerReport = (event, fields) => logger.recordInfo(event, fields);
  return new MaintenanceController({
    identity: kernel.getService(IDENTITY),
    store: kernel.getService(VIEW_STORE),
    writer: kernel.getService(VIEW_WRITER),
    health: kernel.getService(HOST_HEALTH),
    control: kernel.getService(HOST_CONTROL),
    clock: kernel.clock,
    isCurrent: () => kernel.getService(FRESHNESS).isCurrent(),
    isInForce: (version) => kernel.getService(VIEW_QUORUM).getInForceVersion() >= version,
    duties: [
      new WaveDuty(),
      new SplitDuty(kernel.getService(OBJECT_STORE)),
      new RepairDuty(() => null, report),
    ],
    report,
  });
}

/** Follows the health of hosts and carries out maintenance while this entry is in charge. */
export const maintenancePlugin: Plugin = {
  name: 'maintenance',
  register: (kernel) =>
    mergeUndo(
      kernel.registerService(HOST_HEALTH, buildHealth),
      kernel.registerService(MAINTENANCE_CONTROLLER, buildController),
    ),
  async start(kernel) {
    const health = kernel.getService(HOST_HEALTH);
    const controller = kernel.getService(MAINTENANCE_CONTROLLER);
    void health.run();
    void controller.run();
    kernel.lifecycle.add('host health', () => health.stop());
    kernel.lifecycle.add('maintenance controller', () => controller.stop());
  },
};
