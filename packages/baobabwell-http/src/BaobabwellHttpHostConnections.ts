/**
 * Load pattern: open connections to a worker go silent for good while new ones work. A busy worker answers
 * late and accepts connections late, which looks the same. A hold call without an answer stays open for a
 * while: a busy worker answers it late, before or soon after the next one on a new connection.
 */
import type { Agent } from 'undici';

import { startResponseTimer } from '@baobabwell/utils';

import { AgentSet } from './BaobabwellHttpAgentSet';

/** Time for which a hold call that timed out stays open for a late answer, in ms. */
const LATE_HOLD_MS = 1_500;

/** Time for which that answer may come later than the one on a new connection, in ms. */
const LATE_ANSWER_MS = 250;

/** Time after which the unused connections to a host are forgotten, in ms; idle ones are closed earlier. */
const FORGET_MS = 120_000;

/** Sends a hold call over the given connections with the given timeout, in ms. */
type SendHold<Reply> = (agent: Agent, timeoutMs: number) => Promise<Reply>;

/** The connections to one host. */
type HostConnection = {
  agent: Agent;
  /** A hold call over them that timed out and may be answered late; `null` if there is none. */
  unansweredHold: Promise<unknown> | null;
  /** New connections for the holds meanwhile. */
  candidate: Agent | null;
  usedAtMs: number;
};

/** The connections to hosts; those to one host are replaced together once a hold shows that they are silent. */
export class HostConnections {
  readonly #openAgent: () => Agent;

  readonly #handleRenewal: (address: string) => void;

  readonly #hosts = new Map<string, HostConnection>();

  /** Replaced agents, and candidates that were given up, whose last calls have not ended. */
  readonly #closing = new AgentSet();

  /** @param handleRenewal called when the connections to an address are replaced. */
  constructor(openAgent: () => Agent, handleRenewal: (address: string) => void) {
    this.#openAgent = openAgent;
    this.#handleRenewal = handleRenewal;
  }

  /** Returns the agent for an order to a host. */
  getAgent(address: string): Agent {
    return this.#getHost(address).agent;
  }

  /**
   * Sends a hold call; the holds of one host are sent one after another.
   *
   * @throws what the call throws, and an error when it has no answer in time.
   */
  async hold<Reply>(address: string, timeoutMs: number, send: SendHold<Reply>): Promise<Reply> {
    const host = this.#getHost(address);
    return host.unansweredHold === null
      ? this.#holdOverOpen(host, timeoutMs, send)
      : this.#holdOverNew(address, host, timeoutMs, send);
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    const agents = [...this.#hosts.values()].flatMap(({ agent, candidate }) =>
      candidate === null ? [agent] : [agent, candidate],
    );
    await Promise.all([...agents, ...this.#closing.list()].map(async (agent) => agent.destroy()));
  }

  #getHost(address: string): HostConnection {
    const nowMs = performance.now();
    const existing = this.#hosts.get(address);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing;
    }
    this.#prune(nowMs);
    const created: HostConnection = {
      agent: this.#openAgent(),
      unansweredHold: null,
      candidate: null,
      usedAtMs: nowMs,
    };
    this.#hosts.set(address, created);
    return created;
  }

  #prune(nowMs: number): void {
    this.#hosts.forEach(({ agent, candidate, usedAtMs }, address) => {
      if (candidate === null && nowMs - usedAtMs > FORGET_MS) {
        this.#hosts.delete(address);
        this.#closing.closeOnceIdle(agent);
      }
    });
  }

  async #holdOverOpen<Reply>(
    host: HostConnection,
    timeoutMs: number,
    send: SendHold<Reply>,
  ): Promise<Reply> {
    const open = host;
    const reply = send(host.agent, timeoutMs + LATE_HOLD_MS);
    return new Promise((resolve, reject) => {
      const cancelTimer = startResponseTimer(timeoutMs, () => {
        open.unansweredHold = reply;
        reject(new Error(`no response within ${timeoutMs} ms`));
      });
      const finish = (): void => {
        cancelTimer();
        if (open.unansweredHold === reply) {
          open.unansweredHold = null;
        }
      };
      reply.then(finish, finish);
      reply.then(resolve, reject);
    });
  }

  async #holdOverNew<Reply>(
    address: string,
    host: HostConnection,
    timeoutMs: number,
    send: SendHold<Reply>,
  ): Promise<Reply> {
    const tried = host;
    const isFirst = host.candidate === null;
    const candidate = host.candidate ?? this.#openAgent();
    tried.candidate = candidate;
    try {
      const reply = await send(candidate, timeoutMs);
      if (isFirst) {
        startResponseTimer(LATE_ANSWER_MS, () => this.#decide(address, host, candidate));
      }
      return reply;
    } catch (error) {
      if (host.candidate === candidate) {
        tried.candidate = null;
        this.#closing.closeOnceIdle(candidate);
      }
      throw error;
    }
  }

  /** Replaces the connections to a host unless the hold over them was answered or failed meanwhile. */
  #decide(address: string, host: HostConnection, candidate: Agent): void {
    if (host.candidate !== candidate) {
      return;
    }
    const decided = host;
    decided.candidate = null;
    if (host.unansweredHold === null) {
      this.#closing.closeOnceIdle(candidate);
      return;
    }
    const { agent: silent } = host;
    decided.agent = candidate;
    decided.unansweredHold = null;
    this.#handleRenewal(address);
    this.#closing.closeOnceIdle(silent);
  }
}
