/**
 * One large job among small ones: a step of 100,000 small tasks, handed in by a body of less than 200 bytes. The owner runs out
 * of memory, and so does each process that becomes the owner after it.
 */
import { dirname } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { hasTrouble, runCase } from '../lib-2/site.mjs';

const LARGE_JOB = '00000000000000d4';
const SMALL_JOBS_FROM = 0xe000;
const PAUSE_MS = 2_000;
const WATCH_MS = 60_000;
/** Age from which an accepted job of one task of 0.3 s has to be completed, while the workers are idle. */
const MAX_AGE_MS = 20_000;

function createBody(count, cpu, workMs) {
  return {
    spec: JSON.stringify({ steps: [{ cpu, 'work-ms': workMs }] }),
    steps: [{ count, cpu, 'mem-mb': 10, 'estimate-ms': workMs }],
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (site, recorder) => {
  let startCount = 0;
  site.onRun = ({ type }) => {
    startCount += type === 'start' ? 1 : 0;
  };
  site.isQuiet = true;
  await site.start({ daemonCount: 3, workerCount: 8 });
  if (hasTrouble && !(await site.submit(LARGE_JOB, createBody(100_000, 5, 100)))) {
    throw new Error('the large job was not accepted');
  }
  const small = createBody(1, 500, 300);
  const accepted = [];
  const untilMs = performance.now() + WATCH_MS;
  for (let number = 0; performance.now() < untilMs; number += 1) {
    const id = (SMALL_JOBS_FROM + number).toString(16).padStart(16, '0');
    const daemon = site.daemons[number % site.daemons.length];
    const { status } = await site.call(daemon, 'POST', id, small);
    recorder.write(`POST ${id} at ${daemon.name}: ${status}; ${startCount} starts so far`);
    if (status === 200) {
      accepted.push({ id, atMs: performance.now() });
    }
    await wait(PAUSE_MS);
  }
  const ends = site.daemons.map(({ name, endCount }) => `${name} ${endCount}`).join(', ');
  recorder.write(`how often each process has ended by itself: ${ends}`);
  const due = accepted.filter(({ atMs }) => performance.now() - atMs > MAX_AGE_MS);
  const states = await Promise.all(due.map(async ({ id }) => site.readStates(id)));
  recorder.write(`states of the small jobs: ${states.map((list) => list.join('/')).join(' ')}`);
  const isDone = states.every((list) => list.includes('completed'));
  return isDone ? null : `LOST: accepted jobs are not run; processes ended by themselves: ${ends}`;
});
