import type { VersionedWork, Work } from './BaobabwellDeferred';
import type { Acceptance, WorkAcceptor } from './BaobabwellDeferredAcceptor';
import type { BodyStore } from './BaobabwellDeferredBodies';
import type { WorkIndex } from './BaobabwellDeferredIndex';
import type { WorkStore } from './BaobabwellDeferredStore';
import type { PriorityClass } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';

import { createHash, randomUUID } from 'node:crypto';

import { Outcome } from '@baobabwell/model';

import { buildEnded, buildPlainResult, isOpen, WorkReason, WorkState } from './BaobabwellDeferred';
import { MAX_CANCEL_BATCH_ITEMS } from './BaobabwellDeferredConstants';

/** Authorized request of a caller to store work. */
export type WorkRequest = {
  readonly queue: string;
  readonly team: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly priority: PriorityClass;
  readonly isRepeatable: boolean;
  readonly timeoutMs: number;
  /** Identifies the work across repeated requests of the caller, or `null`. */
  readonly idempotencyKey: string | null;
};

/** Reply to a request to store work. */
export type AcceptReply =
  | { readonly kind: 'accepted'; readonly work: Work }
  | { readonly kind: 'key-reused' }
  | { readonly kind: 'unavailable' }
  /** The outcome is unknown; a later lookup of the identifier shows whether the work is stored. */
  | { readonly kind: 'unknown'; readonly id: string };

/** Result of a lookup. */
export type LookupReply =
  | { readonly kind: 'found'; readonly work: Work }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'unavailable' };

/** Result of one cancellation. */
export enum CancelResult {
  /** The work had not started and never will. */
  Cancelled = 'cancelled',
  /** The work is running and is being stopped. */
  Stopping = 'stopping',
  Ended = 'ended',
  NotFound = 'not-found',
  Unavailable = 'unavailable',
}

/** Dependencies of {@link DeferredService}. */
export type DeferredServiceDependencies = {
  readonly clock: Clock;
  readonly acceptor: WorkAcceptor;
  readonly index: WorkIndex;
  readonly store: WorkStore;
  readonly bodies: BodyStore;
};

function buildDigest(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex');
}

function buildId({ team, queue, idempotencyKey }: WorkRequest): string {
  return idempotencyKey === null
    ? randomUUID()
    : createHash('sha256').update(`${team}\n${queue}\n${idempotencyKey}`).digest('hex');
}

/** Accepts, looks up, awaits and cancels deferred work. Accepted work is durably stored. */
export class DeferredService {
  readonly #dependencies: DeferredServiceDependencies;

  constructor(dependencies: DeferredServiceDependencies) {
    this.#dependencies = dependencies;
  }

  /** Stores a work item and returns the reply to its caller. */
  async add(request: WorkRequest): Promise<AcceptReply> {
    const { acceptor, bodies } = this.#dependencies;
    const id = buildId(request);
    const body = await bodies.put(`deferred/${id}/body`, request.body);
    if (body === null) {
      return { kind: 'unavailable' };
    }
    const work = this.#buildWork(id, request, body);
    const acceptance: Acceptance = await acceptor.add(work);
    switch (acceptance.kind) {
      case 'accepted':
      case 'existing':
        return acceptance.work.digest === work.digest
          ? { kind: 'accepted', work: acceptance.work }
          : { kind: 'key-reused' };
      case 'unavailable':
        return { kind: 'unavailable' };
      case 'unknown':
        return { kind: 'unknown', id };
    }
  }

  /** Finds a work item of a team and waits up to `waitMs` for its end. */
  async find(id: string, team: string, waitMs: number, signal: AbortSignal): Promise<LookupReply> {
    const found = await this.#dependencies.store.read(id);
    if (found === undefined) {
      return { kind: 'unavailable' };
    }
    if (found?.work.team !== team) {
      return { kind: 'not-found' };
    }
    if (!isOpen(found.work) || waitMs <= 0) {
      return { kind: 'found', work: found.work };
    }
    const ended = await this.#waitForEnd(id, waitMs, signal);
    return { kind: 'found', work: ended ?? found.work };
  }

