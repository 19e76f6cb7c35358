import type { ViewFollower } from './BaobabwellViewFollower';
import type { FreshnessTracker } from './BaobabwellViewFreshness';
import type { ViewHistory } from './BaobabwellViewHistory';
import type { Acknowledgement, MemberIncarnation, ViewQuorum } from './BaobabwellViewQuorum';
import type { ViewStore } from './BaobabwellViewStore';
import type { ViewChange } from '@baobabwell/model';
import type { PeerConnector } from '@baobabwell/peers';
import type { Clock } from '@baobabwell/utils';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

import { MAX_PUSHED_CHANGES, PEER_HEARTBEAT_INTERVAL_MS } from './BaobabwellViewConstants';

/** Dependencies of the exchange of changes between entries. */
export type ViewPeerDependencies = {
  readonly store: ViewStore;
  readonly history: ViewHistory;
  readonly freshness: FreshnessTracker;
  readonly quorum: ViewQuorum;
  readonly follower: ViewFollower;
  readonly clock: Clock;
  /** Current incarnation of this entry; its properties are read at each use. */
  readonly self: MemberIncarnation;
  /** Receives the members that a peer cannot reach, after each heartbeat reply of that peer. */
  readonly onReport: (from: MemberIncarnation, unreachable: readonly string[]) => void;
};

const changeSchema = z.custom<ViewChange>(
  (value) =>
    typeof value === 'object' &&
    value !== null &&
    'version' in value &&
    Number.isInteger(value.version) &&
    'mutations' in value &&
    Array.isArray(value.mutations),
  'not a valid view change',
);

const acknowledgementSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  version: z.number().int(),
});

function buildAcknowledgement({ self, store }: ViewPeerDependencies): Acknowledgement {
  return { id: self.id, incarnation: self.incarnation, version: store.get().version };
}

/** Builds the procedures through which entries exchange changes. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildViewRouter(dependencies: ViewPeerDependencies) {
  const { store, history, freshness, quorum, follower } = dependencies;
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
          return buildAcknowledgement(dependencies);
        }),
      heartbeat: peerProcedure
        .input(z.object({ from: acknowledgementSchema }))
        .query(({ input: { from } }) => {
          quorum.recordAcknowledgement(from);
          return {
            ...buildAcknowledgement(dependencies),
            ageMs: freshness.getAge(),
            unreachable: [...quorum.listUnreachable()],
            changes: history.listSince(from.version).slice(0, MAX_PUSHED_CHANGES),
          };
        }),
    }),
  });
}

/** Type of the router that {@link buildViewRouter} builds. */
export type ViewPeerRouter = ReturnType<typeof buildViewRouter>;

/** Exchanges changes and confirmations of the view with one peer while it is a member. */
export class ViewPeerTask {
  readonly #dependencies: ViewPeerDependencies;

  readonly #client: TRPCClient<ViewPeerRouter>;

  readonly #stopped = new AbortController();

  /** Aborted to end the current wait between heartbeats. */
  #waitAbort = new AbortController();

  /** Version up to which changes have to be sent to the peer. */
  #requestedVersion = 0;

  /** Version up to which the peer has acknowledged changes. */
  #acknowledgedVersion = 0;

  constructor(dependencies: ViewPeerDependencies, connector: PeerConnector, address: string) {
    this.#dependencies = dependencies;
    this.#client = createTRPCClient<ViewPeerRouter>({ links: [connector.createLink(address)] });
  }

  /** Sends the changes up to a version immediately and repeats until the peer has them. */
  push(version: number): void {
    this.#requestedVersion = Math.max(this.#requestedVersion, version);
    this.#waitAbort.abort();
  }

  /** Sends missing changes and requests new ones periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      this.#waitAbort = new AbortController();
      const { signal } = this.#waitAbort;
      try {
        await this.#sendChanges();
        await this.#sendHeartbeat();
      } catch {
        // The next round retries an unreachable peer, which reads changes from the log meanwhile.
      }
      await clock.wait(PEER_HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#waitAbort.abort();
  }

  async #sendChanges(): Promise<void> {
    if (this.#acknowledgedVersion >= this.#requestedVersion) {
      return;
    }
    const { history, clock } = this.#dependencies;
    const changes = history.listSince(this.#acknowledgedVersion).slice(0, MAX_PUSHED_CHANGES);
    const sentAt = clock.getNow();
    const from = buildAcknowledgement(this.#dependencies);
    const acknowledgement = await this.#client.view.push.mutate({ from, changes: [...changes] });
    this.#recordAnswer(acknowledgement, sentAt);
  }

  async #sendHeartbeat(): Promise<void> {
    const { store, freshness, clock, onReport } = this.#dependencies;
    const sentAt = clock.getNow();
    const reply = await this.#client.view.heartbeat.query({
      from: buildAcknowledgement(this.#dependencies),
    });
    (reply.changes as readonly ViewChange[]).forEach((change) => store.apply(change));
    this.#recordAnswer(reply, sentAt);
    onReport(reply, reply.unreachable);
    if (store.get().version >= reply.version && reply.ageMs !== null) {
      freshness.recordConfirmation(sentAt - reply.ageMs);
    }
  }

  #recordAnswer(acknowledgement: Acknowledgement, sentAt: number): void {
    this.#acknowledgedVersion = acknowledgement.version;
    this.#dependencies.quorum.recordAnswer(acknowledgement, sentAt);
  }
}
