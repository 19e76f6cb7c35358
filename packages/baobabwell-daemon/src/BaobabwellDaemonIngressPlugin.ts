import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import { IngressServer, JobSubmissionService } from '@baobabwell/ingress';
import { createServiceToken } from '@baobabwell/kernel';

import { createCallerTable, limitServiceConnections } from './BaobabwellDaemonClientLimits';
import { RelayedStore } from './BaobabwellDaemonRelayedStore';
import {
  ADAPTERS,
  CONFIGURATION,
  EVENT_LOOP_DELAY,
  LOGGER,
  MEMBERS,
  METRICS,
  OWNER_CLIENT,
  PEERS,
  SETTINGS,
  STATE,
} from './BaobabwellDaemonTokens';

const MS_PER_S = 1_000;

/** Time for which open connections are still served after the readiness probe starts to fail, in ms. */
const LAME_DUCK_MS = 2_300;

/** Part of the grace period that is reserved for closing everything else, in ms. */
const CLOSE_RESERVE_MS = 1_000;

/** Time before the end of the process at which calls that still wait are answered, in ms. */
const ANSWER_RESERVE_MS = 300;

/** What is open for callers; it outlasts the services of the plug-in, which are removed before it is closed. */
type OpenIngress = {
  readonly servers: FastifyInstance[];
  endCalls: () => void;
};

const OPEN_INGRESS = createServiceToken<OpenIngress>('openIngress');

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
  const loopDelay = kernel.getService(EVENT_LOOP_DELAY);
  const store = new RelayedStore({
    direct,
    relay: {
      commit: async (address, transaction, deadline) =>
        peers.request(
          address,
          async (client, signal) => client.commit.mutate(transaction, { signal }),
          deadline,
        ),
      list: async (address, range, deadline) =>
        peers.request(
          address,
          async (client, signal) => client.list.query(range, { signal }),
          deadline,
        ),
    },
    listPeerAddresses: () => members.listPeerAddresses(),
    clock,
    logger,
    readsPerS: kernel.getService(SETTINGS).storeReadsPerS,
  });
  return new IngressServer({
    connections: createCallerTable(kernel),
    protocol,
    submissions: new JobSubmissionService({
      store,
      owner,
      clock,
      logger,
      maxRowBytes: kernel.getService(SETTINGS).storeRowBytes,
      getMaxUnofferedBytes: () =>
        members.getMemoryLimits().unofferedBytes / (1 + members.listPeerAddresses().length),
    }),
    clock,
    logger,
    getConfiguration: () => configuration.getConfiguration(),
    isOutdated: () => configuration.isOutdated(),
    waitUntilCurrent: async (maxMs) => configuration.waitUntilCurrent(maxMs),
    isStopping: () => state.isStopping,
    takeLoopDelayMs: () => loopDelay.takeLongestMs(clock.getNow()),
    recordCall: ({ queue, request, answer, timing, tookMs }) => {
      metrics.clientCalls.inc({ queue: queue ?? '', request: request ?? '', answer });
      metrics.clientCallTimings.inc({ request: request ?? '', timing });
      metrics.clientCallSeconds.observe({ request: request ?? '' }, tookMs / MS_PER_S);
    },
  });
}

/** Serves callers and the platform's readiness probe. */
export const ingressPlugin: Plugin = {
  name: 'ingress',
  register(kernel) {
    const open: OpenIngress = { servers: [], endCalls: () => {} };
    const { clock } = kernel;
    const { graceMs } = kernel.getService(SETTINGS);
    const state = kernel.getService(STATE);
    const closeTimeoutMs = Math.max(CLOSE_RESERVE_MS, graceMs - CLOSE_RESERVE_MS);
    kernel.lifecycle.add(
      'callers',
      async () => {
        const nowMs = clock.getNow();
        const endsAtMs = Math.min(nowMs + closeTimeoutMs, state.endsAtMs) - ANSWER_RESERVE_MS;
        const cancelTimer = clock.startTimer(Math.max(0, endsAtMs - nowMs), () => open.endCalls());
        if (state.isStopping) {
          await clock.wait(Math.min(LAME_DUCK_MS, closeTimeoutMs / 2));
        }
        await Promise.all(open.servers.map(async (server) => server.close()));
        cancelTimer();
      },
      closeTimeoutMs,
    );
    return kernel.registerService(OPEN_INGRESS, () => open);
  },
  async start(kernel) {
    const { callers, readiness } = kernel.getService(SETTINGS);
    const server = createServer(kernel);
    const open = kernel.getService(OPEN_INGRESS);
    open.endCalls = () => server.endCalls();
    const callerServer = server.buildCallerServer();
    const readinessServer = server.buildReadinessServer();
    limitServiceConnections(kernel, 'readiness', readinessServer.server);
    open.servers.push(callerServer, readinessServer);
    await Promise.all([callerServer.listen(callers), readinessServer.listen(readiness)]);
  },
};
