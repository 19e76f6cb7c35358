import type { DaemonAdapters, DaemonSettings } from './BaobabwellDaemonSettings';
import type { DaemonState } from './BaobabwellDaemonState';
import type { Logger } from '@baobabwell/logging';
import type { Clock } from '@baobabwell/utils';

import { Kernel, mergeUndo } from '@baobabwell/kernel';
import { DaemonMetrics } from '@baobabwell/metrics';
import { ProcessorTime } from '@baobabwell/processor-time';

import { controllerPlugin, hostLeasesPlugin } from './BaobabwellDaemonControllerPlugin';
import { eventLoopPlugin } from './BaobabwellDaemonEventLoop';
import { ingressPlugin } from './BaobabwellDaemonIngressPlugin';
import { MeasuredStore } from './BaobabwellDaemonMeasuredStore';
import { metricsPlugin } from './BaobabwellDaemonMetricsPlugin';
import { processorTimePlugin } from './BaobabwellDaemonProcessorTime';
import {
  ADAPTERS,
  LOGGER,
  METRICS,
  PROCESSOR_TIME,
  SETTINGS,
  STATE,
} from './BaobabwellDaemonTokens';

/** Builds the kernel of one process. The code that calls this starts and closes it. */
export function buildDaemon(options: {
  readonly settings: DaemonSettings;
  readonly adapters: DaemonAdapters;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: DaemonState;
}): Kernel {
  const kernel = new Kernel(options.clock);
  const metrics = new DaemonMetrics();
  kernel.use({
    name: 'process',
    register: () => {
      kernel.lifecycle.add('platform', options.adapters.close);
      return mergeUndo(
        kernel.registerService(SETTINGS, () => options.settings),
        kernel.registerService(ADAPTERS, () => ({
          ...options.adapters,
          store: new MeasuredStore(options.adapters.store, metrics, options.clock),
        })),
        kernel.registerService(LOGGER, () => options.logger),
        kernel.registerService(METRICS, () => metrics),
        kernel.registerService(
          PROCESSOR_TIME,
          () => new ProcessorTime(() => options.clock.getNow()),
        ),
        kernel.registerService(STATE, () => options.state),
      );
    },
  });
  kernel.use(eventLoopPlugin);
  kernel.use(processorTimePlugin);
  // Plugins close in reverse order: ownership is handed over first, while callers are still served.
  kernel.use(hostLeasesPlugin);
  kernel.use(ingressPlugin);
  kernel.use(metricsPlugin);
  kernel.use(controllerPlugin);
  return kernel;
}
