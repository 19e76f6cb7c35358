/** LOST: the worker of a task crashes four times. The job is given up although no run has failed. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfiguration, createJobId, HAS_TROUBLE, PREFIX, runCase } from '../lib/case.mjs';

const WORKERS = 9;
const CRASHES = 4;
const WORK_MS = 6_000;
const CRASH_AFTER_MS = 2_000;
const DOWN_MS = 2_000;
const LIMIT_MS = 80_000;

function createJob() {
  const step = { cpu: 1_000, 'mem-mb': 512 };
  return {
    spec: JSON.stringify({ steps: [{ ...step, 'work-ms': WORK_MS }] }),
    steps: [{ count: 1, ...step, 'estimate-ms': WORK_MS }],
  };
}

async function crashWorkers(deployment) {
  let crashed = 0;
  while (crashed < CRASHES) {
    const busy = deployment.workers.find(({ runs }) => runs.size > 0);
    if (busy !== undefined) {
      await wait(CRASH_AFTER_MS);
      if (busy.runs.size > 0) {
        busy.crash();
        crashed += 1;
        setTimeout(() => void busy.start(), DOWN_MS);
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
    void crashWorkers(deployment);
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
  const crashes = deployment.events.filter(({ event }) => event === 'worker-crashed').length;
  deployment.record('end', { state, failedEnds: failedEnds.length, crashes });
  if (state !== 'completed' && state !== 'failed') {
    throw new Error(`the job is still ${state}`);
  }
  return state === 'failed' && failedEnds.length === 0
    ? `LOST: the job is shown as failed after ${crashes} crashes of workers, and no run of it ended as failed`
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
