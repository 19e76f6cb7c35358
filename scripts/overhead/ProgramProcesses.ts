/** Starts the program from its sources for measures that need processes; not part of the binary. */
import type { ChildProcess } from 'node:child_process';

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { fetch } from 'undici';

import { SystemClock } from '@baobabwell/utils';

const MAIN = 'packages/baobabwell-cli/src/main.ts';
const LOADER = ['--import', 'tsx'];
const READY_TIMEOUT_MS = 15_000;
const READY_INTERVAL_MS = 50;
const STOP_TIMEOUT_MS = 5_000;

/** Finds a free port on loopback. */
export async function findPort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Finds several different free ports on loopback. */
export async function findPorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    ports.add(await findPort());
  }
  return [...ports];
}

/** Waits until a URL replies with a status below 500; rejects after a timeout. */
export async function waitForReply(url: string): Promise<void> {
  const clock = new SystemClock();
  const endsAt = clock.getNow() + READY_TIMEOUT_MS;
  while (clock.getNow() < endsAt) {
    try {
      const reply = await fetch(url);
      if (reply.status < 500) {
        return;
      }
    } catch {
      // The server is not listening yet.
    }
    await clock.wait(READY_INTERVAL_MS);
  }
  throw new Error(`${url} does not reply`);
}

/** Starts processes of the program and stops them together. */
export class ProgramProcesses {
  readonly #children: ChildProcess[] = [];

  /** Starts the program with the given arguments. */
  start(args: readonly string[]): void {
    const options = { stdio: ['ignore', 'ignore', 'inherit'] as ['ignore', 'ignore', 'inherit'] };
    this.#children.push(spawn(process.execPath, [...LOADER, MAIN, ...args], options));
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    await Promise.all(this.#children.map(async (child) => this.#stop(child)));
  }

  async #stop(child: ChildProcess): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) {
      return;
    }
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    const cancel = new SystemClock().startTimer(STOP_TIMEOUT_MS, () => child.kill('SIGKILL'));
    await exited;
    cancel();
  }
}
