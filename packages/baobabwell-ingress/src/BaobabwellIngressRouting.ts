import type { FleetConfiguration, QueueSettings } from '@baobabwell/fleet';

/** A queue and the part of the path after the queue's prefix. */
export type RoutedQueue = { readonly queue: QueueSettings; readonly remainingPath: string };

/** Finds the queue on an HTTP host whose path prefix is the longest match for a path. */
export function findQueue(
  queues: readonly QueueSettings[],
  httpHost: string,
  path: string,
): RoutedQueue | null {
  let best: QueueSettings | null = null;
  queues.forEach((queue) => {
    const isLonger = queue.pathPrefix.length > (best?.pathPrefix.length ?? -1);
    if (queue.httpHost === httpHost && path.startsWith(queue.pathPrefix) && isLonger) {
      best = queue;
    }
  });
  const found = best as QueueSettings | null;
  return found === null
    ? null
    : { queue: found, remainingPath: path.slice(found.pathPrefix.length) };
}

/** Finds the organisation that owns a key. */
export function findOrganisation(
  { organisations }: FleetConfiguration,
  key: string,
): string | null {
  return organisations.find(({ keys }) => keys.includes(key))?.name ?? null;
}
