import type { Kernel, Plugin } from '@baobabwell/kernel';

import { buildCallServer, findTeamOfSecret, OPEN_TEAM } from '@baobabwell/calls';
import { registerDeferredCalls, registerWorkRoutes } from '@baobabwell/deferred';

import { parseAddress } from './BaobabwellEntryAddress';
import { readCredentials, startCertificateReloader } from './BaobabwellEntryCertificates';
import { registerHealthRoutes } from './BaobabwellEntryHealth';
import {
  CALL_RECORDER,
  CALL_SERVICE,
  DEFERRED_GATE,
  DEFERRED_SERVICE,
  ENTRY_SETTINGS,
  READINESS,
  SETTINGS,
  VIEW_STORE,
} from './BaobabwellEntryTokens';

const CLOSE_TIMEOUT_MS = 30_000;
/** Time that the platform's load balancer needs to detect that an entry is not ready. */
const UNREADY_DELAY_MS = 1_500;

function findTeam(kernel: Kernel, secret: string | null): string | null {
  const view = kernel.getService(VIEW_STORE).get();
  return secret === null ? OPEN_TEAM : findTeamOfSecret(view, secret, kernel.clock.getWallTime());
}

/** Serves callers over HTTP. On close, it reports not ready before it closes the server. */
export const callServerPlugin: Plugin = {
  name: 'call server',
  register: () => () => {},
  async start(kernel) {
    const recorder = kernel.getService(CALL_RECORDER);
    const files = kernel.getService(SETTINGS).tls.callers;
    const credentials = files === null ? null : await readCredentials(files);
    const server = buildCallServer(
      kernel.getService(CALL_SERVICE),
      (request, result, durationMs) => recorder.recordEnded(request, result, durationMs),
      credentials,
    );
    const readiness = kernel.getService(READINESS);
    registerHealthRoutes(server, readiness);
    registerDeferredCalls(server, kernel.getService(DEFERRED_GATE));
    registerWorkRoutes(server, kernel.getService(DEFERRED_SERVICE), (secret) =>
      findTeam(kernel, secret),
    );
    server.addHook('onSend', async (_request, reply) => {
      if (readiness.isStopping()) {
        reply.header('connection', 'close');
      }
    });
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).callers));
    if (files !== null && credentials !== null) {
      startCertificateReloader(kernel, server, files, credentials);
    }
    kernel.lifecycle.add('caller server', async () => server.close(), CLOSE_TIMEOUT_MS);
    kernel.lifecycle.add('readiness', async () => {
      readiness.stop();
      await kernel.clock.wait(UNREADY_DELAY_MS);
    });
  },
};
