import type { Agent } from 'undici';

/** Agents apart from the present ones: tried for a while, or closed once their last calls have ended. */
export class AgentSet {
  readonly #agents = new Set<Agent>();

  add(agent: Agent): void {
    this.#agents.add(agent);
  }

  remove(agent: Agent): void {
    this.#agents.delete(agent);
  }

  /** Closes an agent once its last call has ended. */
  closeOnceIdle(agent: Agent): void {
    this.#agents.add(agent);
    const remove = (): void => this.remove(agent);
    // An agent that is destroyed meanwhile has nothing left to close.
    agent.close().then(remove, remove);
  }

  list(): readonly Agent[] {
    return [...this.#agents];
  }
}
