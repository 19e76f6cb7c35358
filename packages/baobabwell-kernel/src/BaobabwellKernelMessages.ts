/** Order in which the handlers of one command are called; higher values are called first. */
export enum CommandPriority {
  Fallback = 0,
  Normal = 1,
  High = 2,
  Critical = 3,
}

/** A typed command, compared by identity. */
export type Command<Payload, Reply> = {
  readonly name: string;
  readonly payloadType?: Payload;
  readonly replyType?: Reply;
};

/** A typed event, compared by identity. */
export type KernelEvent<Payload> = {
  readonly name: string;
  readonly payloadType?: Payload;
};

/** Typed key of a service in the container. */
export type ServiceToken<Service> = {
  readonly name: string;
  readonly serviceType?: Service;
};

/** Answers a command, or returns `null` to pass it to the next handler. */
export type CommandHandler<Payload, Reply> = (
  payload: Payload,
) => Promise<Reply | null> | Reply | null;

/** Receives each payload of one event. */
export type EventListener<Payload> = (payload: Payload) => void;

/**
 * Creates a command.
 *
 * @example
 * export const DRAIN_HOST = createCommand<DrainHost, DrainReply>('drain-host');
 */
export function createCommand<Payload, Reply>(name: string): Command<Payload, Reply> {
  return { name };
}

/** Creates an event. */
export function createEvent<Payload>(name: string): KernelEvent<Payload> {
  return { name };
}

/** Creates the key under which a service is registered. */
export function createServiceToken<Service>(name: string): ServiceToken<Service> {
  return { name };
}
