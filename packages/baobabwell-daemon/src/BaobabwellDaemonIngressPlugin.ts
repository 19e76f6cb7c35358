import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import { IngressServer, JobSubmissionService } from '@baobabwell/ingress';

import { RelayedStore } from './BaobabwellDaemonRelayedStore';
import {
  ADAPTERS,
  CONFIGURATION,
  LOGGER,
  MEMBERS,
  METRICS,
  OWNER_CLIENT,
  PEERS,
  SETTINGS,
  STATE,
} from './BaobabwellDaemonTokens';

const MS_PER_S = 1_000;

/** Time for which open connections are still served after the platform was told to go, in ms. */
const LAME_DUCK_MS = 2_300;

/** Time kept back from the grace period for closing everything else, in ms. */
const CLOSE_RESERVE_MS = 1_000;

function createServer(kernel: Kernel): IngressServer {
  const { store: direct, protocol } = kernel.getService(ADAPTERS);
  const peers = kernel.getService(PEERS);
  const members = kernel.getService(MEMBERS);
  const logger = kernel.getService(LOGGER);
  const metrics = kernel.getService(METRICS);
  const configuration = kernel.getService(CONFIGURATION);
  const state = kernel.getService(STATE);
  const { clock } = kernel;
  const owner = kernel.getService(OWNER_CLIENT);
  const store = new RelayedStore({
    direct,
    relay: {
      commit: async (address, transaction) =>
        peers.ask(address, async (client) => client.commit.mutate(transaction)),
      list: async (address, range) =>
        peers.ask(address, async (client) => client.list.query(range)),
    },
    listPeers: () => members.listOthers(),
    clock,
    logger,
  });
  return new IngressServer({
    protocol,
    submissions: new JobSubmissionService({ store, owner, clock, logger }),
    clock,
    logger,
    getConfiguration: () => configuration.getConfiguration(),
    isReady: () => configuration.getConfiguration() !== null && !state.isStopping,
    isStopping: () => state.isStopping,
    recordCall: ({ queue, request, answer, tookMs }) => {
      metrics.clientCalls.inc({ queue: queue ?? '', request: request ?? '', answer });
      metrics.clientCallSeconds.observe({ request: request ?? '' }, tookMs / MS_PER_S);
    },
  });
}

/** Serves callers, and tells the platform whether this process takes them. */
export const ingressPlugin: Plugin = {
  name: 'ingress',
  register(kernel) {
    const opened: FastifyInstance[] = [];
    const { graceMs } = kernel.getService(SETTINGS);
    const state = kernel.getService(STATE);
    const boundMs = Math.max(CLOSE_RESERVE_MS, graceMs - CLOSE_RESERVE_MS);
    kernel.lifecycle.add(
      'callers',
      async () => {
        if (state.isStopping) {
          await kernel.clock.wait(Math.min(LAME_DUCK_MS, boundMs / 2));
        }
        await Promise.all(opened.map(async (server) => server.close()));
      },
      boundMs,
    );
    return kernel.registerService({ name: 'ingressServers' }, () => opened);
  },
  async start(kernel) {
    const { callers, readiness } = kernel.getService(SETTINGS);
    const server = createServer(kernel);
    const opened = kernel.getService<FastifyInstance[]>({ name: 'ingressServers' });
    const front = server.buildCallerServer();
    const ready = server.buildReadinessServer();
    opened.push(front, ready);
    await Promise.all([front.listen(callers), ready.listen(readiness)]);
  },
};
