import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { ReportControllerEvent } from '@baobabwell/maintenance';

import { mergeUndo } from '@baobabwell/kernel';
import {
  getPoolBudget,
  HostHealthMonitor,
  MaintenanceController,
  WaveControlLoop,
} from '@baobabwell/maintenance';
import { EntityKind } from '@baobabwell/model';
import { RepairControlLoop } from '@baobabwell/repair';
import { SplitControlLoop } from '@baobabwell/split';

import {
  FRESHNESS,
  HOST_CONTROL,
  HOST_HEALTH,
  HOST_LIST,
  IDENTITY,
  LOGGER,
  MAINTENANCE_CONTROLLER,
  METRICS,
  OBJECT_STORE,
  VIEW_QUORUM,
  VIEW_STORE,
  VIEW_WRITER,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';

function buildHostHealth(kernel: Kernel): HostHealthMonitor {
  return new HostHealthMonitor({
    getView: () => kernel.getService(VIEW_STORE).get(),
    hostList: kernel.getService(HOST_LIST),
    control: kernel.getService(HOST_CONTROL),
    clock: kernel.clock,
  });
}

function buildController(kernel: Kernel): MaintenanceController {
  const logger = kernel.getService(LOGGER);
  const report: ReportControllerEvent = (event, fields) => logger.recordInfo(event, fields);
  return new MaintenanceController({
    identity: kernel.getService(IDENTITY),
    store: kernel.getService(VIEW_STORE),
    writer: kernel.getService(VIEW_WRITER),
    health: kernel.getService(HOST_HEALTH),
    control: kernel.getService(HOST_CONTROL),
    clock: kernel.clock,
    isCurrent: () => kernel.getService(FRESHNESS).isCurrent(),
    isInForce: (version) => kernel.getService(VIEW_QUORUM).getInForceVersion() >= version,
    controlLoops: [
      new WaveControlLoop(),
      new SplitControlLoop(kernel.getService(OBJECT_STORE)),
      new RepairControlLoop(
        (host) => kernel.getService(WORKER_DIRECTORY).hasFailingTasks(host),
        report,
      ),
    ],
    report,
  });
}

/** Updates the gauges of hosts, availability budgets and waves. */
function updateMaintenanceGauges(kernel: Kernel): void {
  const view = kernel.getService(VIEW_STORE).get();
  const { hosts, budgetLeft, waves } = kernel.getService(METRICS);
  [hosts, budgetLeft, waves].forEach((gauge) => gauge.reset());
  view.list(EntityKind.Host).forEach(({ pool, state }) => hosts.inc({ pool, state }));
  view.list(EntityKind.Wave).forEach(({ state }) => waves.inc({ state }));
  view.list(EntityKind.Pool).forEach((pool) => {
    const { serving } = getPoolBudget(view, pool, (host) =>
      kernel.getService(HOST_HEALTH).getEvidence(host),
    );
    budgetLeft.set({ pool: pool.id }, serving - pool.minimumServing);
  });
}

/**
 * Monitors the health of hosts, and runs maintenance while this entry owns the maintenance
 * controller.
 */
export const maintenancePlugin: Plugin = {
  name: 'maintenance',
  register: (kernel) =>
    mergeUndo(
      kernel.registerService(HOST_HEALTH, buildHostHealth),
      kernel.registerService(MAINTENANCE_CONTROLLER, buildController),
    ),
  async start(kernel) {
    const health = kernel.getService(HOST_HEALTH);
    const controller = kernel.getService(MAINTENANCE_CONTROLLER);
    void health.run();
    void controller.run();
    kernel.lifecycle.add(
      'maintenance gauges',
      kernel.getService(METRICS).registerCollector(() => updateMaintenanceGauges(kernel)),
    );
    kernel.lifecycle.add('host health', () => health.stop());
    kernel.lifecycle.add('maintenance controller', () => controller.stop());
  },
};
