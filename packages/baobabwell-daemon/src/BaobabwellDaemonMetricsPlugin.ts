import type { Kernel, Plugin } from '@baobabwell/kernel';

import Fastify from 'fastify';

import { countWaitingJobs } from '@baobabwell/controller';
import { REQUEST_HEADER_TIMEOUTS } from '@baobabwell/http';
import { registerMetricsRoutes } from '@baobabwell/metrics';

import { limitServiceConnections } from './BaobabwellDaemonClientLimits';
import { registerStatusRoutes } from './BaobabwellDaemonStatus';
import { CONFIGURATION, CONTROLLER, METRICS, OWNERSHIP, SETTINGS } from './BaobabwellDaemonTokens';

const SECOND_MS = 1_000;

/** Time limit for receiving a whole request, in ms. */
const REQUEST_TIMEOUT_MS = 10_000;

/** Configuration age reported until a configuration has been read. */
const UNKNOWN_AGE_S = -1;

/** Updates the gauges that are computed only when metrics are collected. */
function updateGauges(kernel: Kernel): void {
  const metrics = kernel.getService(METRICS);
  const configuration = kernel.getService(CONFIGURATION);
  const settings = configuration.getConfiguration();
  const ageMs = configuration.getAgeMs();
  metrics.configurationVersion.set(settings?.version ?? 0);
  metrics.configurationAgeSeconds.set(ageMs === null ? UNKNOWN_AGE_S : ageMs / SECOND_MS);
  const term = kernel.getService(CONTROLLER).getLoadedTerm();
  settings?.queues.forEach((queue) => {
    if (term !== null) {
      metrics.owner.waitingJobs.set({ queue: queue.name }, countWaitingJobs(term.context, queue));
    }
  });
}

/** Serves the metrics of this process, as text and as objects, and the status routes. */
export const metricsPlugin: Plugin = {
  name: 'metrics server',
  register(kernel) {
    return kernel.getService(METRICS).registerCollector(() => updateGauges(kernel));
  },
  async start(kernel) {
    const metrics = kernel.getService(METRICS);
    metrics.startTime.set(kernel.clock.getWallTime() / SECOND_MS);
    const server = Fastify({ http: REQUEST_HEADER_TIMEOUTS, requestTimeout: REQUEST_TIMEOUT_MS });
    limitServiceConnections(kernel, 'metrics', server.server);
    registerMetricsRoutes(server, metrics);
    registerStatusRoutes(server, {
      getOwner: () => kernel.getService(OWNERSHIP).getOwner(),
      getContext: () => kernel.getService(CONTROLLER).getLoadedTerm()?.context ?? null,
    });
    kernel.lifecycle.add('metrics server', async () => server.close());
    await server.listen(kernel.getService(SETTINGS).metrics);
  },
};
