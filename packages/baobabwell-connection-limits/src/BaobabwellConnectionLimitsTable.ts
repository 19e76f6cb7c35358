import type { ClientLimitObserver, ClientLimits } from './BaobabwellConnectionLimitsModel';
import type { Socket } from 'node:net';

import { ClientConnection } from './BaobabwellConnectionLimitsConnection';
import { ClientLimit } from './BaobabwellConnectionLimitsModel';
import { LimitUsage } from './BaobabwellConnectionLimitsUsage';

/** Undoes what was recorded; calling it again has no effect. */
export type Release = () => void;

function createOnce(release: Release): Release {
  let isReleased = false;
  return () => {
    if (!isReleased) {
      isReleased = true;
      release();
    }
  };
}

/** The connections of the clients of a server, and what they keep together. */
export class ConnectionTable {
  /** Open connections with their bytes; the one that has waited longest for its client comes first. */
  readonly #connections = new Map<ClientConnection, number>();

  /** Those that keep bytes, the one that has kept some for longest first. */
  readonly #charged = new Set<ClientConnection>();

  readonly #usages: Readonly<Record<ClientLimit, LimitUsage>>;

  constructor(limits: ClientLimits, observer: ClientLimitObserver) {
    const createUsage = (limit: ClientLimit): LimitUsage =>
      new LimitUsage(limit, limits[limit], observer);
    this.#usages = {
      [ClientLimit.Connections]: createUsage(ClientLimit.Connections),
      [ClientLimit.Calls]: createUsage(ClientLimit.Calls),
      [ClientLimit.Bytes]: createUsage(ClientLimit.Bytes),
    };
  }

  /** Returns how much of a bound is used. */
  getUsed(limit: ClientLimit): number {
    return this.#usages[limit].used;
  }

  /** Adds a connection, for which another one may be closed; returns `null` if all have calls under way. */
  open(socket: Socket): ClientConnection | null {
    const usage = this.#usages[ClientLimit.Connections];
    if (usage.used >= usage.max && !this.#closeFirst(this.#connections.keys(), usage, null)) {
      socket.destroy();
      return null;
    }
    const connection: ClientConnection = new ClientConnection(socket, {
      setBytes: (changed, bytes) => this.#setBytes(changed, bytes),
      recordWaiting: (waiting) => this.#recordWaiting(waiting),
      remove: (closed) => this.#remove(closed),
    });
    this.#connections.set(connection, 0);
    usage.add(1);
    return connection;
  }

  /**
   * Begins a call whose body has this size; returns `null` if too many calls are under way, or their bodies are
   * too large together. A call may outlast its connection.
   */
  startCall(connection: ClientConnection | null, bodyBytes: number): Release | null {
    connection?.setBodyBytes(0);
    const calls = this.#usages[ClientLimit.Calls];
    if (calls.used >= calls.max) {
      calls.recordReached();
      return null;
    }
    const bytes = this.#usages[ClientLimit.Bytes];
    bytes.add(bodyBytes);
    if (!this.#freeBytes(connection)) {
      bytes.remove(bodyBytes);
      return null;
    }
    calls.add(1);
    const endCall = connection?.startCall();
    return createOnce(() => {
      calls.remove(1);
      bytes.remove(bodyBytes);
      endCall?.();
    });
  }

  /** Moves a connection to the end of the order in which connections give way. */
  #recordWaiting(connection: ClientConnection): void {
    const bytes = this.#connections.get(connection);
    if (bytes !== undefined) {
      this.#connections.delete(connection);
      this.#connections.set(connection, bytes);
    }
  }

  #setBytes(connection: ClientConnection, bytes: number): void {
    const known = this.#connections.get(connection);
    if (known === undefined || known === bytes) {
      return;
    }
    this.#connections.set(connection, bytes);
    this.#usages[ClientLimit.Bytes].add(bytes - known);
    if (bytes === 0) {
      this.#charged.delete(connection);
    } else {
      this.#charged.add(connection);
    }
    if (bytes > known && !this.#freeBytes(connection)) {
      connection.destroy();
    }
  }

  /** Closes connections that keep bytes until the bound is kept; returns false if that is not enough. */
  #freeBytes(spared: ClientConnection | null): boolean {
    const usage = this.#usages[ClientLimit.Bytes];
    while (usage.isExceeded()) {
      if (!this.#closeFirst(this.#charged, usage, spared)) {
        return false;
      }
    }
    return true;
  }

  /** Closes the first connection without a call under way; returns false if there is none. */
  #closeFirst(
    connections: Iterable<ClientConnection>,
    usage: LimitUsage,
    spared: ClientConnection | null,
  ): boolean {
    usage.recordReached();
    for (const connection of connections) {
      if (connection !== spared && !connection.hasCalls) {
        connection.destroy();
        return true;
      }
    }
    return false;
  }

  #remove(connection: ClientConnection): void {
    const bytes = this.#connections.get(connection);
    if (bytes !== undefined) {
      this.#connections.delete(connection);
      this.#charged.delete(connection);
      this.#usages[ClientLimit.Connections].remove(1);
      this.#usages[ClientLimit.Bytes].remove(bytes);
    }
  }
}
