import type { Plugin } from '@baobabwell/kernel';
import type { PermitReply, PermitReport } from '@baobabwell/permits';

import { expect } from 'earl';

import { FENCE_CLOCK, PEER_CONNECTOR, PERMIT_PEERS } from '@baobabwell/entry';
import { FenceClock, RemotePermitPeer } from '@baobabwell/permits';

import { LimitsFuzzSuite } from '../../BaobabwellFuzzLimits';

const SEED = 4;
const FEW_RUNS = 3;
const MANY_RUNS = 60;

class UnfencedClock extends FenceClock {
  override recordDeparture(): void {
    // Treats every departed member as one that stopped gracefully and needs no fence.
  }

  override listPending(): readonly [] {
    return [];
  }
}

/** Reports permits as returned while their calls still run. */
class PrematurePermitPeer extends RemotePermitPeer {
  override async report(report: PermitReport): Promise<PermitReply> {
    const holdings = report.holdings.map((holding) => ({
      ...holding,
      held: Math.floor(holding.held / 2),
    }));
    return super.report({ ...report, holdings });
  }
}

const skippedFences: Plugin = {
  name: 'skipped fences',
  register: (kernel) => kernel.registerService(FENCE_CLOCK, () => new UnfencedClock()),
};

const prematureHandovers: Plugin = {
  name: 'premature handovers',
  register: (kernel) =>
    kernel.registerService(
      PERMIT_PEERS,
      () =>
        ({ peerAddress }) =>
          new PrematurePermitPeer(kernel.getService(PEER_CONNECTOR), peerAddress),
    ),
};

describe('LimitsFuzzSuite', () => {
  it('finds no call above the limit', async () => {
    const { failure } = await new LimitsFuzzSuite().run({ seed: SEED, runs: FEW_RUNS });
    expect(failure).toEqual(null);
  });

  it('detects permits that are reused before the fence has expired', async () => {
    const suite = new LimitsFuzzSuite([skippedFences]);
    const { failure } = await suite.run({ seed: SEED, runs: MANY_RUNS, shouldEndOnFailure: true });
    expect(failure ?? '').toMatchRegex(/run at \d+ ms, with a limit of/);
  });

  it('detects permits that are returned before their call has ended', async () => {
    const suite = new LimitsFuzzSuite([prematureHandovers]);
    const { failure } = await suite.run({ seed: SEED, runs: MANY_RUNS, shouldEndOnFailure: true });
    expect(failure ?? '').toMatchRegex(/run at \d+ ms, with a limit of/);
  });
});
