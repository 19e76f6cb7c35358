import type { ChildProcess } from 'node:child_process';

import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';

import { HOLD_MAX_MS } from './worker';

const RESTART_MS = 1_000;
const FIRST_PORT = 20_000;
const PORT_RANGE = 10_000;
const PORTS_PER_DAEMON = 5;
const OUTPUT_CHARACTERS = 4_000_000;
const HTTP_OK = 200;

/** Time within which Node.js begins to run a program on a busy machine, in ms. */
const BOOT_MS = 150;

const MS_PER_S = 1_000;

/** Time from SIGTERM to SIGKILL, in ms. */
export const GRACE_MS = 6_000;

/** Time from the acknowledgement of a configuration until it is in force, in ms. */
export const CONFIG_APPLY_MS = 2_000;

async function readRunArguments(): Promise<readonly string[]> {
  const text = await readFile('deploy/system.toml', 'utf8');
  const [, command = ''] = /^run = "node (.*)"$/m.exec(text) ?? [];
  return command.split(' ');
}

async function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a port from which on those of a process are free on all hosts. */
export async function findPorts(hosts: readonly string[]): Promise<number> {
  let base = FIRST_PORT + ((process.pid * PORTS_PER_DAEMON) % PORT_RANGE);
  for (;;) {
    const first = base;
    const checks = hosts.flatMap((host) =>
      Array.from({ length: PORTS_PER_DAEMON }, async (_, offset) => isFree(host, first + offset)),
    );
    if ((await Promise.all(checks)).every(Boolean)) {
      return first;
    }
    base += PORTS_PER_DAEMON;
  }
}

/** Limits of the machine of a process. */
export type MachineLimits = { readonly 'memory-mb': number; readonly 'max-fds': number };

const MACHINE_LIMITS: MachineLimits = { 'memory-mb': 350, 'max-fds': 4_100 };

/** Creates the settings file of a process. */
export function createSettings(
  name: string,
  host: string,
  base: number,
  store: string,
  machine: MachineLimits = MACHINE_LIMITS,
): unknown {
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
    limits: { 'cpu-share': 0.675, cores: 1, ...machine },
    bounds: {
      'config-apply-ms': CONFIG_APPLY_MS,
      'max-stretch-ms': 5_000,
      'drain-ms': 2_000,
      'grace-s': GRACE_MS / MS_PER_S,
      'hold-max-ms': HOLD_MAX_MS,
      'lease-ms': 3_000,
      'maintenance-s': 2,
      cancel_ms: 3_000,
      status_s: 120,
      'far-factor': 1.5,
    },
    orders: 'call',
    platform: { address: store, form: 'table' },
    'cloud-api': null,
  };
}

/** Reports that a process ended, and whether it was told to. */
export type ExitListener = (name: string, isPlanned: boolean, describedAs: string) => void;

/** A process of the deploy file, which is started again when it ends. */
export class SoakDaemon {
  readonly name: string;

  readonly host: string;

  readonly port: number;

  /** Monotonic time of the last SIGTERM, in ms. */
  stoppedAtMs = -Infinity;

  output = '';

  /** How the last process ended; '' before the first end. */
  lastExit = '';

  #process: ChildProcess | null = null;

  #shouldRun = true;

  #isEndPlanned = false;

  #startedAtMs = 0;

  readonly #args: readonly string[];

  readonly #settingsPath: string;

  readonly #recordExit: ExitListener;

  constructor(options: {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly args: readonly string[];
    readonly settingsPath: string;
    readonly recordExit: ExitListener;
  }) {
    this.name = options.name;
    this.host = options.host;
    this.port = options.port;
    this.#args = options.args;
    this.#settingsPath = options.settingsPath;
    this.#recordExit = options.recordExit;
  }

  start(): void {
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, this.#args, {
      env: { PATH, HOME, BAOBABWELL_BOOT: this.#settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process = child;
    this.#isEndPlanned = false;
    this.#startedAtMs = performance.now();
    const collect = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString()).slice(-OUTPUT_CHARACTERS);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('exit', (code, signal) => {
      this.lastExit = `code ${code}, signal ${signal}`;
      this.#recordExit(this.name, this.#isEndPlanned, this.lastExit);
      if (this.#shouldRun) {
        setTimeout(() => {
          if (this.#shouldRun) {
            this.start();
          }
        }, RESTART_MS);
      }
    });
  }

