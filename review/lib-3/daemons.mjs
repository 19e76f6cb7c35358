import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, open, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { callOnce } from './http.mjs';
import { HOLD_MAX_MS } from './worker.mjs';

const FIRST_PORT = 21_000;
const PORT_RANGE = 8_000;
const PORTS = 6;
const RESTART_MS = 500;
const READY_MS = 30_000;

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function findPorts(hosts) {
  for (let base = FIRST_PORT + ((process.pid * PORTS) % PORT_RANGE); ; base += PORTS) {
    const checks = hosts.flatMap((host) =>
      Array.from({ length: PORTS }, async (_, offset) => isFree(host, base + offset)),
    );
    if ((await Promise.all(checks)).every(Boolean)) {
      return base;
    }
  }
}

function createSettings(name, host, base, { store, advisor }) {
  return {
    'node-name': name,
    role: 'entry',
    'machine-class': 'front',
    serves: ['front'],
    ip: host,
    zone: 'zone-a',
    region: 'region-a',
    zones: { 'zone-a': 'region-a' },
    'listen-addrs': {
      front: `${host}:${base}`,
      ready: `${host}:${base + 1}`,
      control: `${host}:${base + 5}`,
    },
    'internal-ports': [base + 2, base + 4],
    'seed-addrs': [],
    bootstrap: true,
    limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4_100 },
    bounds: {
      'config-apply-ms': 2_000,
      'max-stretch-ms': 5_000,
      'drain-ms': 2_000,
      'grace-s': 6,
      'hold-max-ms': HOLD_MAX_MS,
      'lease-ms': 3_000,
      'maintenance-s': 2,
      cancel_ms: 3_000,
      status_s: 120,
      'far-factor': 1.5,
    },
    orders: 'call',
    platform: {
      address: store,
      form: 'table',
      'writes-per-s': 800,
      'reads-per-s': 2_000,
      'row-bytes': 65_536,
    },
    'cloud-api': null,
    advice: advisor ?? null,
  };
}

/** The processes of the deploy file, each on a loopback address of its own. */
export class Daemons {
  constructor({ count, store, advisor, record }) {
    this.count = count;
    this.services = { store, advisor };
    this.record = record;
    this.processes = [];
    this.isClosing = false;
  }

  async start() {
    const deploy = await readFile('deploy/system.toml', 'utf8');
    this.args = /^run = "node (.*)"$/m.exec(deploy)[1].split(' ');
    this.folder = await mkdtemp(join(tmpdir(), 'review-3-'));
    const hosts = Array.from({ length: this.count }, (_, index) => `127.0.4.${index + 1}`);
    const base = await findPorts(hosts);
    for (const [index, host] of hosts.entries()) {
      const name = `front-zone-a-${index + 1}`;
      const settings = join(this.folder, `${name}.yaml`);
      const text = JSON.stringify(createSettings(name, host, base, this.services));
      await writeFile(settings, text);
      const log = join(this.folder, `${name}.log`);
      const output = await open(log, 'a');
      const daemon = { name, host, port: base, settings, log, output, child: null, mayRun: true };
      this.processes.push(daemon);
    }
    this.processes.forEach((daemon) => this.run(daemon));
    const untilMs = performance.now() + READY_MS;
    while (!(await this.areReady())) {
      if (performance.now() > untilMs) {
        throw new Error('the processes do not become ready');
      }
      await wait(100);
    }
  }

  run(daemon) {
    const started = daemon;
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, this.args, {
      env: { PATH, HOME, BAOBABWELL_BOOT: daemon.settings },
      stdio: ['ignore', daemon.output.fd, daemon.output.fd],
    });
    started.child = child;
    child.once('exit', (code, signal) => {
      this.record(`${daemon.name} ended: code ${code}, signal ${signal}`);
      if (daemon.mayRun && !this.isClosing) {
        setTimeout(() => daemon.mayRun && !this.isClosing && this.run(daemon), RESTART_MS);
      }
    });
  }

  async areReady() {
    const replies = await Promise.all(
      this.processes.map(async ({ host, port }) =>
        callOnce({
          host,
          port: port + 1,
          method: 'GET',
          path: '/baobabwell/ready',
          headers: { host },
          timeoutMs: 500,
        }),
      ),
    );
    return replies.every(({ status }) => status === 200);
  }

  /** Finds the process that took over last, by its log. */
  async findOwner() {
    const find = async (daemon) => {
      const text = await readFile(daemon.log, 'utf8');
      const epochs = [...text.matchAll(/ownership-acquired[^\n]*?epoch"?[=:]\s*"?(\d+)/g)];
      return { daemon, epoch: Number(epochs.at(-1)?.[1] ?? -1) };
    };
    const terms = await Promise.all(this.processes.map(find));
    return terms.sort((left, right) => right.epoch - left.epoch)[0].daemon;
  }

  kill(daemon) {
    daemon.child.kill('SIGKILL');
  }

  /** Kills processes and starts them again after a time: they lose power meanwhile. */
  async powerOff(daemons, forMs) {
    daemons.forEach((daemon) => {
      const stopped = daemon;
      stopped.mayRun = false;
      daemon.child.kill('SIGKILL');
    });
    await wait(forMs);
    daemons.forEach((daemon) => {
      const started = daemon;
      started.mayRun = true;
      this.run(daemon);
    });
  }

  async close() {
    this.isClosing = true;
    await Promise.all(
      this.processes.map(async ({ child }) => {
        if (child !== null && child.exitCode === null && child.signalCode === null) {
          const ended = once(child, 'exit');
          child.kill('SIGKILL');
          await ended;
        }
      }),
    );
    await Promise.all(this.processes.map(async ({ output }) => output.close()));
    if (process.env.KEEP === undefined && this.folder !== undefined) {
      await rm(this.folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`logs: ${this.folder}\n`);
    }
  }
}
