import type { buildConnector } from 'undici';

import { Socket } from 'node:net';

import { startResponseTimer } from '@baobabwell/utils';

/** Idle time after which TCP keep-alive probes are sent, in ms. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/**
 * A connection that is reset when it is given up. Closing it would leave the kernel to deliver what was sent
 * before: behind a partition an order would arrive long after its sender has given it up.
 */
class ResetSocket extends Socket {
  #isOpen = false;

  constructor() {
    super();
    this.once('connect', () => {
      this.#isOpen = true;
    });
  }

  override destroy(error?: Error): this {
    if (error !== undefined && this.#isOpen && this.writable) {
      this.#isOpen = false;
      this.resetAndDestroy();
    }
    return super.destroy(error);
  }
}

/**
 * Creates a function that opens plain TCP connections for undici. The built-in connect timeout counts time
 * for which this process was busy as silence of the other side; this one does not.
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    let isOpening = true;
    const socket = new ResetSocket().connect({
      host: hostname,
      port: Number(port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
    });
    const cancelTimer = startResponseTimer(timeoutMs, () =>
      socket.destroy(new Error(`no connection within ${timeoutMs} ms`)),
    );
    socket.once('connect', () => {
      isOpening = false;
      cancelTimer();
      callback(null, socket);
    });
    socket.on('error', (error) => {
      cancelTimer();
      if (isOpening) {
        isOpening = false;
        callback(error, null);
      }
    });
  };
}
