import type { MemberDirectory } from './BaobabwellDaemonMembers';
import type { PeerClient, PeerClients } from './BaobabwellDaemonPeers';

/** Sends one request to some of the other processes, in turn. */
export class MemberPoll {
  readonly #members: MemberDirectory;

  readonly #peers: PeerClients;

  readonly #maxPeers: number;

  #nextIndex = 0;

  /** @param maxPeers maximum number of processes that receive one request. */
  constructor(members: MemberDirectory, peers: PeerClients, maxPeers: number) {
    this.#members = members;
    this.#peers = peers;
    this.#maxPeers = maxPeers;
  }

  hasPeers(): boolean {
    return this.#members.listPeerAddresses().length > 0;
  }

  /** Sends a request to the next process in turn; returns `null` when it does not answer. */
  async requestNext<Reply>(
    request: (client: PeerClient) => Promise<Reply | null>,
  ): Promise<Reply | null> {
    const addresses = this.#members.listPeerAddresses();
    if (addresses.length === 0) {
      return null;
    }
    const address = addresses[this.#nextIndex % addresses.length] as string;
    this.#nextIndex += 1;
    return this.#peers.request(address, request);
  }

  /** Sends a request without waiting; each answer is given to `record` when it arrives. */
  send<Reply>(
    request: (client: PeerClient) => Promise<Reply | null>,
    record: (reply: Reply) => void,
  ): void {
    const addresses = this.#members.listPeerAddresses();
    for (let count = 0; count < Math.min(this.#maxPeers, addresses.length); count += 1) {
      const address = addresses[this.#nextIndex % addresses.length] as string;
      this.#nextIndex += 1;
      void this.#peers.request(address, request).then((reply) => {
        if (reply !== null) {
          record(reply);
        }
      });
    }
  }
}
