import type { Plugin } from '@baobabwell/kernel';

import { buildCallServer, CallReason } from '@baobabwell/calls';

import { parseAddress } from './BaobabwellEntryAddress';
import { registerHealthRoutes } from './BaobabwellEntryHealth';
import { CALL_SERVICE, ENTRY_SETTINGS, LOGGER, METRICS, READINESS } from './BaobabwellEntryTokens';

const CLOSE_BOUND_MS = 30_000;
/** Time that the platform's balancer takes to see that an entry is not ready. */
const READINESS_DELAY_MS = 1_500;
const MS_PER_SECOND = 1_000;
const UNKNOWN_QUEUE_LABEL = 'unknown';

/** Serves callers over HTTP. */
export const callServerPlugin: Plugin = {
  name: 'call server',
  register: () => () => {},
  async start(kernel) {
    const logger = kernel.getService(LOGGER);
    const metrics = kernel.getService(METRICS);
    const server = buildCallServer(
      kernel.getService(CALL_SERVICE),
      ({ id, queue }, { outcome, reason }, durationMs) => {
        logger.recordDebug('call-ended', { call: id, queue, outcome, reason, durationMs });
        // Callers choose the name: only those of the view may become label values.
        const label = reason === CallReason.UnknownQueue ? UNKNOWN_QUEUE_LABEL : queue;
        metrics.calls.inc({ queue: label, outcome, reason });
        metrics.callSeconds.observe({ queue: label }, durationMs / MS_PER_SECOND);
      },
    );
    const readiness = kernel.getService(READINESS);
    registerHealthRoutes(server, readiness);
    server.addHook('onSend', async (_request, reply) => {
      if (readiness.isStopping()) {
        reply.header('connection', 'close');
      }
    });
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).callers));
    kernel.lifecycle.add('caller server', async () => server.close(), CLOSE_BOUND_MS);
    kernel.lifecycle.add('readiness', async () => {
      readiness.stop();
      await kernel.clock.wait(READINESS_DELAY_MS);
    });
  },
};
