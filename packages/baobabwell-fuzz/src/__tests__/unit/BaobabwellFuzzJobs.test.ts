import { expect } from 'earl';

import { CapacityFuzzSuite, JobsFuzzSuite } from '../../BaobabwellFuzzJobs';

const SEED = 1;
const RUNS = 12;
const BROKEN_RUNS = 200;

describe('the fuzz suite jobs', () => {
  it('finds no violated invariant', async () => {
    const report = await new JobsFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  }).timeout(60_000);

  it('detects a task started by two owners when hosts accept orders of every epoch', async () => {
    const suite = new JobsFuzzSuite((fleet) =>
      fleet.listHosts().forEach((host) => {
        const faultyHost = host;
        faultyHost.shouldAcceptStaleEpochs = true;
        faultyHost.shouldHideRuns = true;
      }),
    );
    const report = await suite.run({ seed: SEED, runs: BROKEN_RUNS, shouldEndOnFailure: true });
    expect(report.hasPassed).toEqual(false);
    expect(report.failure?.includes('runs-once')).toEqual(true);
  }).timeout(60_000);
});

describe('the fuzz suite capacity', () => {
  it('finds no start beyond the capacity of hosts that do not check it', async () => {
    const report = await new CapacityFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  }).timeout(60_000);
});
