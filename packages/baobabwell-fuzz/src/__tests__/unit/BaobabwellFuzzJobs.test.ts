import { expect } from 'earl';

import { JobsFuzzSuite } from '../../BaobabwellFuzzJobs';

const SEED = 1;
const RUNS = 12;
const BROKEN_RUNS = 200;

describe('the fuzz suite jobs', () => {
  it('finds no broken promise on seeds of the usual run', async () => {
    const report = await new JobsFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  }).timeout(60_000);

  it('finds an owner that starts what another started, when hosts obey every epoch', async () => {
    const suite = new JobsFuzzSuite((fleet) =>
      fleet.listHosts().forEach((host) => {
        const broken = host;
        broken.shouldAcceptStaleEpochs = true;
        broken.shouldHideRuns = true;
      }),
    );
    const report = await suite.run({ seed: SEED, runs: BROKEN_RUNS, endsOnFailure: true });
    expect(report.isPassed).toEqual(false);
    expect(report.failure?.includes('runs-once')).toEqual(true);
  }).timeout(60_000);
});
