import type { ChildProcess } from 'node:child_process';

import { expect } from 'earl';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { promisify } from 'node:util';

const TEST_TIMEOUT_MS = 30_000;

/** Time after which the process waits for its settings, on a busy machine, in ms. */
const LOADED_MS = 2_500;
const SIGNAL_MS = 500;

const runFile = promisify(execFile);

describe('signals to a process that starts', function () {
  this.timeout(TEST_TIMEOUT_MS);

  let folder: string;
  let daemon: ChildProcess;

  before(async () => {
    await runFile('npx', ['tsx', 'scripts/build-daemon.ts']);
  });

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'baobabwell-signals-'));
    const settingsPath = join(folder, 'settings');
    // The process waits for its settings until something is written to the pipe.
    await runFile('mkfifo', [settingsPath]);
    daemon = spawn(process.execPath, ['target/daemon-start.cjs'], {
      env: { PATH: process.env['PATH'], BAOBABWELL_BOOT: settingsPath },
      stdio: 'ignore',
    });
    await wait(LOADED_MS);
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
    daemon.kill('SIGHUP');
    await wait(SIGNAL_MS);
    expect(daemon.signalCode).toEqual(null);
    const ended = once(daemon, 'exit');
    daemon.kill('SIGTERM');
    await ended;
    expect(daemon.signalCode).toEqual('SIGTERM');
  });
});
