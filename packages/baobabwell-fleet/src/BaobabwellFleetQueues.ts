import type { FleetConfiguration } from './BaobabwellFleetModel';
import type { JobRecord, QueueSettings } from '@baobabwell/jobs';

/** The queue of an accepted job: its name, and its settings at that time. */
export type AcceptedQueue = Pick<JobRecord, 'queue' | 'route'>;

type Queues = Pick<FleetConfiguration, 'queues'>;

type QueueIndex = {
  readonly byName: ReadonlyMap<string, QueueSettings>;
  readonly byAddress: ReadonlyMap<string, QueueSettings>;
};

/** Indexes of each list of queues that is in use. */
const indexes = new WeakMap<readonly QueueSettings[], QueueIndex>();

function formatAddress({ httpHost, pathPrefix }: QueueSettings): string {
  return `${httpHost} ${pathPrefix}`;
}

/** Returns true for queues that callers reach by the same host and path prefix. */
export function hasSameAddress(left: QueueSettings, right: QueueSettings): boolean {
  return left.pathPrefix === right.pathPrefix && left.httpHost === right.httpHost;
}

function getIndex({ queues }: Queues): QueueIndex {
  const known = indexes.get(queues);
  if (known !== undefined) {
    return known;
  }
  const created = {
    byName: new Map(queues.map((queue) => [queue.name, queue])),
    byAddress: new Map(queues.map((queue) => [formatAddress(queue), queue])),
  };
  indexes.set(queues, created);
  return created;
}

/** Returns the queues of a configuration by name; built once for each configuration. */
export function getQueuesByName(configuration: Queues): ReadonlyMap<string, QueueSettings> {
  return getIndex(configuration).byName;
}

/** Finds a queue of a configuration; returns `null` also while there is no configuration. */
export function findQueueByName(configuration: Queues | null, name: string): QueueSettings | null {
  return configuration === null ? null : (getQueuesByName(configuration).get(name) ?? null);
}

/**
 * Finds the queue under which an accepted job goes on: the one that callers reach at the same address, also
 * under another name, or the one of its name at another address. Both must keep the pool, unless name and
 * address are the same: a route that takes an old name or address must not get the jobs of another. Otherwise
 * the job keeps the settings with which it was accepted, as a job outlives its route.
 *
 * @returns `null` while there is no configuration, and for a job without stored settings whose queue is gone.
 */
export function findQueueOfJob(
  configuration: Queues | null,
  { queue, route }: AcceptedQueue,
): QueueSettings | null {
  const named = findQueueByName(configuration, queue);
  if (configuration === null || route === undefined) {
    return named;
  }
  if (named !== null && hasSameAddress(named, route)) {
    return named;
  }
  const reached = getIndex(configuration).byAddress.get(formatAddress(route));
  return [reached, named].find((found) => found?.pool === route.pool) ?? route;
}
