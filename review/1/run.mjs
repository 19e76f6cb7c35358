/** TWICE: a takeover after a queue was routed to another service. What runs at the former one is not awaited. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfiguration, createJobId, HAS_TROUBLE, PREFIX, runCase } from '../lib/case.mjs';

const WORKERS_EACH = 9;
const TASKS = 5;
const CUT_MS = 5_500;
const WATCH_MS = 12_000;

/** A job of tasks that last. */
function createJob() {
  const step = { cpu: 1_300, 'mem-mb': 2_000 };
  return {
    spec: JSON.stringify({ steps: [step] }),
    steps: [{ count: TASKS, ...step, 'estimate-ms': 30_000, 'long-running': true, 'may-miss': 1 }],
  };
}

function routeTo(service, version) {
  const configuration = createConfiguration();
  return {
    ...configuration,
    version,
    routes: configuration.routes.map((route) => ({ ...route, service })),
    services: ['service-a', 'service-b'].map((name) => ({
      name,
      spare: false,
      'admission-check': true,
    })),
  };
}

/** Lists the tasks that run on two workers, with the workers. */
function listTwice({ workers }) {
  const byTask = new Map();
  workers.forEach((worker) => {
    worker.runs.forEach(({ run }, task) => {
      byTask.set(task, [...(byTask.get(task) ?? []), [worker.id, run]]);
    });
  });
  return [...byTask].filter(([, runs]) => runs.length > 1);
}

async function play(deployment) {
  const { store, workers } = deployment;
  const accepted = await deployment.callUntilAnswered(
    'POST',
    `${PREFIX}${createJobId(1)}`,
    createJob(),
  );
  if (accepted?.status !== 200) {
    throw new Error('the job was not accepted');
  }
  const countRuns = () => workers.reduce((sum, { runs }) => sum + runs.size, 0);
  await deployment.waitFor('all tasks run', 15_000, () => countRuns() === TASKS);
  store.put('op', 'config', routeTo('service-b', 5));
  deployment.record('configuration', { version: 5, service: 'service-b' });
  await wait(6_000);
  const owner = deployment.findOwner();
  const busy = workers.find(({ runs }) => runs.size > 0);
  deployment.record('before', { owner: owner.name, cut: busy.id });
  if (HAS_TROUBLE) {
    busy.cut(true);
    setTimeout(() => busy.cut(false), CUT_MS);
    owner.kill('SIGTERM');
  }
  let twice = [];
  const untilMs = performance.now() + WATCH_MS;
  while (performance.now() < untilMs) {
    const found = listTwice(deployment);
    if (found.length > 0 && twice.length === 0) {
      twice = found;
      deployment.record('twice', { twice });
    }
    await wait(5);
  }
  return twice.length > 0
    ? `TWICE: ${twice.length} tasks ran on two workers that were up at the same time`
    : null;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    daemons: 3,
    workers: ['service-a', 'service-b'].flatMap((service) =>
      Array.from({ length: WORKERS_EACH }, (_, index) => ({
        name: `${service.at(-1)}${index + 1}`,
        service,
        rack: `r${service.at(-1)}`,
        capacity: { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 },
      })),
    ),
    configuration: routeTo('service-a', 3),
  },
  play,
);
