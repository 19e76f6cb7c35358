import type { ViewFollower } from './BaobabwellViewFollower';
import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewHistory } from './BaobabwellViewHistory';
import type { ViewStore } from './BaobabwellViewStore';
import type { ViewChange } from '@baobabwell/model';
import type { PeerConnector } from '@baobabwell/peers';
import type { Clock } from '@baobabwell/utils';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

import { PEER_HEARTBEAT_INTERVAL_MS } from './BaobabwellViewConstants';

/** What the exchange of changes between entries works with. */
export type ViewPeerParts = {
  readonly store: ViewStore;
  readonly history: ViewHistory;
  readonly freshness: FreshnessTracker;
  readonly follower: ViewFollower;
  readonly clock: Clock;
};

const changeSchema = z.custom<ViewChange>(
  (value) =>
    typeof value === 'object' &&
    value !== null &&
    'version' in value &&
    Number.isInteger(value.version) &&
    'mutations' in value &&
    Array.isArray(value.mutations),
  'not a change',
);

/** Builds the procedures by which entries tell each other of changes. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildViewRouter({ store, history, freshness, follower }: ViewPeerParts) {
  return createPeerRouter({
    view: createPeerRouter({
      push: peerProcedure
        .input(z.object({ changes: z.array(changeSchema) }))
        .mutation(({ input }) => {
          const isApplied = input.changes.every((change) => store.apply(change));
          if (!isApplied) {
            void follower.read();
          }
          return { version: store.get().version };
        }),
      heartbeat: peerProcedure
        .input(z.object({ version: z.number().int() }))
        .query(({ input }) => ({
          version: store.get().version,
          ageMs: freshness.getAge(),
          changes: [...history.listSince(input.version)],
        })),
    }),
  });
}

/** The router that {@link buildViewRouter} builds. */
export type ViewPeerRouter = ReturnType<typeof buildViewRouter>;

/** Exchanges changes and freshness with one peer, for as long as it is a member. */
export class ViewPeerTask {
  readonly #parts: ViewPeerParts;

  readonly #client: TRPCClient<ViewPeerRouter>;

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  #pending: ViewChange[] = [];

  constructor(parts: ViewPeerParts, connector: PeerConnector, address: string) {
    this.#parts = parts;
    this.#client = createTRPCClient<ViewPeerRouter>({ links: [connector.createLink(address)] });
  }

  /** Sends a change at once. */
  push(change: ViewChange): void {
    this.#pending.push(change);
    this.#wake.abort();
  }

  /** Sends what is pending and asks for what is new, until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      try {
        await this.#sendPending();
        await this.#sendHeartbeat();
      } catch {
        // An unreachable peer is asked again; it reads the log meanwhile.
        this.#pending = [];
      }
      if (this.#pending.length === 0) {
        await clock.wait(PEER_HEARTBEAT_INTERVAL_MS, this.#wake.signal);
      }
      this.#wake = new AbortController();
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  async #sendPending(): Promise<void> {
    const changes = this.#pending;
    this.#pending = [];
    if (changes.length > 0) {
      await this.#client.view.push.mutate({ changes });
    }
  }

  async #sendHeartbeat(): Promise<void> {
    const { store, freshness, clock } = this.#parts;
    const sentAt = clock.getNow();
    const reply = await this.#client.view.heartbeat.query({ version: store.get().version });
    (reply.changes as readonly ViewChange[]).forEach((change) => store.apply(change));
    if (store.get().version >= reply.version && reply.ageMs !== null) {
      freshness.recordConfirmation(sentAt - reply.ageMs);
    }
  }
}
