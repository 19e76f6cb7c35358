import type { Kernel, Plugin } from '@baobabwell/kernel';

import Fastify from 'fastify';

import { registerStatusRoutes } from './BaobabwellDaemonStatus';
import { CONFIGURATION, CONTROLLER, METRICS, OWNERSHIP, SETTINGS } from './BaobabwellDaemonTokens';

const METRICS_PATH = '/metrics';

/** The same as objects; the burn report reads it. */
const JSON_PATH = '/metrics.json';

const TEXT = 'text/plain; version=0.0.4';

const SECOND_MS = 1_000;

/** Age told while no configuration was ever read. */
const NO_AGE = -1;

/** Brings gauges up to date that nobody keeps. */
function updateGauges(kernel: Kernel): void {
  const metrics = kernel.getService(METRICS);
  const configuration = kernel.getService(CONFIGURATION);
  const settings = configuration.getConfiguration();
  const ageMs = configuration.getAgeMs();
  metrics.configurationVersion.set(settings?.version ?? 0);
  metrics.configurationAgeSeconds.set(ageMs === null ? NO_AGE : ageMs / SECOND_MS);
  const term = kernel.getService(CONTROLLER).getLoadedTerm();
  settings?.queues.forEach(({ name }) => {
    if (term !== null) {
      metrics.owner.waitingJobs.set({ queue: name }, term.context.ledger.countWaiting(name));
    }
  });
}

/** Serves the metrics of this process, as text and as objects, and operators' questions. */
export const metricsPlugin: Plugin = {
  name: 'metrics server',
  register() {
    return () => undefined;
  },
  async start(kernel) {
    const metrics = kernel.getService(METRICS);
    metrics.startTime.set(kernel.clock.getWallTime() / SECOND_MS);
    const server = Fastify();
    server.get(METRICS_PATH, async (_request, reply) => {
      updateGauges(kernel);
      return reply.type(TEXT).send(await metrics.formatText());
    });
    server.get(JSON_PATH, async () => {
      updateGauges(kernel);
      return metrics.readMetrics();
    });
    registerStatusRoutes(server, {
      getOwner: () => kernel.getService(OWNERSHIP).getOwner(),
      getContext: () => kernel.getService(CONTROLLER).getLoadedTerm()?.context ?? null,
    });
    kernel.lifecycle.add('metrics server', async () => server.close());
    await server.listen(kernel.getService(SETTINGS).metrics);
  },
};
