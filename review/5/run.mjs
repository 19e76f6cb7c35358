/** AVAIL: an upkeep by an old list of machines ends the tasks of the worker that has started since. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfiguration, createJobId, HAS_TROUBLE, PREFIX, runCase } from '../lib/case.mjs';

const WORKERS = 9;
const KIND = 'b';
const TASKS = 2;
const MAY_MISS = 1;
const CRASH_AFTER_MS = 500;
const DOWN_MS = 1_000;
const CLOUD_DOWN_MS = 4_500;
const WAVE_S = 30;
const WATCH_MS = 12_000;

/** A job of two tasks that last, of which one may be away; only workers of one kind may run them. */
function createJob() {
  const step = { cpu: 1_000, 'mem-mb': 512 };
  return {
    spec: JSON.stringify({ steps: [step] }),
    steps: [
      {
        count: TASKS,
        ...step,
        'estimate-ms': 30_000,
        'long-running': true,
        'may-miss': MAY_MISS,
        requirements: KIND,
      },
    ],
  };
}

async function play(deployment) {
  const { store, workers } = deployment;
  const [worker] = workers;
  await wait(3_000);
  if (HAS_TROUBLE) {
    deployment.isCloudDown = true;
    deployment.record('cloud-down', { forMs: CLOUD_DOWN_MS });
    setTimeout(() => {
      deployment.isCloudDown = false;
      deployment.record('cloud-up', {});
    }, CLOUD_DOWN_MS);
  }
  store.put('op', 'wave/1', {
    wave: 1,
    machines: [`m-${worker.name}`],
    'duration-s': WAVE_S,
    cap: 1,
  });
  deployment.record('wave-requested', { machine: `m-${worker.name}` });
  await wait(CRASH_AFTER_MS);
  if (HAS_TROUBLE) {
    worker.crash();
    await wait(DOWN_MS);
    await worker.start();
  }
  const path = `${PREFIX}${createJobId(1)}`;
  const accepted = await deployment.callUntilAnswered('POST', path, createJob());
  if (accepted?.status !== 200) {
    throw new Error('the job was not accepted');
  }
  await deployment.waitFor('both tasks work', 10_000, () => worker.runs.size === TASKS);
  await wait(WATCH_MS);
  const upkeep = deployment.events.find(({ event }) => event === 'upkeep');
  const ended = upkeep?.runs.length ?? 0;
  return ended > MAY_MISS
    ? `AVAIL: an upkeep ended ${ended} tasks that were at work; ${MAY_MISS} of their step may be away`
    : null;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    daemons: 3,
    workers: Array.from({ length: WORKERS }, (_, index) => ({
      name: `w${index + 1}`,
      service: 'service-a',
      kind: index === 0 ? KIND : 'a',
      capacity: { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 },
    })),
    configuration: createConfiguration(),
  },
  play,
);
