/** A small deployment on loopback: the store, workers, and the processes of the deploy file. */
import { fork, spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { Cloud } from './cloud.mjs';
import { Proxy } from './proxy.mjs';
import { Store } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const WORKER = join(dirname(fileURLToPath(import.meta.url)), 'worker.mjs');
const STORE_HOST = '127.0.5.1';
const HEARTBEAT_MS = 1_500;
const MISSED_HEARTBEATS = 3;
const RESTART_MS = 1_000;
const READY_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 3_000;

export const KEY = 'key-of-team-one';
export const QUEUE_HOST = 'queue.example';

/** Disruptions happen unless TROUBLE is 0. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what happens to the record of a case. */
export class Recorder {
  #stream;

  #startedAtMs = performance.now();

  constructor(folder) {
    this.#stream = createWriteStream(join(folder, 'record.txt'));
    this.#stream.write(`trouble: ${hasTrouble}\n`);
  }

  write(text) {
    const atS = ((performance.now() - this.#startedAtMs) / 1_000).toFixed(3);
    this.#stream.write(`${atS.padStart(8)} s  ${text}\n`);
  }
}

async function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds five ports in a row that are free on a host. */
async function findPorts(host) {
  for (let base = 21_000 + ((process.pid * 5) % 9_000); ; base += 5) {
    const free = await Promise.all(
      [0, 1, 2, 3, 4].map(async (offset) => isFree(host, base + offset)),
    );
    if (free.every(Boolean)) {
      return base;
    }
  }
}

/** The settings of a process, with the fields and figures of DEPLOY.md. */
function createSettings({ name, host, base, storeAddress, cloudAddress }) {
  return {
    'node-name': name,
    role: 'entry',
    'machine-class': 'front',
    serves: ['front'],
    ip: host,
    zone: 'zone-a',
    region: 'region-a',
    zones: { 'zone-a': 'region-a' },
    'listen-addrs': { front: `${host}:${base}`, ready: `${host}:${base + 1}` },
    'internal-ports': [base + 2, base + 4],
    'seed-addrs': [],
    bootstrap: true,
    'fault-counted': false,
    limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4_100 },
    'data-dir': null,
    discovery: 'platform',
    entry: 'vip',
    'heartbeat-ms': HEARTBEAT_MS,
    bounds: {
      'contact-ms': 3_000,
      'ack-timeout-ms': 4_000,
      'drain-ms': 2_000,
      'grace-s': 6,
      'config-apply-ms': 2_000,
      'max-stretch-ms': 5_000,
      'hold-max-ms': 6_000,
      'stop-ms': 900,
      cancel_ms: 3_000,
      visible_ms: 3_000,
      finish_s: 14,
      status_s: 120,
      'far-factor': 1.5,
      'checkpoint-interval-s': 2,
      'maintenance-s': 2,
      'fencing-enforced': false,
      'lease-ms': 3_000,
    },
    orders: 'call',
    advice: null,
    platform: {
      address: storeAddress,
      form: 'table',
      'writes-per-s': 800,
      'reads-per-s': 2_000,
      'tx-ms': 8,
      'part-writes-per-s': 150,
      'row-bytes': 65_536,
      across: false,
      'history-s': 20,
    },
    'cloud-api':
      cloudAddress === null
        ? null
        : { address: cloudAddress, 'rate-per-s': 64, duties: [], 'duty-per-s': 64 },
  };
}

/** Creates a version of the operator's configuration; all else than its name stays as it is in a route. */
export function createConfiguration(version = 1, routeName = 'queue-a') {
  return {
    version,
    routes: [
      {
        name: routeName,
        host: QUEUE_HOST,
        'path-prefix': '/queue-a/',
        service: 'service-a',
        priority: 0,
        'max-attempts': 4,
        stretch: 1.6,
        'target-latency-ms': 600,
      },
    ],
    services: [{ name: 'service-a', spare: false, 'admission-check': true }],
    tenants: [{ name: 'team-one', 'api-keys': [KEY], weight: 1, cap: {} }],
    limits: { 'max-body-bytes': 262_144 },
  };
}

/** A process of the deploy file; it is started again when it ends. */
class Daemon {
  #child = null;

  #shouldRun = true;

  constructor(options) {
    Object.assign(this, options);
    this.output = '';
    /** How often the process has ended. */
    this.endCount = 0;
  }

  start() {
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, this.args, {
      cwd: ROOT,
      env: { PATH, HOME, BAOBABWELL_BOOT: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    const collect = (chunk) => {
      this.output += chunk.toString();
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('exit', (code, signal) => {
      this.endCount += 1;
      const [cause = ''] = /FATAL ERROR.*/.exec(this.output.slice(-20_000)) ?? [];
      this.recorder.write(`process ${this.name} ended: code ${code}, signal ${signal} ${cause}`);
      setTimeout(() => this.#shouldRun && this.start(), RESTART_MS);
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  async close() {
    this.#shouldRun = false;
    const child = this.#child;
    if (child !== null && child.exitCode === null && child.signalCode === null) {
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    }
  }
}

/** A worker in a process of its own, always at the same address and with the same id. */
class Worker {
  #child = null;

  constructor(options) {
    Object.assign(this, options);
  }

  start() {
    const { id, host, port, rack, kind } = this;
    const settings = { id, host, port, rack, kind, service: 'service-a' };
    const child = fork(WORKER, [JSON.stringify(settings)], { stdio: 'ignore' });
    this.#child = child;
    child.on('message', (message) => this.handle(message));
  }

  send(message) {
    if (this.isUp) {
      this.#child.send(message);
    }
  }

  get isUp() {
    return this.#child !== null && this.#child.signalCode === null && this.#child.exitCode === null;
  }

  /** Crashes the worker: its process is killed. */
  crash() {
    this.#child?.kill('SIGKILL');
  }

  async close() {
    if (this.isUp) {
      const ended = new Promise((resolve) => {
        this.#child.once('exit', resolve);
      });
      this.#child.kill('SIGKILL');
      await ended;
    }
  }
}

function describe({ type, how, checkpoint, saved }) {
  const value = type === 'end' ? saved : checkpoint;
  return `${type === 'end' ? `: ${how}` : ''}${value ? `, checkpoint ${value}` : ''}`;
}

/** Store, workers and processes of one run. */
export class Site {
  store = new Store();

  cloud = new Cloud(this);

  daemons = [];

  workers = [];

  /** True if starts and ends are too many to be recorded one by one. */
  isQuiet = false;

  /** Called with each start and end that a worker reports. */
  onRun = () => {};

  #recorder;

  #heardAtMs = new Map();

  /** Members of the runs of gangs, each with its worker. */
  #gangs = new Map();

  #expiry = null;

  #folder = null;

  constructor(recorder) {
    this.#recorder = recorder;
  }

  /** With `hasCloud`, there are machines, and proxies between each process and the platform. */
  async start({ daemonCount, workerCount, hasCloud = false, kinds = [] }) {
    const storeAddress = await this.store.open(STORE_HOST, 0);
    this.store.onRefused = (reason) => this.#recorder.write(`the store refuses a call: ${reason}`);
    this.store.put('op', 'config', createConfiguration());
    this.#expiry = setInterval(() => this.#removeSilent(), 100);
    for (let index = 1; index <= workerCount; index += 1) {
      const host = `127.0.4.${index}`;
      const worker = new Worker({
        id: `worker-${index}`,
        host,
        port: await findFreePort(host),
        rack: `r${Math.ceil(index / 4)}`,
        kind: kinds[index - 1] ?? 'a',
        handle: (message) => this.#handle(message),
      });
      this.workers.push(worker);
      worker.start();
      this.cloud.add(`m-${index}`, worker);
    }
    const cloudAddress = hasCloud ? await this.cloud.open(STORE_HOST) : null;
    const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
    const args = /^run = "node (.*)"$/m.exec(text)[1].split(' ');
    this.#folder = await mkdtemp(join(tmpdir(), 'review-2-'));
    for (let index = 1; index <= daemonCount; index += 1) {
      const host = `127.0.3.${index}`;
      const name = `front-zone-a-${index}`;
      const base = await findPorts(host);
      const settingsPath = join(this.#folder, `${name}.yaml`);
      const proxies = hasCloud ? [new Proxy(storeAddress), new Proxy(cloudAddress)] : [];
      const [storeProxy, cloudProxy] = await Promise.all(
        proxies.map(async (proxy) => proxy.open(host)),
      );
      const settings = createSettings({
        name,
        host,
        base,
        storeAddress: storeProxy ?? storeAddress,
        cloudAddress: cloudProxy ?? null,
      });
      await writeFile(settingsPath, JSON.stringify(settings));
      const recorder = this.#recorder;
      const options = { name, host, port: base, args, settingsPath, recorder, proxies };
      this.daemons.push(new Daemon(options));
    }
    this.daemons.forEach((daemon) => daemon.start());
    await this.#waitUntilReady();
  }

  async close() {
    clearInterval(this.#expiry);
    await Promise.all([...this.daemons, ...this.workers].map(async (process) => process.close()));
    this.daemons.forEach(({ proxies }) => proxies.forEach((proxy) => proxy.close()));
    this.cloud.close();
    this.store.close();
    if (this.#folder !== null) {
      await rm(this.#folder, { recursive: true, force: true });
    }
  }

  /** Returns the process that has acquired the ownership last. */
  findOwner() {
    const terms = this.daemons.map((daemon) => {
      const epochs = [...daemon.output.matchAll(/ownership-acquired[^\n]*?epoch=(\d+)/g)];
      return { daemon, epoch: Number(epochs.at(-1)?.[1] ?? -1) };
    });
    const [latest] = terms.sort((left, right) => right.epoch - left.epoch);
    return latest.epoch < 0 ? null : latest.daemon;
  }

  /** Ends a worker as an upkeep of its machine does; a new one joins after a time. */
  async replaceWorker(worker, afterMs) {
    await worker.close();
    this.#heardAtMs.delete(worker.id);
    this.store.remove('servers', worker.id);
    this.#recorder.write(`the upkeep of the machine of ${worker.id} begins`);
    await wait(afterMs);
    const { host, rack, kind, handle } = worker;
    const next = new Worker({
      id: `${worker.id}-next`,
      host,
      port: await findFreePort(host),
      rack,
      kind,
      handle,
    });
    this.workers.push(next);
    next.start();
    return next;
  }

  /** Sends a call of a client; status 0 means that it got no answer. */
  async call(daemon, method, path, body = null) {
    return new Promise((resolve) => {
      const text = body === null ? '' : JSON.stringify(body);
      const sent = request(
        {
          host: daemon.host,
          port: daemon.port,
          method,
          path: `/queue-a/${path}`,
          agent: false,
          timeout: CALL_TIMEOUT_MS,
          headers: {
            host: QUEUE_HOST,
            authorization: `Bearer ${KEY}`,
            'baobabwell-request-deadline': String(CALL_TIMEOUT_MS),
            ...(text === '' ? {} : { 'content-type': 'application/json' }),
            'content-length': Buffer.byteLength(text),
          },
        },
        (response) => {
          let received = '';
          response.on('data', (chunk) => {
            received += chunk.toString();
          });
          response.on('end', () => {
            const decoded = received === '' ? null : JSON.parse(received);
            resolve({ status: response.statusCode, body: decoded });
          });
          response.on('error', () => resolve({ status: 0, body: null }));
        },
      );
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve({ status: 0, body: null }));
      sent.end(text);
    });
  }

  /** Hands a job in at one process after the other until it is accepted; the id is kept. */
  async submit(id, body, { maxMs = 15_000 } = {}) {
    const untilMs = performance.now() + maxMs;
    for (let attempt = 0; performance.now() < untilMs; attempt += 1) {
      const daemon = this.daemons[attempt % this.daemons.length];
      const { status } = await this.call(daemon, 'POST', id, body);
      this.#recorder.write(`POST ${id} at ${daemon.name}: ${status}`);
      if (status === 200) {
        return true;
      }
      await wait(300);
    }
    return false;
  }

  /** Asks every process for the state of a job. */
  async readStates(id) {
    const replies = await Promise.all(
      this.daemons.map(async (daemon) => this.call(daemon, 'GET', id)),
    );
    return replies.map(({ status, body }) => (status === 200 ? body.state : String(status)));
  }

  #handle(message) {
    const { type, worker, row } = message;
    if (type === 'row') {
      this.#heardAtMs.set(worker, performance.now());
      this.store.put('servers', worker, row);
      return;
    }
    if (!this.isQuiet) {
      this.#recorder.write(
        `${type} ${message.task} run ${message.run} on ${worker}${describe(message)}`,
      );
    }
    if (message.gang > 0) {
      this.#updateGang(message);
    }
    this.onRun(message);
  }

  /** Tells the members of a gang that all are present, or that one has ended. */
  #updateGang({ type, worker, task, run, gang, how }) {
    const key = `${task.split('.').slice(0, 3).join('.')} ${run}`;
    const members = this.#gangs.get(key) ?? new Map();
    this.#gangs.set(key, members);
    const tell = (told) =>
      members.forEach((id, member) => {
        this.workers
          .find((candidate) => candidate.id === id)
          ?.send({ type: told, task: member, run });
      });
    if (type === 'end') {
      members.delete(task);
      tell(how === 'done' ? 'gang-done' : 'gang-ended');
    } else {
      members.set(task, worker);
      if (members.size === gang) {
        tell('gang-complete');
      }
    }
  }

  #removeSilent() {
    const limitMs = performance.now() - MISSED_HEARTBEATS * HEARTBEAT_MS;
    this.#heardAtMs.forEach((atMs, worker) => {
      if (atMs < limitMs) {
        this.#heardAtMs.delete(worker);
        this.store.remove('servers', worker);
        this.#recorder.write(`the entry of ${worker} has expired`);
      }
    });
  }

  async #isReady({ host, port }) {
    return new Promise((resolve) => {
      const sent = request({ host, port: port + 1, path: '/baobabwell/ready', agent: false });
      sent.on('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      sent.on('error', () => resolve(false));
      sent.end();
    });
  }

  async #waitUntilReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      const ready = await Promise.all(this.daemons.map(async (daemon) => this.#isReady(daemon)));
      if (ready.every(Boolean)) {
        // Traffic starts some seconds after the machines do.
        await wait(4_000);
        return;
      }
      await wait(100);
    }
    throw new Error('the processes are not ready in time');
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  const site = new Site(recorder);
  let code = 2;
  try {
    const broken = await play(site, recorder);
    code = broken === null ? 0 : 1;
    recorder.write(broken === null ? 'the rule held' : `the rule was broken: ${broken}`);
  } catch (error) {
    recorder.write(`the case could not run: ${error.message}`);
  } finally {
    await site.close();
  }
  process.exitCode = code;
}
