/** Guards against clients that end a process, take its memory or keep ordinary callers out (issue 65). */
import { expect } from 'earl';
import { execFile } from 'node:child_process';
import { setTimeout as wait } from 'node:timers/promises';
import { promisify } from 'node:util';

import { CrowdKind } from './crowd/kinds';
import { CrowdSite, CrowdTarget, HELD } from './crowd/site';
import { createConfiguration } from './soak/site';

const TEST_TIMEOUT_MS = 120_000;
const PRESS_MS = 2_000;
const END_MS = 10_000;
const POLL_MS = 50;

/** Path of a queue that only the second configuration has. */
const ADDED_PREFIX = '/queue-b/';

/** Number of connections of the crowd of each kind. */
const CROWDS: readonly (readonly [CrowdKind, number])[] = [
  [CrowdKind.SmallChunks, 20],
  [CrowdKind.LargeChunks, 150],
  [CrowdKind.AlmostWhole, 600],
  [CrowdKind.Announced, 40],
  [CrowdKind.Endless, 40],
  [CrowdKind.ReadsAhead, 40],
  [CrowdKind.KeyedReadsAhead, 3],
  [CrowdKind.ChunkExtensions, 40],
  [CrowdKind.UnroutedBodiesAhead, 60],
  [CrowdKind.BodiesAhead, 60],
  [CrowdKind.OpenHeaders, 500],
  [CrowdKind.Silent, 500],
  [CrowdKind.ReopenedChunks, 500],
  [CrowdKind.EmptySteps, 20],
  [CrowdKind.NestedArrays, 20],
  [CrowdKind.AbandonedJobs, 60],
];

const runFile = promisify(execFile);

describe('processes beside clients that keep to no limits', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let crowded: CrowdSite;

  before(async () => {
    await runFile('npx', ['tsx', 'scripts/build-daemon.ts']);
  });

  beforeEach(async () => {
    crowded = new CrowdSite();
    await crowded.start();
  });

  afterEach(async () => crowded.close());

  CROWDS.forEach(([kind, connections]) => {
    it(`hold beside ${kind}`, async () => {
      expect(await crowded.run(kind, connections, CrowdTarget.Other)).toEqual(HELD);
    });
  });

  it('hold when the crowd talks to the owner', async () => {
    expect(await crowded.run(CrowdKind.SmallChunks, 20, CrowdTarget.Owner)).toEqual(HELD);
  });

  it('hold when requests are sent ahead to the owner', async () => {
    expect(await crowded.run(CrowdKind.KeyedReadsAhead, 3, CrowdTarget.Owner)).toEqual(HELD);
  });

  it('hold when the crowd talks to all processes', async () => {
    expect(await crowded.run(CrowdKind.LargeChunks, 150, CrowdTarget.All)).toEqual(HELD);
  });

  it('end in time when they are told to beside a crowd', async () => {
    const [target] = crowded.listTargets(CrowdTarget.Other);
    if (target === undefined) {
      throw new Error('there is no process beside the owner');
    }
    crowded.startCrowd(CrowdKind.AlmostWhole, 600, [target]);
    await wait(PRESS_MS);
    target.terminate();
    const untilMs = performance.now() + END_MS;
    while (target.isUp() && performance.now() < untilMs) {
      await wait(POLL_MS);
    }
    const lastExit = target.lastExit;
    await crowded.endCrowds();
    expect({ lastExit, ended: crowded.report(true, true).ended }).toEqual({
      lastExit: 'code 0, signal null',
      ended: [],
    });
  });

  it('hold and apply a new configuration when the owner is killed beside a crowd', async () => {
    const targets = crowded.listTargets(CrowdTarget.All);
    crowded.startCrowd(CrowdKind.AlmostWhole, 300, targets);
    await wait(PRESS_MS);
    crowded.site.findOwner()?.kill();
    crowded.site.store.put('op', 'config', createConfiguration(2));
    await wait(PRESS_MS);
    const [target] = crowded.listTargets(CrowdTarget.Other);
    const isBeside =
      target !== undefined && (await crowded.isOrdinaryAnswered(target, ADDED_PREFIX));
    await crowded.endCrowds();
    const isAfterwards =
      target !== undefined && (await crowded.isOrdinaryAnswered(target, ADDED_PREFIX));
    expect(crowded.report(isBeside, isAfterwards)).toEqual(HELD);
  });
});
