import type { FleetConfiguration, QueueSettings } from './BaobabwellFleetModel';

/** Queues by their name, for each list of queues that is in use. */
const queuesByName = new WeakMap<readonly QueueSettings[], ReadonlyMap<string, QueueSettings>>();

/** Returns the queues of a configuration by name; built once for each configuration. */
export function getQueuesByName({
  queues,
}: Pick<FleetConfiguration, 'queues'>): ReadonlyMap<string, QueueSettings> {
  const known = queuesByName.get(queues);
  if (known !== undefined) {
    return known;
  }
  const created = new Map(queues.map((queue) => [queue.name, queue]));
  queuesByName.set(queues, created);
  return created;
}

/** Finds a queue of a configuration; returns `null` also while there is no configuration. */
export function findQueueByName(
  configuration: Pick<FleetConfiguration, 'queues'> | null,
  name: string,
): QueueSettings | null {
  return configuration === null ? null : (getQueuesByName(configuration).get(name) ?? null);
}
