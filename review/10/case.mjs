/**
 * A job of two steps. While its first step runs, a version of the configuration replaces the route by one with another
 * name, but the same host, path prefix and service. The second step has to be started all the same.
 */
import { dirname } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { createConfiguration, hasTrouble, runCase } from '../lib-2/site.mjs';

const JOB = '00000000000000e5';
const STEP = { cpu: 500, 'work-ms': 3_000 };
const WIRE_STEP = { count: 2, cpu: 500, 'mem-mb': 100, 'estimate-ms': 3_000 };
const BODY = {
  spec: JSON.stringify({ steps: [STEP, STEP] }),
  steps: [WIRE_STEP, { ...WIRE_STEP, after: [0] }],
};
const CHANGE_AFTER_MS = 1_000;
/** Time within which a task whose turn has come starts (3 s), after as long a time in which the site is calm (4 s). */
const MAX_IDLE_MS = 7_000;
const WATCH_MS = 30_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, recorder) => {
  let openRuns = 0;
  let idleSinceMs = Infinity;
  site.onRun = ({ type }) => {
    openRuns += type === 'start' ? 1 : -1;
    idleSinceMs = openRuns === 0 ? performance.now() : Infinity;
  };
  await site.start({ daemonCount: 3, workerCount: 8 });
  if (!(await site.submit(JOB, BODY))) {
    throw new Error('the job was not accepted');
  }
  await wait(CHANGE_AFTER_MS);
  if (hasTrouble) {
    recorder.write('version 2: the route has another name, all else is the same');
    site.store.put('op', 'config', createConfiguration(2, 'queue-a-renamed'));
  }
  const untilMs = performance.now() + WATCH_MS;
  let shown = '';
  while (performance.now() < untilMs) {
    await wait(200);
    const states = await site.readStates(JOB);
    if (states.join() !== shown) {
      shown = states.join();
      recorder.write(`GET ${JOB} at each process: ${shown}`);
    }
    if (states.every((state) => state === 'completed')) {
      return null;
    }
    const idleMs = performance.now() - idleSinceMs;
    if (idleMs > MAX_IDLE_MS) {
      recorder.write(`GET ${JOB} at each process: ${shown}; all workers are idle`);
      return `LOST: the turn of step 1 has come, and nothing has run for ${Math.round(idleMs)} ms`;
    }
  }
  return `LOST: the job is not completed after ${WATCH_MS} ms: ${shown}`;
});
