import type { ProcessClock } from '@baobabwell/emulator';
import type { Ownership } from '@baobabwell/ownership';

import { PeerReports } from '@baobabwell/controller';

/** Time until a peer answers, in ms. */
const LATENCY_MS = 4;

/** A process that answers its peers. */
export type EmulatedPeer = {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly ownership: Ownership;
};

/** Requests of one process to the others. */
export class EmulatedPeerReports extends PeerReports {
  readonly #name: string;

  readonly #processes: ReadonlyMap<string, EmulatedPeer>;

  readonly #isolated: ReadonlySet<string>;

  /** @param isolated names of the processes that do not reach their peers. */
  constructor(
    name: string,
    processes: ReadonlyMap<string, EmulatedPeer>,
    isolated: ReadonlySet<string>,
  ) {
    super();
    this.#name = name;
    this.#processes = processes;
    this.#isolated = isolated;
  }

  override hasPeers(): boolean {
    return [...this.#processes.keys()].some((name) => name !== this.#name);
  }

  override requestStoreAnswerAges(recordAge: (ageMs: number) => void): void {
    this.#processes.forEach(({ name, clock, ownership }) => {
      const isCutOff = this.#isolated.has(this.#name) || this.#isolated.has(name);
      if (name !== this.#name && !isCutOff && !clock.isDead() && !clock.isPaused()) {
        const ageMs = ownership.getStoreAnswerAgeMs();
        this.#processes.get(this.#name)?.clock.startTimer(LATENCY_MS, () => recordAge(ageMs));
      }
    });
  }
}
