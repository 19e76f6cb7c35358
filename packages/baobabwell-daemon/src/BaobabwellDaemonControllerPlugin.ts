import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { FastifyInstance } from 'fastify';

import { getHeapStatistics } from 'node:v8';

import { Controller, HOST_LEASE_MS } from '@baobabwell/controller';
import { mergeUndo } from '@baobabwell/kernel';
import { Ownership } from '@baobabwell/ownership';
import { buildPeerServer, HttpPeerConnector } from '@baobabwell/peers';

import { ConfigurationWatcher } from './BaobabwellDaemonConfiguration';
import { MemberPoll } from './BaobabwellDaemonMemberPoll';
import { MemberDirectory } from './BaobabwellDaemonMembers';
import { MemberReports } from './BaobabwellDaemonPeerReports';
import { buildDaemonRouter, PeerClients, PeerOwnerClient } from './BaobabwellDaemonPeers';
import { readPeerSecret } from './BaobabwellDaemonSecret';
import {
  ADAPTERS,
  CONFIGURATION,
  CONTROLLER,
  HOST_LEASES,
  LOGGER,
  MEMBERS,
  METRICS,
  OWNER_CLIENT,
  OWNERSHIP,
  PEER_CONNECTOR,
  PEERS,
  PROCESSOR_TIME,
  SETTINGS,
} from './BaobabwellDaemonTokens';

/**
 * Time limit of the ownership handover, in ms; after it, shutdown continues and disconnects callers.
 * A handover takes longer than this while the store is unavailable.
 */
const HANDOVER_TIMEOUT_MS = 800;

const MS_PER_S = 1_000;

/** Number of peers asked at once for a newer configuration. */
const MAX_CONFIGURATION_PEERS = 3;

function createOwnership(kernel: Kernel): Ownership {
  const { name, peers, fitness, bounds } = kernel.getService(SETTINGS);
  const metrics = kernel.getService(METRICS);
  return new Ownership({
    store: kernel.getService(ADAPTERS).store,
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    maxLeaseExtensionMs: Math.max(0, bounds.maxHostLeaseMs - HOST_LEASE_MS),
    candidate: {
      name,
      incarnation: `${kernel.clock.getWallTime()}-${process.pid}`,
      address: `${peers.host}:${peers.port}`,
      fitness,
    },
    listener: {
      prepareTerm: () => kernel.getService(CONTROLLER).prepareTerm(),
      startTerm: (term) => {
        metrics.ownerEpoch.set(term.epoch);
        kernel.getService(CONTROLLER).startTerm(term);
      },
      endTerm: () => {
        metrics.ownerEpoch.set(0);
        kernel.getService(CONTROLLER).endTerm();
      },
      recordRenewal: (answerMs) => metrics.owner.leases.renewalSeconds.observe(answerMs / MS_PER_S),
    },
  });
}

function createController(kernel: Kernel): Controller {
  const { name, bounds } = kernel.getService(SETTINGS);
  const { store, orders, cloud, advisor, codec } = kernel.getService(ADAPTERS);
  return new Controller({
    holder: name,
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    metrics: kernel.getService(METRICS).owner,
    processorTime: kernel.getService(PROCESSOR_TIME),
    bounds,
    codec,
    store,
    orders,
    cloud,
    advisor,
    ownership: kernel.getService(OWNERSHIP),
    peerReports: new MemberReports(kernel.getService(MEMBERS), kernel.getService(PEERS)),
    getConfiguration: () => kernel.getService(CONFIGURATION).getConfiguration(),
    getMemoryLimits: () => kernel.getService(MEMBERS).getMemoryLimits(),
  });
}

function createOwnerClient(kernel: Kernel): PeerOwnerClient {
  return new PeerOwnerClient({
    local: kernel.getService(CONTROLLER),
    getOwner: () => kernel.getService(OWNERSHIP).getOwner(),
    name: kernel.getService(SETTINGS).name,
    peers: kernel.getService(PEERS),
  });
}

