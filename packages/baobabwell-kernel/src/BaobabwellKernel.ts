import type { CloseFailure, Undo } from './BaobabwellKernelLifecycle';
import type {
  Command,
  CommandHandler,
  EventListener,
  KernelEvent,
  ServiceToken,
} from './BaobabwellKernelMessages';
import type { Clock } from '@baobabwell/utils';
import type { AwilixContainer } from 'awilix';

import { asFunction, createContainer, InjectionMode } from 'awilix';

import { checkInvariant } from '@baobabwell/utils';

import { LifecycleManager } from './BaobabwellKernelLifecycle';
import { CommandPriority } from './BaobabwellKernelMessages';

type RegisteredHandler = {
  readonly priority: CommandPriority;
  readonly handler: CommandHandler<unknown, unknown>;
};

/** A feature that registers its services, commands and listeners and returns a function that reverts them. */
export type Plugin = {
  readonly name: string;
  readonly register: (kernel: Kernel) => Undo;
  /** Starts tasks and servers after all plug-ins have registered. */
  readonly start?: (kernel: Kernel) => Promise<void>;
};

/** Merges several undo functions into one that calls them in reverse order. */
export function mergeUndo(...undos: readonly Undo[]): Undo {
  return () => {
    undos.toReversed().forEach((undo) => undo());
  };
}

/**
 * Container of services, commands, events and the lifecycle. It does not depend on any feature:
 * features are plug-ins that communicate through tokens, commands and events.
 */
export class Kernel {
  readonly clock: Clock;

  readonly lifecycle: LifecycleManager;

  readonly #container: AwilixContainer = createContainer({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });

  /** Services that were built; the container allocates for each look-up. */
  readonly #services = new Map<string, unknown>();

  readonly #handlers = new Map<object, RegisteredHandler[]>();

  readonly #listeners = new Map<object, Set<EventListener<unknown>>>();

  readonly #plugins: Plugin[] = [];

  constructor(clock: Clock) {
    this.clock = clock;
    this.lifecycle = new LifecycleManager(clock);
  }

  /** Registers a plug-in; its registrations are reverted when the kernel closes. */
  use(plugin: Plugin): void {
    checkInvariant(
      this.#plugins.every((other) => other.name !== plugin.name),
      `plug-in ${plugin.name} is registered twice`,
    );
    this.#plugins.push(plugin);
    this.lifecycle.add(`plug-in ${plugin.name}`, plugin.register(this));
  }

  /** Starts all plug-ins in order of registration, until the kernel closes. */
  async start(): Promise<void> {
    for (const plugin of this.#plugins) {
      if (this.lifecycle.isClosing) {
        return;
      }
      await plugin.start?.(this);
    }
  }

  /** Closes all plug-ins and resources in reverse order of registration. */
  async close(): Promise<readonly CloseFailure[]> {
    return this.lifecycle.close();
  }

  /** Registers the factory of a service, which is built once, on first use. */
  registerService<Service>(token: ServiceToken<Service>, build: (kernel: Kernel) => Service): Undo {
    checkInvariant(
      !this.#container.hasRegistration(token.name),
      `service ${token.name} is registered twice`,
    );
    this.#container.register(token.name, asFunction(() => build(this)).singleton());
    return () => {
      delete this.#container.registrations[token.name];
      this.#services.delete(token.name);
    };
  }

  /** Returns whether a service is registered under the token. */
  hasService(token: ServiceToken<unknown>): boolean {
    return this.#container.hasRegistration(token.name);
  }

  /** Gets a service, building it on first use. */
  getService<Service>(token: ServiceToken<Service>): Service {
    if (!this.#services.has(token.name)) {
      this.#services.set(token.name, this.#container.resolve<Service>(token.name));
    }
    return this.#services.get(token.name) as Service;
  }

  /** Registers a handler of a command. */
  registerCommand<Payload, Reply>(
    command: Command<Payload, Reply>,
    handler: CommandHandler<Payload, Reply>,
    priority: CommandPriority = CommandPriority.Normal,
  ): Undo {
    const registered = { priority, handler: handler as CommandHandler<unknown, unknown> };
    const handlers = this.#handlers.get(command) ?? [];
    this.#handlers.set(
      command,
      [...handlers, registered].toSorted((a, b) => b.priority - a.priority),
    );
    return () => {
      const remaining = this.#handlers.get(command)?.filter((other) => other !== registered);
      this.#handlers.set(command, remaining ?? []);
    };
  }

  /**
   * Calls the handlers of a command by descending priority until one of them answers.
   *
   * @returns the answer, or `null` if no handler answered.
   */
  async dispatchCommand<Payload, Reply>(
    command: Command<Payload, Reply>,
    payload: Payload,
  ): Promise<Reply | null> {
    for (const { handler } of this.#handlers.get(command) ?? []) {
      const reply = await handler(payload);
      if (reply !== null) {
        return reply as Reply;
      }
    }
    return null;
  }

  /** Registers a listener of an event. */
  registerListener<Payload>(event: KernelEvent<Payload>, listener: EventListener<Payload>): Undo {
    const listeners = this.#listeners.get(event) ?? new Set();
    listeners.add(listener as EventListener<unknown>);
    this.#listeners.set(event, listeners);
    return () => {
      listeners.delete(listener as EventListener<unknown>);
    };
  }

  /** Calls every listener of an event, in the order of registration. */
  dispatchEvent<Payload>(event: KernelEvent<Payload>, payload: Payload): void {
    this.#listeners.get(event)?.forEach((listener) => listener(payload));
  }
}
