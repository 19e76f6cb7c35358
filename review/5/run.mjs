/** QUOTA: a takeover while a worker is cut off. What runs on the silent worker is not counted. */
import { setTimeout as wait } from 'node:timers/promises';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  createConfiguration,
  createJobId,
  Deployment,
  HAS_TROUBLE,
  PREFIX,
  runCase,
} from '../lib/case.mjs';

const WORKERS = 9;
const WORKER_CPU = 16_000;
const CAP_CPU = 16_000;
const TASK_CPU = 4_000;
const WORK_MS = 30_000;
const OVERAGE = 0.1;
const SUBMISSIONS = 16;
const SUBMISSION_INTERVAL_MS = 250;
const CUT_MS = 5_500;
const WATCH_MS = 12_000;

/** A job of tasks that use the whole cap for a while; they fit on one worker. */
function createFirstJob() {
  const step = { cpu: TASK_CPU, 'mem-mb': 256 };
  return {
    spec: JSON.stringify({ steps: [{ ...step, 'work-ms': WORK_MS }] }),
    steps: [{ count: CAP_CPU / TASK_CPU, ...step, 'estimate-ms': WORK_MS }],
  };
}

/** A job of one task that lasts. */
function createJob() {
  const step = { cpu: TASK_CPU, 'mem-mb': 256 };
  return {
    spec: JSON.stringify({ steps: [step] }),
    steps: [{ count: 1, ...step, 'estimate-ms': 30_000, 'long-running': true }],
  };
}

/** Sums what the tenant has running on all workers, in thousandths of a core. */
function sumRunning({ workers }) {
  return workers.reduce((sum, worker) => sum + worker.getUsed().cpu, 0);
}

/** Submits jobs of the tenant at an even rate, as its clients do all the time. */
async function submitJobs(deployment, daemonIndices) {
  for (let number = 0; number < SUBMISSIONS; number += 1) {
    const daemon = daemonIndices[number % daemonIndices.length];
    void deployment.call(daemon, 'POST', `${PREFIX}${createJobId(2 + number)}`, createJob());
    await wait(SUBMISSION_INTERVAL_MS);
  }
}

async function play(deployment) {
  await deployment.callUntilAnswered('POST', `${PREFIX}${createJobId(1)}`, createFirstJob());
  await deployment.waitFor('the first job runs', 15_000, () => sumRunning(deployment) === CAP_CPU);
  await wait(3_000);
  const busy = deployment.workers.find(({ runs }) => runs.size > 0);
  const owner = deployment.findOwner();
  deployment.record('before', { busy: busy.id, owner: owner.name });
  if (HAS_TROUBLE) {
    busy.cut(true);
    owner.kill('SIGTERM');
    setTimeout(() => busy.cut(false), CUT_MS);
  }
  const others = [0, 1, 2].filter((index) => deployment.daemons[index] !== owner);
  void submitJobs(deployment, others);
  const limit = CAP_CPU * (1 + OVERAGE) + TASK_CPU;
  let most = 0;
  const untilMs = performance.now() + WATCH_MS;
  while (performance.now() < untilMs) {
    const running = sumRunning(deployment);
    if (running > most) {
      most = running;
      const byWorker = deployment.workers.filter(({ runs }) => runs.size > 0);
      const runs = byWorker.flatMap((worker) =>
        [...worker.runs.keys()].map((task) => [worker.id, task]),
      );
      deployment.record('running', { cpu: running, limit, runs });
    }
    await wait(5);
  }
  return most > limit
    ? `QUOTA: the tenant had ${most} thousandths of a core running; the rule allows ${limit}`
    : null;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    daemons: 3,
    workers: Array.from({ length: WORKERS }, (_, index) => ({
      name: `w${index + 1}`,
      service: 'service-a',
      capacity: { cpu: WORKER_CPU, 'mem-mb': 65_536, gpu: 0 },
    })),
    configuration: createConfiguration({ cap: { cpu: CAP_CPU, 'mem-mb': 0, gpu: 0 } }),
  },
  play,
);
