/**
 * One job of one task. The worker that runs it crashes 250 ms after its start and is back after a second; the
 * worker that runs it next crashes in the same way. No run of the task ends at all until the job is shown as
 * failed.
 */
import { dirname } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { hasTrouble, runCase } from '../lib-2/site.mjs';

const JOB = '00000000000000a1';
const STEP = { cpu: 900, 'work-ms': 1_200 };
const BODY = {
  spec: JSON.stringify({ steps: [STEP] }),
  steps: [{ count: 1, cpu: 900, 'mem-mb': 2_500, 'estimate-ms': 1_200 }],
};
const CRASHES = 2;
const CRASH_DELAY_MS = 250;
const DOWN_MS = 1_000;
const WATCH_MS = 30_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, recorder) => {
  const ends = [];
  let crashCount = 0;
  const crash = async (id) => {
    const worker = site.workers.find((candidate) => candidate.id === id);
    await wait(CRASH_DELAY_MS);
    recorder.write(`${id} crashes`);
    worker.crash();
    await wait(DOWN_MS);
    recorder.write(`${id} starts again`);
    worker.start();
  };
  site.onRun = ({ type, worker, how }) => {
    if (type === 'end') {
      ends.push(how);
    } else if (hasTrouble && crashCount < CRASHES) {
      crashCount += 1;
      void crash(worker);
    }
  };
  await site.start({ daemonCount: 3, workerCount: 8 });
  if (!(await site.submit(JOB, BODY))) {
    throw new Error('the job was not accepted');
  }
  const untilMs = performance.now() + WATCH_MS;
  let shown = '';
  while (performance.now() < untilMs) {
    const states = await site.readStates(JOB);
    if (states.join() !== shown) {
      shown = states.join();
      recorder.write(`GET ${JOB} at each process: ${shown}`);
    }
    if (states.includes('failed')) {
      return `LOST: the job is shown as failed, ${ends.length} of its runs ended, none as failed`;
    }
    if (states.every((state) => state === 'completed')) {
      return null;
    }
    await wait(200);
  }
  return `LOST: the job is neither completed nor failed after ${WATCH_MS} ms: ${shown}`;
});
