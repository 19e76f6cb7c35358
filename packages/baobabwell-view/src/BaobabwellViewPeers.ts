import type { ViewFollower } from './BaobabwellViewFollower';
import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewHistory } from './BaobabwellViewHistory';
import type { Acknowledgement, MemberLife, ViewQuorum } from './BaobabwellViewQuorum';
import type { ViewStore } from './BaobabwellViewStore';
import type { ViewChange } from '@baobabwell/model';
import type { PeerConnector } from '@baobabwell/peers';
import type { Clock } from '@baobabwell/utils';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

import { PEER_HEARTBEAT_INTERVAL_MS, PUSH_CHANGES } from './BaobabwellViewConstants';

/** What the exchange of changes between entries works with. */
export type ViewPeerParts = {
  readonly store: ViewStore;
  readonly history: ViewHistory;
  readonly freshness: FreshnessTracker;
  readonly quorum: ViewQuorum;
  readonly follower: ViewFollower;
  readonly clock: Clock;
  /** This life of this entry; read anew at each use. */
  readonly self: MemberLife;
  /** Told which members a peer cannot reach, each time that peer answers. */
  readonly onReport: (from: MemberLife, unreachable: readonly string[]) => void;
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

const acknowledgementSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  version: z.number().int(),
});

function buildAcknowledgement({ self, store }: ViewPeerParts): Acknowledgement {
  return { id: self.id, incarnation: self.incarnation, version: store.get().version };
}

/** Builds the procedures by which entries tell each other of changes. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildViewRouter(parts: ViewPeerParts) {
  const { store, history, freshness, quorum, follower } = parts;
  return createPeerRouter({
    view: createPeerRouter({
      push: peerProcedure
        .input(z.object({ from: acknowledgementSchema, changes: z.array(changeSchema) }))
        .mutation(({ input }) => {
          const isApplied = input.changes.every((change) => store.apply(change));
          quorum.recordAcknowledgement(input.from);
          if (!isApplied) {
            void follower.read();
          }
          return buildAcknowledgement(parts);
        }),
      heartbeat: peerProcedure
        .input(z.object({ from: acknowledgementSchema }))
        .query(({ input: { from } }) => {
          quorum.recordAcknowledgement(from);
          return {
            ...buildAcknowledgement(parts),
            ageMs: freshness.getAge(),
            unreachable: [...quorum.listUnreachable()],
            changes: history.listSince(from.version).slice(0, PUSH_CHANGES),
          };
        }),
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

  /** Version up to which the peer has to be sent changes. */
  #wantedVersion = 0;

  /** Version up to which the peer has acknowledged changes. */
  #acknowledgedVersion = 0;

  constructor(parts: ViewPeerParts, connector: PeerConnector, address: string) {
    this.#parts = parts;
    this.#client = createTRPCClient<ViewPeerRouter>({ links: [connector.createLink(address)] });
  }

  /** Sends the changes up to a version at once, and again until the peer has them. */
  push(version: number): void {
    this.#wantedVersion = Math.max(this.#wantedVersion, version);
    this.#wake.abort();
  }

  /** Sends what the peer lacks and asks for what is new, until stopped. */
  async run(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      this.#wake = new AbortController();
      const { signal } = this.#wake;
      try {
        await this.#sendChanges();
        await this.#sendHeartbeat();
      } catch {
        // An unreachable peer is asked again; it reads the log meanwhile.
      }
      await clock.wait(PEER_HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
  }

  async #sendChanges(): Promise<void> {
    if (this.#acknowledgedVersion >= this.#wantedVersion) {
      return;
    }
    const { history, clock } = this.#parts;
    const changes = history.listSince(this.#acknowledgedVersion).slice(0, PUSH_CHANGES);
    const sentAt = clock.getNow();
    const from = buildAcknowledgement(this.#parts);
    const answer = await this.#client.view.push.mutate({ from, changes: [...changes] });
    this.#recordAnswer(answer, sentAt);
  }

  async #sendHeartbeat(): Promise<void> {
    const { store, freshness, clock, onReport } = this.#parts;
    const sentAt = clock.getNow();
    const reply = await this.#client.view.heartbeat.query({
      from: buildAcknowledgement(this.#parts),
    });
    (reply.changes as readonly ViewChange[]).forEach((change) => store.apply(change));
    this.#recordAnswer(reply, sentAt);
    onReport(reply, reply.unreachable);
    if (store.get().version >= reply.version && reply.ageMs !== null) {
      freshness.recordConfirmation(sentAt - reply.ageMs);
    }
  }

  #recordAnswer(answer: Acknowledgement, sentAt: number): void {
    this.#acknowledgedVersion = answer.version;
    this.#parts.quorum.recordAnswer(answer, sentAt);
  }
}
