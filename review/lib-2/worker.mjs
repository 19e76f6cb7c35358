/**
 * Stand-in of a worker, as PROTOCOL.md describes it. It runs as a process of its own; what it registers in
 * the store, and the starts and ends of its runs, it sends to its parent.
 */
import { openServer } from './http.mjs';

const { id, host, port, service, rack, kind } = JSON.parse(process.argv[2]);

const HEARTBEAT_MS = 1_500;
const SWEEP_MS = 10;
const MAX_WAIT_MS = 2_000;
const HOLD_MAX_MS = 6_000;
const STOP_MS = 20;
const CHECKPOINT_INTERVAL_MS = 2_000;
const GANG_WAIT_MS = 3_000;
const MAX_LISTED_ENDS = 500;
const CAPACITY = { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 };

const bornMs = Date.now();
const startedAtMs = performance.now();
const runs = new Map();
const refusedUpTo = new Map();
const waiters = new Set();
let ended = [];
let endCount = 0;
let token = 0;
let leaseEndMs = 0;
let sequence = 0;
let drainEndsAtMs = null;
let slowness = 1;

function getClockMs() {
  return Math.floor(performance.now() - startedAtMs);
}

function report(type, fields) {
  process.send({ type, worker: id, bornMs, ...fields });
}

function reply(status, fields) {
  return { status, body: { 'clock-ms': getClockMs(), born: bornMs, ...fields } };
}

function refuse(task, run) {
  refusedUpTo.set(task, Math.max(run, refusedUpTo.get(task) ?? 0));
}

/** Returns the work that a run has done here; a slow worker takes a multiple of the usual time for it. */
function getWorkedMs(run) {
  return run.workSinceMs === null
    ? run.doneMs
    : run.doneMs + (getClockMs() - run.workSinceMs) / slowness;
}

/** Returns the last value that a run has produced: with each interval of work, and at a stop. */
function getCheckpoint(run, isStopped = false) {
  if (!run.saves) {
    return '';
  }
  const workedMs = getWorkedMs(run);
  const saved = isStopped
    ? workedMs
    : Math.floor(workedMs / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS;
  return saved === 0
    ? run.checkpoint
    : Math.round(run.resumedMs + saved)
        .toString(16)
        .padStart(16, '0');
}

function end(run, how) {
  if (runs.get(run.task) !== run) {
    return;
  }
  runs.delete(run.task);
  endCount += 1;
  const saved = how === 'done' ? '' : getCheckpoint(run, how === 'stopped');
  ended.push([endCount, run.task, run.run, how, saved]);
  refuse(run.task, run.run);
  report('end', { task: run.task, run: run.run, how, saved, gang: run.gang });
  waiters.forEach((notify) => notify());
}

function extendLease(deadlineMs) {
  leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, getClockMs() + HOLD_MAX_MS));
}

/** The text of a job tells for each step what a task needs and how long it works. */
function findStep(spec, task) {
  return JSON.parse(spec).steps[Number(task.split('.')[2])];
}

function start(body) {
  const { task, run, spec, checkpoint = '' } = body;
  if (runs.get(task)?.run === run) {
    return reply(200, {});
  }
  if (body['deadline-ms'] <= getClockMs()) {
    return reply(409, { reason: 'late' });
  }
  extendLease(body['deadline-ms']);
  if (run <= (refusedUpTo.get(task) ?? 0)) {
    return reply(409, { reason: 'old' });
  }
  const step = findStep(spec, task);
  const used = [...runs.values()].reduce((sum, other) => sum + other.cpu, 0);
  if (used + step.cpu > CAPACITY.cpu) {
    return reply(409, { reason: 'room' });
  }
  const gang = step.gang ?? 0;
  const nowMs = getClockMs();
  runs.set(task, {
    task,
    run,
    gang,
    cpu: step.cpu,
    saves: step.saves === true,
    checkpoint,
    resumedMs: checkpoint === '' ? 0 : parseInt(checkpoint, 16),
    workMs: step['work-ms'],
    // The members of a gang work from the moment when all are present, which the parent tells.
    workSinceMs: gang > 0 ? null : nowMs,
    doneMs: 0,
    aloneAtMs: nowMs + GANG_WAIT_MS,
  });
  report('start', { task, run, checkpoint, gang });
  return reply(200, {});
}

