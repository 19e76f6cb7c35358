/** LOST: the worker of a task is cut off four times. The job is given up although no run has failed. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfiguration, createJobId, HAS_TROUBLE, PREFIX, runCase } from '../lib/case.mjs';

const WORKERS = 9;
const CUTS = 4;
const WORK_MS = 6_000;
const CUT_AFTER_MS = 1_000;
const CUT_MS = 5_500;
const LIMIT_MS = 80_000;

function createJob() {
  const step = { cpu: 1_000, 'mem-mb': 512 };
  return {
    spec: JSON.stringify({ steps: [{ ...step, 'work-ms': WORK_MS }] }),
    steps: [{ count: 1, ...step, 'estimate-ms': WORK_MS }],
  };
}

/** Cuts off the worker on which the task runs, again and again; each worker is back after a while. */
async function cutWorkers(deployment) {
  let count = 0;
  while (count < CUTS) {
    const busy = deployment.workers.find(({ runs, isCut }) => runs.size > 0 && !isCut);
    if (busy !== undefined) {
      await wait(CUT_AFTER_MS);
      if (busy.runs.size > 0) {
        busy.cut(true);
        count += 1;
        setTimeout(() => busy.cut(false), CUT_MS);
      }
    }
    await wait(20);
  }
}

async function play(deployment) {
  const path = `${PREFIX}${createJobId(1)}`;
  const accepted = await deployment.callUntilAnswered('POST', path, createJob());
  if (accepted?.status !== 200) {
    throw new Error('the job was not accepted');
  }
  if (HAS_TROUBLE) {
    void cutWorkers(deployment);
  }
  let state = null;
  const untilMs = performance.now() + LIMIT_MS;
  while (performance.now() < untilMs && state !== 'completed' && state !== 'failed') {
    await wait(500);
    state = (await deployment.callUntilAnswered('GET', path))?.body?.state ?? state;
  }
  const failedEnds = deployment.events.filter(
    ({ event, how }) => event === 'run-ended' && how === 'failed',
  );
  const cuts = deployment.events.filter(({ event }) => event === 'worker-cut').length;
  deployment.record('end', { state, failedEnds: failedEnds.length, cuts });
  if (state !== 'completed' && state !== 'failed') {
    throw new Error(`the job is still ${state}`);
  }
  return state === 'failed' && failedEnds.length === 0
    ? `LOST: the job is shown as failed after ${cuts} cuts of workers, and no run of it ended as failed`
    : null;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    daemons: 3,
    workers: Array.from({ length: WORKERS }, (_, index) => ({
      name: `w${index + 1}`,
      service: 'service-a',
      capacity: { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 },
    })),
    configuration: createConfiguration(),
  },
  play,
);