  /** Returns the id of the process that was started last. */
  getProcessId(): number | null {
    return this.#process?.pid ?? null;
  }

  isUp(): boolean {
    return this.#process?.exitCode === null && this.#process.signalCode === null;
  }

  /** Returns true while the process runs and was not told to end. */
  isCalm(): boolean {
    return this.isUp() && !this.#isEndPlanned;
  }

  /** Stops the process as the platform does: SIGKILL after the grace period. */
  terminate(): void {
    const child = this.#process;
    this.#isEndPlanned = true;
    this.stoppedAtMs = performance.now();
    child?.kill('SIGTERM');
    setTimeout(() => child?.kill('SIGKILL'), GRACE_MS).unref();
  }

  kill(): void {
    this.#isEndPlanned = true;
    this.#process?.kill('SIGKILL');
  }

  /** Stops the process from running code until {@link resume} is called. */
  pause(): void {
    this.#process?.kill('SIGSTOP');
  }

  resume(): void {
    this.#process?.kill('SIGCONT');
  }

  /** Sends SIGHUP, except before a new process can have run the first line of its program. */
  reload(): void {
    if (performance.now() - this.#startedAtMs > BOOT_MS) {
      this.#process?.kill('SIGHUP');
    }
  }

  async close(): Promise<void> {
    this.#shouldRun = false;
    const child = this.#process;
    if (child !== null && this.isUp()) {
      this.#isEndPlanned = true;
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGKILL');
      await ended;
    }
  }

  async isReady(): Promise<boolean> {
    try {
      const reply = await request(`http://${this.host}:${this.port + 1}/baobabwell/ready`);
      await reply.body.dump();
      return reply.statusCode === HTTP_OK;
    } catch {
      // A process that does not listen yet is not ready.
      return false;
    }
  }
}

/** The processes of a small deployment on loopback addresses. */
export class SoakDeployment {
  readonly daemons: readonly SoakDaemon[];

  readonly #folder: string;

  constructor(folder: string, daemons: readonly SoakDaemon[]) {
    this.#folder = folder;
    this.daemons = daemons;
  }

  /** Finds the process that took over last. */
  findOwner(): SoakDaemon | null {
    const terms = this.daemons.map((daemon) => {
      const epochs = [...daemon.output.matchAll(/ownership-acquired[^\n]*?epoch"?[=:]\s*"?(\d+)/g)];
      return { daemon, epoch: Number(epochs.at(-1)?.[1] ?? -1) };
    });
    const [latest] = terms.sort((left, right) => right.epoch - left.epoch);
    return latest === undefined || latest.epoch < 0 ? null : latest.daemon;
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(async (daemon) => daemon.close()));
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/** Starts processes and waits until all are ready. */
export async function startDeployment(
  count: number,
  storeAddress: string,
  recordExit: ExitListener,
  machine?: MachineLimits,
): Promise<SoakDeployment> {
  const folder = await mkdtemp(join(tmpdir(), 'baobabwell-soak-'));
  const args = await readRunArguments();
  const hosts = Array.from({ length: count }, (_, index) => `127.0.2.${index + 1}`);
  const base = await findPorts(hosts);
  const daemons: SoakDaemon[] = [];
  for (const [index, host] of hosts.entries()) {
    const name = `front-zone-a-${index + 1}`;
    const settingsPath = join(folder, `${name}.yaml`);
    const settings = createSettings(name, host, base, storeAddress, machine);
    await writeFile(settingsPath, JSON.stringify(settings));
    daemons.push(new SoakDaemon({ name, host, port: base, args, settingsPath, recordExit }));
  }
  daemons.forEach((daemon) => daemon.start());
  const pollMs = 50;
  while (!(await Promise.all(daemons.map(async (daemon) => daemon.isReady()))).every(Boolean)) {
    await wait(pollMs);
  }
  return new SoakDeployment(folder, daemons);
}
