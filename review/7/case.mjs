/**
 * Jobs of one task each that need five of the sixteen cores of a worker. One worker of eight is of kind b, the others of
 * kind a, and each job names the kind that it needs. The worker of kind b turns slow for 7 s, and is sound again
 * afterwards. All accepted jobs have to run then.
 */
import { dirname } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { hasTrouble, runCase } from '../lib-2/site.mjs';

const CPU = 5_000;
const WORK_MS = 1_000;
const STEP = { count: 1, cpu: CPU, 'mem-mb': 2_500, 'estimate-ms': WORK_MS };
const SPEC = JSON.stringify({ steps: [{ cpu: CPU, 'work-ms': WORK_MS }] });
const BODY = { spec: SPEC, steps: [{ ...STEP, requirements: 'b' }] };
const OTHER_BODY = { spec: SPEC, steps: [{ ...STEP, requirements: 'a' }] };
/** Pause between the other jobs of the queue, which need a worker of kind a. */
const OTHER_PAUSE_MS = 500;
const KINDS = ['a', 'a', 'a', 'a', 'a', 'a', 'a', 'b'];
const PAUSE_MS = 1_500;
const EARLY_JOBS = 3;
const JOBS_MEANWHILE = 3;
const LATE_JOBS = 2;
const SLOWNESS = 6.5;
const SLOW_MS = 7_000;
/** Time for which the worker is idle until the rule counts as broken: 3 s, after 4 s in which the site is calm. */
const MAX_IDLE_MS = 20_000;

const OTHER_IDS_FROM = 0x1000;

function createId(number) {
  return (0xf00 + number).toString(16).padStart(16, '0');
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, recorder) => {
  const special = `worker-${KINDS.indexOf('b') + 1}`;
  let openRuns = 0;
  let idleSinceMs = Infinity;
  site.onRun = ({ type, worker }) => {
    if (worker === special) {
      openRuns += type === 'start' ? 1 : -1;
      idleSinceMs = openRuns === 0 ? performance.now() : Infinity;
    }
  };
  await site.start({ daemonCount: 3, workerCount: KINDS.length, kinds: KINDS });
  const accepted = [];
  const submit = async (count, pauseMs) => {
    for (let number = 0; number < count; number += 1) {
      const id = createId(accepted.length);
      if (await site.submit(id, BODY, { maxMs: PAUSE_MS })) {
        accepted.push(id);
      }
      await wait(pauseMs);
    }
  };
  const setSlowness = (factor) => {
    if (hasTrouble) {
      recorder.write(`${special} takes ${factor} times the usual time`);
      site.workers.find(({ id }) => id === special).send({ type: 'slow', factor });
    }
  };
  let otherCount = 0;
  const others = setInterval(() => {
    otherCount += 1;
    const daemon = site.daemons[otherCount % site.daemons.length];
    void site.call(daemon, 'POST', createId(OTHER_IDS_FROM + otherCount), OTHER_BODY);
  }, OTHER_PAUSE_MS);
  others.unref();
  await submit(EARLY_JOBS, PAUSE_MS);
  setSlowness(SLOWNESS);
  await submit(JOBS_MEANWHILE, 0);
  await wait(SLOW_MS);
  setSlowness(1);
  await wait(PAUSE_MS);
  await submit(LATE_JOBS, PAUSE_MS);
  let open = [...accepted];
  while (open.length > 0) {
    await wait(200);
    const states = await Promise.all(open.map(async (id) => site.readStates(id)));
    open = open.filter((_, index) => !states[index].every((state) => state === 'completed'));
    const idleMs = performance.now() - idleSinceMs;
    if (open.length > 0 && idleMs > MAX_IDLE_MS) {
      recorder.write(`open jobs: ${open.join()}, their states: ${states.join(' ')}`);
      clearInterval(others);
      return `LOST: accepted jobs have nothing running, with their worker idle for ${Math.round(idleMs)} ms`;
    }
  }
  clearInterval(others);
  return null;
});
