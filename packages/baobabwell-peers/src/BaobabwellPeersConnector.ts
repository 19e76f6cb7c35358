import type { TRPCLink } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';

import { httpLink } from '@trpc/client';
import { Agent, fetch, Response } from 'undici';

import { createConnector, ProbedConnections } from '@baobabwell/http';
import { startResponseTimer } from '@baobabwell/utils';

import {
  MAX_CONNECTIONS_PER_PEER,
  PEER_CONNECT_TIMEOUT_MS,
  PEER_IDLE_TIMEOUT_MS,
  PEER_PATH,
  PEER_SECRET_HEADER,
  PEER_REQUEST_TIMEOUT_MS,
} from './BaobabwellPeersConstants';

/** Connects to other entries. Tests use an implementation that delays and drops requests. */
export abstract class PeerConnector {
  /** Creates a link to the entry at an address. */
  abstract createLink<Router extends AnyTRPCRouter>(address: string): TRPCLink<Router>;

  /** Closes all connections immediately. */
  abstract close(): Promise<void>;
}

function openAgent(): Agent {
  return new Agent({
    connections: MAX_CONNECTIONS_PER_PEER,
    connect: createConnector(PEER_CONNECT_TIMEOUT_MS),
    keepAliveTimeout: PEER_IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: PEER_IDLE_TIMEOUT_MS,
  });
}

/** Connects to other entries over HTTP. */
export class HttpPeerConnector extends PeerConnector {
  readonly #secret: string;

  readonly #connections: ProbedConnections;

  /** @param handleRenewal called when the connections to an entry are replaced because they went silent. */
  constructor(secret: string, handleRenewal: (address: string) => void = () => undefined) {
    super();
    this.#secret = secret;
    this.#connections = new ProbedConnections({
      openAgent,
      // Without the secret, which costs the entry next to nothing.
      probePath: PEER_PATH,
      handleRenewal,
    });
  }

  override createLink<Router extends AnyTRPCRouter>(address: string): TRPCLink<Router> {
    const options = {
      url: `http://${address}${PEER_PATH}`,
      headers: { [PEER_SECRET_HEADER]: this.#secret },
      fetch: this.#createFetch(address),
    };
    return httpLink(options as unknown as Parameters<typeof httpLink<Router>>[0]);
  }

  override async close(): Promise<void> {
    await this.#connections.close();
  }

  /** Creates a fetch whose timeout covers the whole response and counts only time for which this process was idle. */
  #createFetch(address: string): typeof fetch {
    return async (input, init) => {
      const timedOut = new AbortController();
      const cancelTimer = startResponseTimer(PEER_REQUEST_TIMEOUT_MS, () =>
        timedOut.abort(new Error(`no response within ${PEER_REQUEST_TIMEOUT_MS} ms`)),
      );
      try {
        const { signal } = timedOut;
        return await this.#connections.call(address, async (dispatcher) => {
          const response = await fetch(input, { ...init, dispatcher, signal });
          const body = await response.text();
          return new Response(body, { status: response.status, headers: response.headers });
        });
      } finally {
        cancelTimer();
      }
    };
  }
}
