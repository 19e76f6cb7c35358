import type { CancelTimer } from '@baobabwell/utils';
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
  LARGE_BODY_BYTES,
  MAX_TRANSFER_MS,
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

/**
 * Reads the body of a response. For a large one, `recordPart` is called with each part that arrives: a slow
 * link carries it for longer than the timeout of a request.
 */
async function readBody(response: Response, recordPart: () => void): Promise<string> {
  const size = Number(response.headers.get('content-length') ?? 0);
  if (size < LARGE_BODY_BYTES || response.body === null) {
    return response.text();
  }
  const parts: Uint8Array[] = [];
  for await (const part of response.body) {
    recordPart();
    parts.push(part as Uint8Array);
  }
  return Buffer.concat(parts).toString('utf8');
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
      const startTimer = (): CancelTimer =>
        startResponseTimer(PEER_REQUEST_TIMEOUT_MS, () =>
          timedOut.abort(new Error(`no response within ${PEER_REQUEST_TIMEOUT_MS} ms`)),
        );
      const startedAtMs = performance.now();
      let cancelTimer = startTimer();
      try {
        const signal =
          init?.signal == null ? timedOut.signal : AbortSignal.any([timedOut.signal, init.signal]);
        return await this.#connections.call(address, async (dispatcher) => {
          const response = await fetch(input, { ...init, dispatcher, signal });
          const body = await readBody(response, () => {
            if (performance.now() - startedAtMs < MAX_TRANSFER_MS) {
              cancelTimer();
              cancelTimer = startTimer();
            }
          });
          return new Response(body, { status: response.status, headers: response.headers });
        });
      } finally {
        cancelTimer();
      }
    };
  }
}
