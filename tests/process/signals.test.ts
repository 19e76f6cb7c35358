import type { ChildProcess } from 'node:child_process';

import { expect } from 'earl';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { promisify } from 'node:util';

import { CallEnd, KeptConnection } from './soak/client';
import { createSettings, findPorts, GRACE_MS } from './soak/deployment';
import { createJobBody, createJobId, KEY, PREFIX, QUEUE_HOST, SoakSite } from './soak/site';
import { SoakStore } from './soak/store';

const TEST_TIMEOUT_MS = 30_000;

/** Time after which the process waits for its settings, on a busy machine, in ms. */
const LOADED_MS = 2_500;
const SIGNAL_MS = 500;

const POLL_MS = 50;
const HTTP_GATEWAY_TIMEOUT = 504;

/** Time between the two halves of a call that outlasts its process, in ms. */
const LATE_BODY_MS = 4_500;

/** Delay of a store whose answer to that call comes after the end of the process, in ms. */
const SLOW_MS = 1_200;

/** Delay of a store that answers nothing while the test runs, in ms. */
const NEVER_MS = 120_000;

const runFile = promisify(execFile);

/** Starts the program and returns its process. */
function startProgram(settingsPath: string): ChildProcess {
  return spawn(process.execPath, ['target/daemon-start.cjs'], {
    env: { PATH: process.env['PATH'], BAOBABWELL_BOOT: settingsPath },
    stdio: 'ignore',
  });
}

/** Waits until something listens at an address. */
async function waitForServer(host: string, port: number): Promise<void> {
  const hasServer = async (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect(port, host);
      socket.once('connect', () => resolve(true));
      socket.once('error', () => resolve(false));
      socket.once('close', () => socket.destroy());
      setTimeout(() => socket.destroy(), POLL_MS);
    });
  while (!(await hasServer())) {
    await wait(POLL_MS);
  }
}

describe('signals to a process that starts', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let folder: string;
  let settingsPath: string;
  let daemon: ChildProcess;

  before(async () => {
    await runFile('npx', ['tsx', 'scripts/build-daemon.ts']);
  });

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'baobabwell-signals-'));
    settingsPath = join(folder, 'settings');
  });

  afterEach(async () => {
    if (daemon.exitCode === null && daemon.signalCode === null) {
      const ended = once(daemon, 'exit');
      daemon.kill('SIGKILL');
      await ended;
    }
    await rm(folder, { recursive: true, force: true });
  });

  it('end it with SIGTERM, not with SIGHUP', async () => {
    // The process waits for its settings until something is written to the pipe.
    await runFile('mkfifo', [settingsPath]);
    daemon = startProgram(settingsPath);
    await wait(LOADED_MS);
    daemon.kill('SIGHUP');
    await wait(SIGNAL_MS);
    expect(daemon.signalCode).toEqual(null);
    const ended = once(daemon, 'exit');
    daemon.kill('SIGTERM');
    await ended;
    expect(daemon.signalCode).toEqual('SIGTERM');
  });

  it('end it within its grace period while the store does not answer', async () => {
    const store = new SoakStore();
    store.delayMs = NEVER_MS;
    const host = '127.0.3.1';
    const port = await findPorts([host]);
    const settings = createSettings('front-1', host, port, await store.open());
    await writeFile(settingsPath, JSON.stringify(settings));
    daemon = startProgram(settingsPath);
    await waitForServer(host, port + 1);
    const ended = once(daemon, 'exit');
    daemon.kill('SIGTERM');
    await Promise.race([ended, wait(GRACE_MS)]);
    store.close();
    expect(daemon.exitCode).toEqual(0);
  });
});

describe('SIGTERM to a process with calls', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let site: SoakSite;

  before(async () => {
    await runFile('npx', ['tsx', 'scripts/build-daemon.ts']);
  });

  beforeEach(async () => {
    site = new SoakSite();
    const runs = { recordStart: () => {}, recordEnd: () => {} };
    await site.start({ daemons: 1, workers: 1 }, runs, () => {});
  });

  afterEach(async () => site.close());

  it('answers a call whose body came late and whose write the store answers too late', async () => {
    const [daemon] = site.daemons;
    if (daemon === undefined) {
      throw new Error('no process was started');
    }
    const connection = new KeptConnection(daemon);
    const body = createJobBody(1, SIGNAL_MS);
    const path = `${PREFIX}${createJobId(1)}`;
    const request = { method: 'POST', path, body, pieces: 2, pauseMs: LATE_BODY_MS };
    const reply = connection.call(request, QUEUE_HOST, KEY);
    await wait(POLL_MS);
    site.store.delayMs = SLOW_MS;
    daemon.terminate();
    const { end, status } = await reply;
    connection.close();
    expect({ end, status }).toEqual({ end: CallEnd.Answered, status: HTTP_GATEWAY_TIMEOUT });
  });
});