  /** Reads the answer of a work item; `null` without one, `undefined` when it can't be read. */
  async readAnswer({ result }: Work): Promise<Uint8Array | null | undefined> {
    const body = result?.body ?? null;
    return body === null ? null : ((await this.#dependencies.bodies.get(body)) ?? undefined);
  }

  /** Cancels work items of a team in batches, one transaction per batch. */
  async cancel(ids: readonly string[], team: string): Promise<ReadonlyMap<string, CancelResult>> {
    const results = new Map<string, CancelResult>();
    for (let first = 0; first < ids.length; first += MAX_CANCEL_BATCH_ITEMS) {
      await this.#cancelBatch(ids.slice(first, first + MAX_CANCEL_BATCH_ITEMS), team, results);
    }
    return results;
  }

  async #cancelBatch(
    ids: readonly string[],
    team: string,
    results: Map<string, CancelResult>,
  ): Promise<void> {
    const open: VersionedWork[] = [];
    for (const id of new Set(ids)) {
      const found = this.#dependencies.index.get(id) ?? (await this.#dependencies.store.read(id));
      const result = this.#getUncancellableResult(found, team);
      if (result !== null) {
        results.set(id, result);
      } else if (found) {
        open.push(found);
      }
    }
    if (open.length > 0) {
      await this.#writeCancellations(open, results);
    }
  }

  /** Returns the result if the work cannot be cancelled; `null` for open work of the team. */
  #getUncancellableResult(
    found: VersionedWork | null | undefined,
    team: string,
  ): CancelResult | null {
    if (found === undefined) {
      return CancelResult.Unavailable;
    }
    if (found?.work.team !== team) {
      return CancelResult.NotFound;
    }
    return isOpen(found.work) ? null : CancelResult.Ended;
  }

  /** Writes all cancellations in one transaction; one by one if it fails, as after a row changed. */
  async #writeCancellations(
    open: readonly VersionedWork[],
    results: Map<string, CancelResult>,
  ): Promise<void> {
    const changes = open.map((found) => this.#buildCancellation(found));
    if (await this.#dependencies.store.write(changes)) {
      changes.forEach(({ work }) => results.set(work.id, this.#getCancelResult(work)));
      return;
    }
    for (const { work } of open) {
      results.set(work.id, await this.#cancelOne(work.id));
    }
  }

  async #cancelOne(id: string): Promise<CancelResult> {
    const found = await this.#dependencies.store.read(id);
    if (!found) {
      return found === null ? CancelResult.NotFound : CancelResult.Unavailable;
    }
    const isCancelled =
      found.work.isCancelRequested || found.work.result?.reason === WorkReason.Cancelled;
    if (isCancelled || !isOpen(found.work)) {
      return isCancelled ? this.#getCancelResult(found.work) : CancelResult.Ended;
    }
    const change = this.#buildCancellation(found);
    return (await this.#dependencies.store.write([change]))
      ? this.#getCancelResult(change.work)
      : CancelResult.Unavailable;
  }

  #getCancelResult(work: Work): CancelResult {
    return work.state === WorkState.Ended ? CancelResult.Cancelled : CancelResult.Stopping;
  }

  #buildCancellation({ work, version }: VersionedWork): {
    readonly work: Work;
    readonly expectedVersion: number;
  } {
    const requested = { ...work, isCancelRequested: true };
    const result = buildPlainResult(Outcome.NotRun, WorkReason.Cancelled);
    return {
      work:
        work.state === WorkState.Waiting
          ? buildEnded(requested, result, this.#dependencies.clock.getWallTime())
          : requested,
      expectedVersion: version,
    };
  }

  async #waitForEnd(id: string, waitMs: number, signal: AbortSignal): Promise<Work | null> {
    const { clock, index } = this.#dependencies;
    const ended = new AbortController();
    let endedWork: Work | null = null;
    const undo = index.registerListener((work) => {
      if (work.id === id && !isOpen(work)) {
        endedWork = work;
        ended.abort();
      }
    });
    await clock.wait(waitMs, AbortSignal.any([signal, ended.signal]));
    undo();
    return endedWork;
  }

  #buildWork(id: string, request: WorkRequest, body: Work['body']): Work {
    const acceptedAt = this.#dependencies.clock.getWallTime();
    const { queue, team, contentType, priority, isRepeatable, timeoutMs } = request;
    return {
      id,
      queue,
      team,
      contentType,
      body,
      digest: buildDigest(request.body),
      priority,
      isRepeatable,
      acceptedAt,
      deadlineAt: acceptedAt + timeoutMs,
      notBefore: acceptedAt,
      state: WorkState.Waiting,
      owner: null,
      attempts: 0,
      isCancelRequested: false,
      endedAt: null,
      result: null,
    };
  }
}
