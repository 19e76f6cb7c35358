import type { AcceptReply, DeferredService } from './BaobabwellDeferredService';
import type { CallRequest, CallResult } from '@baobabwell/calls';
import type { FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { CallReason, checkAuthorization, createNotRun } from '@baobabwell/calls';
import { EntityKind, QueueMode } from '@baobabwell/model';

import { RETRY_AFTER_MS } from './BaobabwellDeferredConstants';

/** Dependencies of {@link DeferredGate}. */
export type DeferredGateDependencies = {
  readonly clock: Clock;
  readonly service: DeferredService;
  readonly getView: () => FleetView;
  /** Returns whether the view is recent enough to accept work. */
  readonly isCurrent: () => boolean;
};

/** Reply to a call of a deferred queue. */
export type GateReply = AcceptReply | { readonly kind: 'refused'; readonly result: CallResult };

/** Authorizes calls of deferred queues and submits them to {@link DeferredService}. */
export class DeferredGate {
  readonly #dependencies: DeferredGateDependencies;

  constructor(dependencies: DeferredGateDependencies) {
    this.#dependencies = dependencies;
  }

  /** Returns whether calls of a queue are stored and run later. */
  isDeferred(queue: string): boolean {
    return this.#dependencies.getView().get(EntityKind.Queue, queue)?.mode === QueueMode.Deferred;
  }

  /** Accepts a call, or refuses it for the same reasons as an immediate call. */
  async add(call: CallRequest): Promise<GateReply> {
    const { clock, service, getView, isCurrent } = this.#dependencies;
    if (!isCurrent()) {
      const result = createNotRun(CallReason.ViewStale, RETRY_AFTER_MS);
      return { kind: 'refused', result };
    }
    const authorization = checkAuthorization(getView(), call, clock.getWallTime());
    if (!authorization.ok) {
      return { kind: 'refused', result: createNotRun(authorization.error, null) };
    }
    const { queue, team } = authorization.value;
    return service.add({
      queue: queue.id,
      team,
      contentType: call.contentType,
      body: call.body,
      priority: call.priority,
      isRepeatable: call.isRepeatable,
      timeoutMs: call.timeoutMs ?? queue.deadlineMs,
      idempotencyKey: call.idempotencyKey,
    });
  }
}
