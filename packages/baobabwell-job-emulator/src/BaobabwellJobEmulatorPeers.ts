import type { Ownership } from '@baobabwell/ownership';
import type { Clock } from '@baobabwell/utils';

import { PeerReports } from '@baobabwell/controller';

/** Time until a peer answers, in ms. */
const LATENCY_MS = 4;

/** A process that answers its peers. */
export type EmulatedPeer = {
  readonly ownership: Ownership;
  /** Returns false while the process is dead or paused, or cut off from its peers. */
  readonly isAnswering: () => boolean;
};

/** Requests of one process to the others. */
export class EmulatedPeerReports extends PeerReports {
  readonly #clock: Clock;

  readonly #listPeers: () => readonly EmulatedPeer[];

  constructor(clock: Clock, listPeers: () => readonly EmulatedPeer[]) {
    super();
    this.#clock = clock;
    this.#listPeers = listPeers;
  }

  override hasPeers(): boolean {
    return this.#listPeers().length > 0;
  }

  override requestStoreAnswerAges(recordAge: (ageMs: number) => void): void {
    this.#listPeers()
      .filter(({ isAnswering }) => isAnswering())
      .forEach(({ ownership }) => {
        const ageMs = ownership.getStoreAnswerAgeMs();
        this.#clock.startTimer(LATENCY_MS, () => recordAge(ageMs));
      });
  }
}