function stop({ task, run }) {
  refuse(task, run);
  const active = runs.get(task);
  if (active !== undefined && active.run <= run) {
    setTimeout(() => end(active, 'stopped'), STOP_MS);
  }
  return reply(200, {});
}

async function waitForEnd(maxMs) {
  await new Promise((resolve) => {
    const notify = () => {
      waiters.delete(notify);
      resolve();
    };
    waiters.add(notify);
    setTimeout(notify, maxMs);
  });
}

async function hold(body) {
  if (body['deadline-ms'] !== undefined) {
    extendLease(body['deadline-ms']);
  }
  const cursor = body['ack-cursor'] ?? 0;
  ended = ended.filter(([position]) => position > cursor);
  const waitMs = Math.min(MAX_WAIT_MS, body['wait-ms'] ?? 0);
  if (ended.length === 0 && waitMs > 0) {
    await waitForEnd(waitMs);
  }
  return reply(200, {
    'active-runs': [...runs.values()].map((run) => [
      run.task,
      run.run,
      getCheckpoint(run),
      Math.min(99, Math.round((100 * (run.resumedMs + getWorkedMs(run))) / run.workMs)),
      run.cpu,
    ]),
    ended: ended.slice(0, MAX_LISTED_ENDS),
  });
}

async function handle({ path, headers, body }) {
  if (headers['baobabwell-expect-instance'] !== id) {
    return { status: 421, body: {} };
  }
  const sent = body['fencing-token'] ?? 0;
  if (sent < token) {
    return reply(409, { reason: 'fence' });
  }
  token = sent;
  switch (path) {
    case '/baobabwell/run-start':
      return start(body);
    case '/baobabwell/run-stop':
      return stop(body);
    case '/baobabwell/pace':
      return reply(200, {});
    case '/baobabwell/hold':
      return hold(body);
    default:
      return reply(400, {});
  }
}

function register() {
  sequence += 1;
  report('row', {
    row: {
      service,
      address: `${host}:${port}`,
      zone: 'zone-a',
      version: '1',
      slots: 8,
      state: drainEndsAtMs === null ? 'ready' : 'draining',
      ...(drainEndsAtMs === null
        ? {}
        : { 'drain-remaining-ms': Math.max(0, drainEndsAtMs - getClockMs()) }),
      'cold-left-ms': 0,
      sequence,
      capacity: CAPACITY,
      labels: [kind, rack],
      born: bornMs,
    },
  });
}

/** What the parent tells: of the other members of a gang, and that the worker is to leave. */
function handleMessage({ type, task, run, remainingMs, factor }) {
  const member = runs.get(task);
  if (type === 'drain') {
    drainEndsAtMs = getClockMs() + remainingMs;
    register();
  } else if (type === 'slow') {
    runs.forEach((other) => {
      const changed = other;
      changed.doneMs = getWorkedMs(other);
      changed.workSinceMs = other.workSinceMs === null ? null : getClockMs();
    });
    slowness = factor;
  } else if (member?.run === run && type === 'gang-complete') {
    member.workSinceMs ??= getClockMs();
  } else if (member?.run === run && type === 'gang-ended') {
    end(member, 'broken');
  } else if (member?.run === run && type === 'gang-done') {
    end(member, 'done');
  }
}

process.on('message', handleMessage);
process.on('disconnect', () => process.kill(process.pid));
await openServer(host, port, handle);
register();
setInterval(register, HEARTBEAT_MS);
setInterval(() => {
  const nowMs = getClockMs();
  [...runs.values()].forEach((run) => {
    if (nowMs >= leaseEndMs) {
      end(run, 'lapsed');
    } else if (run.workSinceMs === null && nowMs >= run.aloneAtMs) {
      end(run, 'alone');
    } else if (run.resumedMs + getWorkedMs(run) >= run.workMs) {
      end(run, 'done');
    }
  });
}, SWEEP_MS);
