/**
 * Load pattern: open connections go silent for good, many in one moment, while new ones work. Only a call
 * without an answer shows it; if each connection had to show it by itself, each would cost a timeout.
 */
import type { Agent } from 'undici';

import { startResponseTimer } from '@baobabwell/utils';

import { AgentSet } from './BaobabwellHttpAgentSet';

/** Minimum time without an answer after which the connections are replaced, in ms. */
const MIN_SILENCE_MS = 550;

/** That time as a multiple of the last latency: a slow service is not a silent one. */
const SILENCE_FACTOR = 2.5;

/** Maximum of that time, in ms. */
const MAX_SILENCE_MS = 1_250;

/** Shortest interval between two replacements, in ms: meanwhile the new connections can answer. */
const RENEWAL_INTERVAL_MS = 1_500;

/** Connections that were opened after the last replacement. */
type Generation<Agents> = {
  readonly agents: Agents;
  /** Monotonic time from which these connections were opened, in ms. */
  readonly openedAtMs: number;
  /** Ends the calls that only wait on these connections. */
  readonly waitingCalls: Set<() => void>;
  /** Queued calls that were sent over these connections and have no answer. */
  readonly openCalls: Set<OpenCall<Agents>>;
};

/**
 * Sends a call over the given agents; the signal aborts it. `recordPart` is to be called when a part of the
 * answer arrives: its connection is not silent then, however long the rest takes.
 */
type SendCall<Agents, Reply> = (
  agents: Agents,
  signal: AbortSignal,
  recordPart: () => void,
) => Promise<Reply>;

/** A call that the service carries out in order with the others of its queue. */
type QueuedCall<Agents, Reply> = {
  readonly queue: string;
  readonly send: (agents: Agents, signal: AbortSignal) => Promise<Reply>;
  /** Sends a call to the same queue that changes nothing; `null` if there is none. */
  readonly probe: ((agents: Agents) => Promise<Reply>) | null;
  /** Returns true if the service replied after the call had had its turn in the queue. */
  readonly isInTurn: (reply: Reply) => boolean;
};

/** A queued call that has no answer yet. */
type OpenCall<Agents> = {
  readonly queue: string;
  /** Sends the probe; resolves to true if it was answered in its turn. */
  readonly probe: ((agents: Agents) => Promise<boolean>) | null;
  /** True once the call had no answer for as long as a silence takes. */
  isOverdue: boolean;
  /** True once a later call of its queue was answered over connections that were opened later. */
  isOvertaken: boolean;
  readonly abort: () => void;
};

/** The connections to one service, replaced together once a call shows that they may have gone silent. */
export class RenewedConnections<Agents extends Readonly<Record<string, Agent>>> {
  readonly #openAgents: () => Agents;

  readonly #handleRenewal: () => void;

  #generation: Generation<Agents>;

  /** Queued calls without an answer whose connections were replaced. */
  readonly #replacedCalls = new Set<OpenCall<Agents>>();

  /** Replaced agents whose last calls have not ended. */
  readonly #closing = new AgentSet();

  /** Latency of the last answer, in ms. */
  #latencyMs = 0;

  /** @param handleRenewal called when the connections are replaced. */
  constructor(openAgents: () => Agents, handleRenewal: () => void = () => undefined) {
    this.#openAgents = openAgents;
    this.#handleRenewal = handleRenewal;
    this.#generation = this.#createGeneration(-Infinity);
  }

  /** Sends a call that the service answers at once. A call under way stays on its connection. */
  async call<Reply>(
    send: (agents: Agents, recordPart: () => void) => Promise<Reply>,
  ): Promise<Reply> {
    const generation = this.#generation;
    const sentAtMs = performance.now();
    const cancelTimer = startResponseTimer(this.#getSilenceMs(), () => this.#renew(generation));
    let isArriving = false;
    const recordPart = (): void => {
      if (!isArriving) {
        isArriving = true;
        cancelTimer();
        this.#latencyMs = performance.now() - sentAtMs;
      }
    };
    try {
      const reply = await send(generation.agents, recordPart);
      recordPart();
      return reply;
    } finally {
      cancelTimer();
    }
  }

  /**
   * Sends a call that must not be sent twice. Once its connections are replaced, it is given up as soon as a
   * later call of its queue is answered over the new ones, provided that it was silent for long enough itself:
   * a slow service answers calls of a queue in order.
   *
   * @throws what the call throws, and an error when the call is given up; it may have been carried out.
   */
  async callInOrder<Reply>(call: QueuedCall<Agents, Reply>): Promise<Reply> {
    const { queue, probe, isInTurn } = call;
    const generation = this.#generation;
    const abortController = new AbortController();
    const open: OpenCall<Agents> = {
      queue,
      probe: probe === null ? null : async (agents) => isInTurn(await probe(agents)),
      isOverdue: false,
      isOvertaken: false,
      abort: () => abortController.abort(),
    };
    generation.openCalls.add(open);
    const sentAtMs = performance.now();
    const cancelTimer = startResponseTimer(this.#getSilenceMs(), () => {
      open.isOverdue = true;
      this.#renew(generation);
      this.#giveUpIfSilent(open);
    });
    try {
      const reply = await call.send(generation.agents, abortController.signal);
      this.#latencyMs = performance.now() - sentAtMs;
      if (isInTurn(reply)) {
        this.#recordTurn(queue, generation);
      }
      return reply;
    } catch (error) {
      if (abortController.signal.aborted) {
        throw new Error('no answer, while a later call was answered over a new connection', {
          cause: error,
        });
      }
      throw error;
    } finally {
      cancelTimer();
      generation.openCalls.delete(open);
      this.#replacedCalls.delete(open);
    }
  }

