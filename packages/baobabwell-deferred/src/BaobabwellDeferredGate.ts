import type { AcceptReply, DeferredService } from './BaobabwellDeferredService';
import type { CallRequest, CallResult } from '@baobabwell/calls';
import type { FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { CallReason, checkAuthorization, createNotRun } from '@baobabwell/calls';
import { EntityKind, QueueMode } from '@baobabwell/model';

import { RETRY_AFTER_MS } from './BaobabwellDeferredConstants';

/** What the gate works with. */
export type DeferredGateParts = {
  readonly clock: Clock;
  readonly service: DeferredService;
  readonly getView: () => FleetView;
  /** Whether the view is recent enough to accept work. */
  readonly isCurrent: () => boolean;
};

/** What a caller of a deferred queue is told. */
export type GateReply = AcceptReply | { readonly kind: 'refused'; readonly result: CallResult };

/** Checks calls of deferred queues and hands them over to be stored. */
export class DeferredGate {
  readonly #parts: DeferredGateParts;

  constructor(parts: DeferredGateParts) {
    this.#parts = parts;
  }

  /** True when work of the queue is stored and run later. */
  isDeferred(queue: string): boolean {
    return this.#parts.getView().get(EntityKind.Queue, queue)?.mode === QueueMode.Deferred;
  }

  /** Accepts a call, or refuses it for the reasons that any call is refused for. */
  async add(call: CallRequest): Promise<GateReply> {
    const { clock, service, getView, isCurrent } = this.#parts;
    if (!isCurrent()) {
      const result = createNotRun(CallReason.ViewStale, RETRY_AFTER_MS);
      return { kind: 'refused', result };
    }
    const checked = checkAuthorization(getView(), call, clock.getWallTime());
    if (!checked.ok) {
      return { kind: 'refused', result: createNotRun(checked.error, null) };
    }
    const { queue, team } = checked.value;
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
