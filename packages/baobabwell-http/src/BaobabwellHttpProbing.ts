/**
 * Load pattern: open connections to another process go silent for good while new ones work. A busy process
 * answers late and accepts connections late, which looks the same. A small request on a connection that was
 * open before and on a new one tells them apart: a busy process answers both or neither.
 */
import type { Agent, Dispatcher } from 'undici';

import { startResponseTimer } from '@baobabwell/utils';

import { AgentSet } from './BaobabwellHttpAgentSet';

/** Time without an answer to a call after which the connections are probed, in ms. */
const SILENCE_MS = 550;

/** Timeout of the probe on a new connection, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** Time for which the answer on an open connection may come later than that on the new one, in ms. */
const LATE_ANSWER_MS = 250;

/** Shortest interval between two probes of a process, in ms. */
const PROBE_INTERVAL_MS = 1_500;

/** The same after a probe that showed a late process, in ms: probes must not add to its load. */
const LATE_PROBE_INTERVAL_MS = 6_000;

/** Time for which the answer on an open connection to a late process is waited for, in ms. */
const LATE_PROCESS_MS = 3_000;

/** One request whose answer only shows that the connection works; whatever its status says. */
class ConnectionProbe implements Dispatcher.DispatchHandler {
  isAnswered = false;

  /** True once the request was written to a connection: it no longer waits behind others. */
  #isSent = false;

  #hasEnded = false;

  #abort: (() => void) | null = null;

  readonly #waiters = new Set<() => void>();

  constructor(agent: Agent, origin: string, path: string) {
    agent.dispatch({ origin, path, method: 'GET' }, this);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#abort = () => controller.abort(new Error('the probe has ended'));
    if (this.#hasEnded) {
      this.#abort();
    } else {
      this.#isSent = true;
    }
  }

  onResponseStart(): void {
    this.isAnswered = true;
  }

  onResponseData(): void {}

  onResponseEnd(): void {
    this.#end();
  }

  onResponseError(): void {
    this.#end();
  }

  /** Waits until the request has ended, for the given time at most, in ms. */
  async wait(timeoutMs: number): Promise<void> {
    if (this.#hasEnded) {
      return;
    }
    await new Promise<void>((resolve) => {
      const cancelTimer = startResponseTimer(timeoutMs, resolve);
      this.#waiters.add(() => {
        cancelTimer();
        resolve();
      });
    });
  }

  /** Closes the connection of a request without an answer. */
  abort(): void {
    if (!this.#hasEnded) {
      this.#end();
      this.#abort?.();
    }
  }

  /** Returns true while a request that was written has neither an answer nor an error. */
  isSilent(): boolean {
    return this.#isSent && !this.isAnswered && !this.#hasEnded;
  }

  #end(): void {
    this.#hasEnded = true;
    this.#waiters.forEach((notify) => notify());
    this.#waiters.clear();
  }
}

/** Connections to one process that were opened after the last replacement. */
type ProbedAgent = {
  agent: Agent;
  /** Monotonic time from which the connections may be probed again, in ms. */
  nextProbeAtMs: number;
};

/** The connections to each of several processes, replaced together once a probe shows that they are silent. */
export class ProbedConnections {
  readonly #openAgent: () => Agent;

  readonly #probePath: string;

  readonly #handleRenewal: (address: string) => void;

  readonly #agents = new Map<string, ProbedAgent>();

  /** Agents that are being probed or closed, apart from the present ones. */
  readonly #otherAgents = new AgentSet();

  #isClosed = false;

  /**
   * @param options.probePath path that the processes answer at once, with any status.
   * @param options.handleRenewal called when the connections to an address are replaced.
   */
  constructor(options: {
    readonly openAgent: () => Agent;
    readonly probePath: string;
    readonly handleRenewal: (address: string) => void;
  }) {
    this.#openAgent = options.openAgent;
    this.#probePath = options.probePath;
    this.#handleRenewal = options.handleRenewal;
  }

  /** Sends a call to a process; a call under way stays on its connection. */
  async call<Reply>(address: string, send: (agent: Agent) => Promise<Reply>): Promise<Reply> {
    const { agent } = this.#getAgent(address);
    const cancelTimer = startResponseTimer(SILENCE_MS, () => {
      void this.#probe(address, agent);
    });
    try {
      return await send(agent);
    } finally {
      cancelTimer();
    }
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const agents = [...this.#agents.values()].map(({ agent }) => agent);
    await Promise.all(
      [...agents, ...this.#otherAgents.list()].map(async (agent) => agent.destroy()),
    );
  }

  #getAgent(address: string): ProbedAgent {
    const existing = this.#agents.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const created = { agent: this.#openAgent(), nextProbeAtMs: -Infinity };
    this.#agents.set(address, created);
    return created;
  }

  async #probe(address: string, silent: Agent): Promise<void> {
    const current = this.#getAgent(address);
    const nowMs = performance.now();
    if (this.#isClosed || nowMs < current.nextProbeAtMs || current.agent !== silent) {
      return;
    }
    current.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    const fresh = this.#openAgent();
    this.#otherAgents.add(fresh);
    const origin = `http://${address}`;
    const openProbe = new ConnectionProbe(silent, origin, this.#probePath);
    const newProbe = new ConnectionProbe(fresh, origin, this.#probePath);
    await newProbe.wait(PROBE_TIMEOUT_MS);
    if (newProbe.isAnswered) {
      await openProbe.wait(LATE_ANSWER_MS);
    }
    const isSilent = newProbe.isAnswered && openProbe.isSilent();
    newProbe.abort();
    if (isSilent && !this.#isClosed) {
      openProbe.abort();
      current.agent = fresh;
      this.#otherAgents.remove(fresh);
      this.#handleRenewal(address);
      this.#otherAgents.closeOnceIdle(silent);
    } else {
      current.nextProbeAtMs = nowMs + LATE_PROBE_INTERVAL_MS;
      this.#otherAgents.closeOnceIdle(fresh);
      // A late process still answers it; closing the connection would only make it accept another one.
      await openProbe.wait(LATE_PROCESS_MS);
      openProbe.abort();
    }
  }
}
