import type { Answer, RawCall } from './BaobabwellIngressModel';
import type { FleetConfiguration, QueueSettings } from '@baobabwell/fleet';
import type { Result } from '@baobabwell/utils';

import { createError, createOk } from '@baobabwell/utils';

import { AnswerKind } from './BaobabwellIngressModel';

/** Retry delay sent to callers while this process has no configuration, or an outdated one, in ms. */
export const NO_CONFIGURATION_RETRY_AFTER_MS = 1_000;

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

/** The queue of a call, and the organisation that makes it. */
export type RoutedCall = RoutedQueue & { readonly organisation: string | null };

/** Why a call has no queue, or may not use it. */
export type UnroutedCall = { readonly answer: Answer; readonly queue: QueueSettings | null };

/** Finds the queue of a call and checks its key. No body is needed for that. */
export function routeCall(
  configuration: FleetConfiguration | null,
  isCurrent: boolean,
  { httpHost, path, key }: Pick<RawCall, 'httpHost' | 'path' | 'key'>,
): Result<RoutedCall, UnroutedCall> {
  if (configuration === null || !isCurrent) {
    const reason =
      configuration === null ? 'no configuration yet' : 'the configuration may be outdated';
    const retryAfterMs = NO_CONFIGURATION_RETRY_AFTER_MS;
    const answer: Answer = { kind: AnswerKind.Unavailable, reason, retryAfterMs };
    return createError({ answer, queue: null });
  }
  const routed = findQueue(configuration.queues, httpHost, path);
  if (routed === null) {
    return createError({ answer: { kind: AnswerKind.UnknownQueue }, queue: null });
  }
  const { queue } = routed;
  const organisation = key === null ? null : findOrganisation(configuration, key);
  return organisation === null && !queue.isOpen
    ? createError({ answer: { kind: AnswerKind.UnknownKey }, queue })
    : createOk({ ...routed, organisation });
}