function createPeerClients(kernel: Kernel): PeerClients {
  return new PeerClients({
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    getConnector: () =>
      kernel.hasService(PEER_CONNECTOR) ? kernel.getService(PEER_CONNECTOR) : null,
  });
}

function createMemberDirectory(kernel: Kernel): MemberDirectory {
  const { name, peers } = kernel.getService(SETTINGS);
  return new MemberDirectory({
    store: kernel.getService(ADAPTERS).store,
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    name,
    address: `${peers.host}:${peers.port}`,
    heapBytes: getHeapStatistics().heap_size_limit,
  });
}

function createConfigurationWatcher(kernel: Kernel): ConfigurationWatcher {
  const { configurationMs } = kernel.getService(SETTINGS);
  const poll = new MemberPoll(
    kernel.getService(MEMBERS),
    kernel.getService(PEERS),
    MAX_CONFIGURATION_PEERS,
  );
  return new ConfigurationWatcher({
    adapters: kernel.getService(ADAPTERS),
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    maxAgeMs: configurationMs,
    requestReports: (knownVersion, record) =>
      poll.send(async (client) => client.getConfigurationReport.query(knownVersion), record),
    requestConfiguration: async (knownVersion) =>
      poll.requestNext(async (client) => client.getConfigurationReport.query(knownVersion)),
  });
}

/**
 * Has a process that stops renew the leases on hosts until its successor does. It is registered before the
 * servers of callers, which are closed meanwhile and do not wait for it.
 */
export const hostLeasesPlugin: Plugin = {
  name: 'host leases',
  register(kernel) {
    const handovers: Promise<void>[] = [];
    kernel.lifecycle.add('host leases', async () => {
      await Promise.all(handovers);
    });
    return kernel.registerService(HOST_LEASES, () => handovers);
  },
};

/** Seeks ownership, runs the controller while this process is the owner, and serves peers. */
export const controllerPlugin: Plugin = {
  name: 'duties',
  register(kernel) {
    return mergeUndo(
      kernel.registerService(OWNERSHIP, createOwnership),
      kernel.registerService(CONTROLLER, createController),
      kernel.registerService(PEERS, createPeerClients),
      kernel.registerService(MEMBERS, createMemberDirectory),
      kernel.registerService(OWNER_CLIENT, createOwnerClient),
      kernel.registerService(CONFIGURATION, createConfigurationWatcher),
    );
  },
  async start(kernel) {
    const { store } = kernel.getService(ADAPTERS);
    const logger = kernel.getService(LOGGER);
    const stopped = new AbortController();
    const ownership = kernel.getService(OWNERSHIP);
    const controller = kernel.getService(CONTROLLER);
    const configuration = kernel.getService(CONFIGURATION);
    const handovers = kernel.getService(HOST_LEASES);
    kernel.lifecycle.add(
      'duties',
      async () => {
        stopped.abort();
        configuration.stop();
        const released = controller.stop();
        handovers.push(controller.waitForLeases());
        await released;
      },
      HANDOVER_TIMEOUT_MS,
    );
    void configuration.run();
    void configuration.runPeerRequests();
    const secret = await readPeerSecret(store, kernel.clock, logger, stopped.signal);
    if (stopped.signal.aborted) {
      return;
    }
    const connector = new HttpPeerConnector(secret, (peer) =>
      logger.recordWarning('connections-renewed', { service: 'peer', peer }),
    );
    kernel.lifecycle.add('peer connections', async () => connector.close());
    kernel.registerService(PEER_CONNECTOR, () => connector);
    const router = buildDaemonRouter({
      owner: controller,
      store,
      getConfigurationReport: (knownVersion) => configuration.createReport(knownVersion),
      getStoreAnswerAgeMs: () => ownership.getStoreAnswerAgeMs(),
    });
    const server: FastifyInstance = await buildPeerServer(router, secret);
    kernel.lifecycle.add('peer server', async () => server.close());
    await server.listen(kernel.getService(SETTINGS).peers);
    void kernel.getService(MEMBERS).run(stopped.signal);
    void ownership.run();
    void ownership.runRenewals();
  },
};
