import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';
import type { Step } from '@baobabwell/jobs';

/** Hosts asked about in one call: the advisor takes a period for each. */
const HOSTS_PER_CALL = 6;

/** Calls that are under way at once; the advisor takes one after the other. */
const MAX_CALLS = 2;

/** A ticket is no longer used this long before it runs out, in ms. */
const TICKET_MARGIN_MS = 300;

/** Pause after a call that failed, in ms. */
const RETRY_MS = 200;

type StepAdvice = {
  /** Ticket and last use of each host that may run the step, in ms of the steady clock. */
  readonly tickets: Map<string, { readonly ticket: string; readonly untilMs: number }>;
  /** Hosts that may not run the step, which does not change. */
  readonly refused: Set<string>;
  isAsking: boolean;
  notBeforeMs: number;
};

/** Asks the advisor about steps whose queue needs it, and keeps its tickets. */
export class AdviceDesk {
  readonly #context: TermContext;

  readonly #advice = new WeakMap<Step, StepAdvice>();

  #calls = 0;

  constructor(context: TermContext) {
    this.#context = context;
  }

  /** Finds the tickets of a step, and asks for more where there are too few; `null` if none needed. */
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
    if (!advice.isAsking && this.#calls < MAX_CALLS && nowMs >= advice.notBeforeMs) {
      const hosts = this.#listCandidates(queue.pool, step, usable, advice);
      if (hosts.length > 0) {
        void this.#ask(step, queue, hosts, advice);
      }
    }
    return usable;
  }

  #getAdvice(step: Step): StepAdvice {
    const known = this.#advice.get(step);
    if (known !== undefined) {
      return known;
    }
    const advice: StepAdvice = {
      tickets: new Map(),
      refused: new Set(),
      isAsking: false,
      notBeforeMs: 0,
    };
    this.#advice.set(step, advice);
    return advice;
  }

  /** Hosts with room for the step that have no valid ticket; those with most room first. */
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
      .filter(({ life }) => !usable.has(life.id) && !refused.has(life.id))
      .filter((host) => {
        const free = host.getFree();
        return free.cpuMillis >= need.cpuMillis && free.memoryMb >= need.memoryMb;
      })
      .toSorted((left, right) => right.getFree().cpuMillis - left.getFree().cpuMillis)
      .slice(0, HOSTS_PER_CALL)
      .map(({ life }) => life.id);
  }

  async #ask(
    step: Step,
    queue: QueueSettings,
    hostIds: readonly string[],
    asked: StepAdvice,
  ): Promise<void> {
    const { advisor, clock, logger, requestDispatch } = this.#context;
    const advice = asked;
    const name = `${step.job.record.id}.${step.occurrence}.${step.position}`;
    const sentAtMs = clock.getNow();
    advice.isAsking = true;
    this.#calls += 1;
    const reply = await advisor?.requestAdvice(name, hostIds);
    this.#calls -= 1;
    advice.isAsking = false;
    if (!reply?.ok) {
      advice.notBeforeMs = clock.getNow() + RETRY_MS;
      logger.recordWarning('advice-failed', { step: name, cause: reply?.error.cause ?? null });
      return;
    }
    const good = new Set(reply.value.map(({ hostId }) => hostId));
    const untilMs = sentAtMs + (queue.advice?.validMs ?? 0) - TICKET_MARGIN_MS;
    reply.value.forEach(({ hostId, ticket }) => advice.tickets.set(hostId, { ticket, untilMs }));
    hostIds.filter((hostId) => !good.has(hostId)).forEach((hostId) => advice.refused.add(hostId));
    logger.recordInfo('advice-received', { step: name, asked: hostIds.length, good: good.size });
    requestDispatch();
  }
}
