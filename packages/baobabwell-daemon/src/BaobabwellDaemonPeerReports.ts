import type { MemberDirectory } from './BaobabwellDaemonMembers';
import type { PeerClients } from './BaobabwellDaemonPeers';

import { PeerReports } from '@baobabwell/controller';

import { MemberPoll } from './BaobabwellDaemonMemberPoll';

/** Maximum number of peers asked at once; the store may answer some processes and not others. */
const MAX_PEERS = 8;

/** Asks the other processes, some in turn, how long ago the store last answered them. */
export class MemberReports extends PeerReports {
  readonly #poll: MemberPoll;

  constructor(members: MemberDirectory, peers: PeerClients) {
    super();
    this.#poll = new MemberPoll(members, peers, MAX_PEERS);
  }

  override hasPeers(): boolean {
    return this.#poll.hasPeers();
  }

  override requestStoreAnswerAges(recordAge: (ageMs: number) => void): void {
    this.#poll.send(async (client) => client.getStoreAnswerAgeMs.query(), recordAge);
  }
}
