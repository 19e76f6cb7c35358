import type { EmulatedNetwork, Endpoint } from './BaobabwellEmulatorNetwork';
import type { TRPCLink } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';

import { TRPCClientError } from '@trpc/client';
import { observable } from '@trpc/server/observable';

import { callPeerProcedure, PeerConnector } from '@baobabwell/peers';

const TIMEOUT_MS = 1_000;

/** An entry as its peers address it. */
export type PeerEndpoint = {
  readonly endpoint: Endpoint;
  /** `null` until the entry serves peers. */
  readonly getRouter: () => AnyTRPCRouter | null;
};

/** A value after a JSON round trip, and its length as JSON text. */
type CopiedValue = { readonly value: unknown; readonly bytes: number };

function copyAsJson(value: unknown): CopiedValue {
  if (value === undefined) {
    return { value, bytes: 0 };
  }
  const text = JSON.stringify(value);
  return { value: JSON.parse(text) as unknown, bytes: text.length };
}

/**
 * Connects to peers across the emulated network. Inputs and replies go through JSON, so that both
 * sides share no objects, as in production.
 */
export class EmulatedPeerConnector extends PeerConnector {
  readonly #network: EmulatedNetwork;

  readonly #from: Endpoint;

  readonly #findPeer: (address: string) => PeerEndpoint | null;

  constructor(
    network: EmulatedNetwork,
    from: Endpoint,
    findPeer: (address: string) => PeerEndpoint | null,
  ) {
    super();
    this.#network = network;
    this.#from = from;
    this.#findPeer = findPeer;
  }

  override createLink<Router extends AnyTRPCRouter>(address: string): TRPCLink<Router> {
    return () =>
      ({ op }) =>
        observable((observer) => {
          this.#send(address, op.path, op.type, op.input).then(
            (data) => {
              observer.next({ result: { type: 'data', data } });
              observer.complete();
            },
            (error: Error) => observer.error(TRPCClientError.from(error)),
          );
        });
  }

  override async close(): Promise<void> {
    // Emulated exchanges use no connections.
  }

  async #send(
    address: string,
    path: string,
    type: 'query' | 'mutation' | 'subscription',
    input: unknown,
  ): Promise<unknown> {
    const peer = this.#findPeer(address);
    if (peer === null) {
      throw new Error(`nothing listens at ${address}`);
    }
    const sent = copyAsJson(input);
    const result = await this.#network.send({
      from: this.#from,
      to: peer.endpoint,
      timeoutMs: TIMEOUT_MS,
      handle: async () => {
        const router = peer.getRouter();
        if (router === null) {
          throw new Error(`nothing listens at ${address}`);
        }
        const reply = await callPeerProcedure(router, { path, type, getInput: () => sent.value });
        const copied = copyAsJson(reply);
        const { name } = peer.endpoint;
        this.#network.recordBytes(this.#from.name, name, sent.bytes + copied.bytes);
        return copied.value;
      },
    });
    if (result.kind !== 'answered') {
      throw new Error(`${address}: ${result.kind}`);
    }
    return result.value;
  }
}
