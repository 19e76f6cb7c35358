/** MIXED: a job counts as begun once a start of it was ordered, also when the worker refused it. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfiguration, createJobId, HAS_TROUBLE, PREFIX, runCase } from '../lib/case.mjs';

const WORKERS = 12;
const KIND = 'b';
const JOBS = 10;
const WORK_MS = 300;
const BUSY_MS = 6_500;
const MIN_AGE_MS = 5_000;
const CHECK_MS = 200;

/** A job that only workers of one kind may run. */
function createJob() {
  const step = { cpu: 500, 'mem-mb': 256 };
  return {
    spec: JSON.stringify({ steps: [{ ...step, 'work-ms': WORK_MS }] }),
    steps: [{ count: 1, ...step, 'estimate-ms': WORK_MS, requirements: KIND }],
  };
}

async function play(deployment) {
  const [worker] = deployment.workers;
  await wait(3_000);
  if (HAS_TROUBLE) {
    worker.isBusy = true;
    deployment.record('worker-busy', { worker: worker.id, forMs: BUSY_MS });
    setTimeout(() => {
      worker.isBusy = false;
      deployment.record('worker-well', { worker: worker.id });
    }, BUSY_MS);
  }
  const acceptedAtMs = new Map();
  await Promise.all(
    Array.from({ length: JOBS }, async (_, index) => {
      const id = createJobId(1 + index);
      const reply = await deployment.call(index % 3, 'POST', `${PREFIX}${id}`, createJob());
      if (reply?.status === 200) {
        acceptedAtMs.set(id, deployment.getNow());
      }
    }),
  );
  deployment.record('accepted', { jobs: acceptedAtMs.size });
  let broken = null;
  const untilMs = performance.now() + BUSY_MS - 300;
  for (let round = 0; performance.now() < untilMs; round += 1) {
    const nowMs = deployment.getNow();
    const begun = new Set(
      deployment.events
        .filter(({ event }) => event === 'run-started')
        .map(({ task }) => task.split('.')[0]),
    );
    const waiting = [...acceptedAtMs].filter(
      ([id, atMs]) => nowMs - atMs > MIN_AGE_MS && !begun.has(id),
    ).length;
    if (waiting > 0) {
      const reply = await deployment.call(round % 3, 'GET', PREFIX);
      const count = reply?.body?.['waiting-count'];
      const begunNow = deployment.events.some(
        ({ event, atMs }) => event === 'run-started' && atMs >= nowMs,
      );
      if (reply?.status === 200 && !begunNow && count < waiting / 2) {
        broken ??= `MIXED: waiting-count is ${count}; ${waiting} jobs were accepted over 5 s before and haven't begun`;
      }
    }
    await wait(CHECK_MS);
  }
  await wait(3_000);
  return broken;
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
