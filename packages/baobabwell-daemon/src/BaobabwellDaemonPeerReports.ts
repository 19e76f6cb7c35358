import type { MemberDirectory } from './BaobabwellDaemonMembers';
import type { PeerClients } from './BaobabwellDaemonPeers';

import { PeerReports } from '@baobabwell/controller';

/** Maximum number of peers asked at once; the store may answer some processes and not others. */
const MAX_PEERS = 8;

/** Asks the other processes, some in turn, how long ago the store last answered them. */
export class MemberReports extends PeerReports {
  readonly #members: MemberDirectory;

  readonly #peers: PeerClients;

  #nextIndex = 0;

  constructor(members: MemberDirectory, peers: PeerClients) {
    super();
    this.#members = members;
    this.#peers = peers;
  }

  override hasPeers(): boolean {
    return this.#members.listPeerAddresses().length > 0;
  }

  override requestStoreAnswerAges(recordAge: (ageMs: number) => void): void {
    const addresses = this.#members.listPeerAddresses();
    for (let count = 0; count < Math.min(MAX_PEERS, addresses.length); count += 1) {
      const address = addresses[this.#nextIndex % addresses.length] as string;
      this.#nextIndex += 1;
      void this.#requestAge(address, recordAge);
    }
  }

  async #requestAge(address: string, recordAge: (ageMs: number) => void): Promise<void> {
    const ageMs = await this.#peers.request(address, async (client) =>
      client.getStoreAnswerAgeMs.query(),
    );
    if (ageMs !== null) {
      recordAge(ageMs);
    }
  }
}
