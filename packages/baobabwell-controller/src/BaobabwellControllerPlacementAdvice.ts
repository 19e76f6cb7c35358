import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Step } from '@baobabwell/jobs';

/** Maximum number of hosts in one call: the advisor takes some time for each host. */
const HOSTS_PER_CALL = 6;

/** Concurrent calls; the advisor processes them one after the other. */
const MAX_CALLS = 2;

/** Time before its expiry at which a ticket is no longer used, in ms. */
const TICKET_MARGIN_MS = 300;

/** Delay after a failed call, in ms. */
const RETRY_DELAY_MS = 200;

type StepAdvice = {
  /** Tickets of the hosts that may run the step, each with its last use in ms of the monotonic clock. */
  readonly tickets: Map<string, { readonly ticket: string; readonly untilMs: number }>;
  /** Hosts that may not run the step; a refusal is final. */
  readonly refused: Set<string>;
  isRequesting: boolean;
  notBeforeMs: number;
};

/** Requests placement advice for steps whose queue requires it, and caches the tickets. */
export class PlacementAdviceCache {
  readonly #context: TermContext;

  readonly #advice = new WeakMap<Step, StepAdvice>();

  #activeCallCount = 0;

  constructor(context: TermContext) {
    this.#context = context;
  }

  /**
   * Returns the valid tickets of a step by host, and requests tickets for further hosts with free
   * capacity; returns `null` when the queue requires no tickets or there is no advisor.
   */
  findTickets(step: Step, queue: QueueSettings | null): ReadonlyMap<string, string> | null {
    if (queue?.advice == null || this.#context.advisor === null) {
      return null;
    }
    const nowMs = this.#context.clock.getNow();
    const advice = this.#getAdvice(step);
    const usable = new Map<string, string>();
    advice.tickets.forEach(({ ticket, untilMs }, hostId) => {
      if (untilMs > nowMs) {
        usable.set(hostId, ticket);
      }
    });
    if (!advice.isRequesting && this.#activeCallCount < MAX_CALLS && nowMs >= advice.notBeforeMs) {
      const hosts = this.#listCandidates(queue.pool, step, usable, advice);
      if (hosts.length > 0) {
        void this.#requestTickets(step, queue, hosts, advice);
      }
    }
    return usable;
  }

  #getAdvice(step: Step): StepAdvice {
    const cachedAdvice = this.#advice.get(step);
    if (cachedAdvice !== undefined) {
      return cachedAdvice;
    }
    const advice: StepAdvice = {
      tickets: new Map(),
      refused: new Set(),
      isRequesting: false,
      notBeforeMs: 0,
    };
    this.#advice.set(step, advice);
    return advice;
  }

  /** Lists hosts with free capacity for the step but no valid ticket, those with most free CPU first. */
  #listCandidates(
    pool: string,
    step: Step,
    usable: ReadonlyMap<string, string>,
    { refused }: StepAdvice,
  ): readonly string[] {
    const nowMs = this.#context.clock.getNow();
    const { need } = step.spec;
    return [...this.#context.hosts.values()]
      .filter((host) => host.pool === pool && host.canTakeWork(nowMs))
      .filter(({ incarnation }) => !usable.has(incarnation.id) && !refused.has(incarnation.id))
      .filter((host) => {
        const free = host.getFreeResources();
        return free.cpuMillis >= need.cpuMillis && free.memoryMb >= need.memoryMb;
      })
      .toSorted(
        (left, right) => right.getFreeResources().cpuMillis - left.getFreeResources().cpuMillis,
      )
      .slice(0, HOSTS_PER_CALL)
      .map(({ incarnation }) => incarnation.id);
  }

  async #requestTickets(
    step: Step,
    queue: QueueSettings,
    hostIds: readonly string[],
    stepAdvice: StepAdvice,
  ): Promise<void> {
    const { advisor, clock, logger, requestDispatch } = this.#context;
    const advice = stepAdvice;
    const name = `${step.job.record.id}.${step.occurrence}.${step.position}`;
    const sentAtMs = clock.getNow();
    advice.isRequesting = true;
    this.#activeCallCount += 1;
    const reply = await advisor?.requestAdvice(name, hostIds);
    this.#activeCallCount -= 1;
    advice.isRequesting = false;
    if (!reply?.ok) {
      advice.notBeforeMs = clock.getNow() + RETRY_DELAY_MS;
      logger.recordWarning('advice-failed', { step: name, cause: reply?.error.cause ?? null });
      return;
    }
    const approved = new Set(reply.value.map(({ hostId }) => hostId));
    const untilMs = sentAtMs + (queue.advice?.validMs ?? 0) - TICKET_MARGIN_MS;
    reply.value.forEach(({ hostId, ticket }) => advice.tickets.set(hostId, { ticket, untilMs }));
    hostIds
      .filter((hostId) => !approved.has(hostId))
      .forEach((hostId) => advice.refused.add(hostId));
    logger.recordInfo('advice-received', {
      step: name,
      asked: hostIds.length,
      good: approved.size,
    });
    requestDispatch();
  }
}
