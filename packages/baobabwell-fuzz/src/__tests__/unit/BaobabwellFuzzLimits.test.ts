import type { Plugin } from '@baobabwell/kernel';
import type { PermitReply, PermitReport } from '@baobabwell/permits';

import { expect } from 'earl';

import { FENCE_CLOCK, PEER_CONNECTOR, PERMIT_PEERS } from '@baobabwell/entry';
import { FenceClock, RemotePermitPeer } from '@baobabwell/permits';

import { LimitsSuite } from '../../BaobabwellFuzzLimits';

const SEED = 4;
const FEW_RUNS = 3;
const MANY_RUNS = 60;

class ImpatientFenceClock extends FenceClock {
  override recordDeparture(): void {
    // Every member counts as one that left in good order.
  }

  override listPending(): readonly [] {
    return [];
  }
}

/** Says that permits went back while their work goes on. */
class HastyPermitPeer extends RemotePermitPeer {
  override async report(report: PermitReport): Promise<PermitReply> {
    const holdings = report.holdings.map((one) => ({ ...one, held: Math.floor(one.held / 2) }));
    return super.report({ ...report, holdings });
  }
}

const impatientFences: Plugin = {
  name: 'impatient fences',
  register: (kernel) => kernel.registerService(FENCE_CLOCK, () => new ImpatientFenceClock()),
};

const hastyHandOvers: Plugin = {
  name: 'hasty hand-overs',
  register: (kernel) =>
    kernel.registerService(
      PERMIT_PEERS,
      () =>
        ({ peerAddress }) =>
          new HastyPermitPeer(kernel.getService(PEER_CONNECTOR), peerAddress),
    ),
};

describe('LimitsSuite', () => {
  it('finds no more work than the limit allows', async () => {
    const { failure } = await new LimitsSuite().run({ seed: SEED, runs: FEW_RUNS });
    expect(failure).toEqual(null);
  });

  it('catches permits that come back before the fence is over', async () => {
    const suite = new LimitsSuite([impatientFences]);
    const { failure } = await suite.run({ seed: SEED, runs: MANY_RUNS, endsOnFailure: true });
    expect(failure ?? '').toMatchRegex(/run at \d+ ms, with a limit of/);
  });

  it('catches permits that go back before the work has ended', async () => {
    const suite = new LimitsSuite([hastyHandOvers]);
    const { failure } = await suite.run({ seed: SEED, runs: MANY_RUNS, endsOnFailure: true });
    expect(failure ?? '').toMatchRegex(/run at \d+ ms, with a limit of/);
  });
});
