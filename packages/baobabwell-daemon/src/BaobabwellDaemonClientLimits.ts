import type { ClientLimits } from '@baobabwell/connection-limits';
import type { Kernel } from '@baobabwell/kernel';
import type { Server } from 'node:http';

import {
  ClientLimit,
  computeClientLimits,
  ConnectionTable,
  limitConnections,
} from '@baobabwell/connection-limits';

import { LOGGER, METRICS, SETTINGS } from './BaobabwellDaemonTokens';

/** Limits of the servers for probes and metrics, which are read a few times a second; bytes in bytes. */
const SERVICE_LIMITS: ClientLimits = {
  [ClientLimit.Connections]: 64,
  [ClientLimit.Calls]: 64,
  [ClientLimit.Bytes]: 1_048_576,
};

/** Creates the table of the callers' connections. Its limits are logged at their start and end, and shown by metrics. */
export function createCallerTable(kernel: Kernel): ConnectionTable {
  const metrics = kernel.getService(METRICS);
  const logger = kernel.getService(LOGGER);
  const limits = computeClientLimits(kernel.getService(SETTINGS).resources);
  const table = new ConnectionTable(limits, {
    recordStart: (limit, max) => logger.recordWarning('client-limit-reached', { limit, max }),
    recordEnd: (limit, count) => logger.recordInfo('client-limit-ended', { limit, count }),
    recordReached: (limit) => metrics.clientLimitsReached.inc({ limit }),
  });
  const kinds = Object.values(ClientLimit);
  kinds.forEach((limit) => metrics.clientLimits.set({ limit }, limits[limit]));
  const removeCollector = metrics.registerCollector(() => {
    kinds.forEach((limit) => metrics.clientUsage.set({ limit }, table.getUsed(limit)));
  });
  kernel.lifecycle.add('client limits', async () => removeCollector());
  return table;
}

/** Limits the connections of a server for probes or metrics. */
export function limitServiceConnections(kernel: Kernel, name: string, server: Server): void {
  const logger = kernel.getService(LOGGER);
  const table = new ConnectionTable(SERVICE_LIMITS, {
    recordStart: (limit, max) =>
      logger.recordWarning('client-limit-reached', { server: name, limit, max }),
    recordEnd: (limit, count) =>
      logger.recordInfo('client-limit-ended', { server: name, limit, count }),
    recordReached: () => {},
  });
  limitConnections(server, table);
}