  /**
   * Sends a call that the service answers after up to `waitMs`, and that may be sent twice: it is sent again
   * when the connections are replaced.
   *
   * @throws what the call throws, also once the given signal has aborted it.
   */
  async wait<Reply>(
    waitMs: number,
    signal: AbortSignal,
    send: SendCall<Agents, Reply>,
  ): Promise<Reply> {
    const generation = this.#generation;
    const abortController = new AbortController();
    const abort = (): void => abortController.abort();
    signal.addEventListener('abort', abort, { once: true });
    generation.waitingCalls.add(abort);
    const silenceMs = waitMs + this.#getSilenceMs();
    const cancelTimer = startResponseTimer(silenceMs, () => this.#renew(generation));
    try {
      if (signal.aborted) {
        abort();
      }
      return await send(generation.agents, abortController.signal, () => {
        cancelTimer();
        generation.waitingCalls.delete(abort);
      });
    } catch (error) {
      const isRenewed = generation !== this.#generation && abortController.signal.aborted;
      if (!isRenewed || signal.aborted) {
        throw error;
      }
    } finally {
      cancelTimer();
      signal.removeEventListener('abort', abort);
      generation.waitingCalls.delete(abort);
    }
    return send(this.#generation.agents, signal, () => undefined);
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    const agents = [...Object.values(this.#generation.agents), ...this.#closing.list()];
    await Promise.all(agents.map(async (agent) => agent.destroy()));
  }

  #getSilenceMs(): number {
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * this.#latencyMs));
  }

  #createGeneration(openedAtMs: number): Generation<Agents> {
    return {
      agents: this.#openAgents(),
      openedAtMs,
      waitingCalls: new Set(),
      openCalls: new Set(),
    };
  }

  /** Replaces the connections, unless they have been since a call was sent or only just before. */
  #renew(silent: Generation<Agents>): void {
    const nowMs = performance.now();
    if (silent !== this.#generation || nowMs - silent.openedAtMs < RENEWAL_INTERVAL_MS) {
      return;
    }
    this.#generation = this.#createGeneration(nowMs);
    this.#handleRenewal();
    Object.values(silent.agents).forEach((agent) => this.#closing.closeOnceIdle(agent));
    [...silent.waitingCalls].forEach((abort) => abort());
    const probes = new Map([...silent.openCalls].map(({ queue, probe }) => [queue, probe]));
    silent.openCalls.forEach((call) => this.#replacedCalls.add(call));
    probes.forEach((probe, queue) => {
      if (probe !== null) {
        void this.#probeQueue(queue, probe);
      }
    });
  }

  async #probeQueue(queue: string, probe: (agents: Agents) => Promise<boolean>): Promise<void> {
    const generation = this.#generation;
    try {
      if (await probe(generation.agents)) {
        this.#recordTurn(queue, generation);
      }
    } catch {
      // Without an answer the service may be late itself; the calls under way end with their own timeouts.
    }
  }

  /** Records that a call of a queue was answered, which shows that earlier ones without an answer are silent. */
  #recordTurn(queue: string, answered: Generation<Agents>): void {
    if (answered !== this.#generation || this.#replacedCalls.size === 0) {
      return;
    }
    const overtaken = [...this.#replacedCalls].filter((call) => call.queue === queue);
    // The answers that arrived together with this one are read first.
    setImmediate(() =>
      overtaken.forEach((call) => {
        const overtakenCall = call;
        overtakenCall.isOvertaken = true;
        this.#giveUpIfSilent(call);
      }),
    );
  }

  #giveUpIfSilent(call: OpenCall<Agents>): void {
    if (call.isOverdue && call.isOvertaken && this.#replacedCalls.has(call)) {
      call.abort();
    }
  }
}
