import type { ChildProcess } from 'node:child_process';

import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { promisify } from 'node:util';
import { fetch } from 'undici';

const BINARY = 'dist/baobabwell';
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;
const READY_TIMEOUT_MS = 15_000;
const READY_INTERVAL_MS = 50;
const STOP_TIMEOUT_MS = 20_000;
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

const runFile = promisify(execFile);

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Finds a block of consecutive free ports on loopback and returns the first. */
export async function findPortBlock(count: number): Promise<number> {
  for (;;) {
    const base = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const ports = Array.from({ length: count }, (_, index) => base + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return base;
    }
  }
}

/** Waits until a URL returns a success status. */
export async function waitForReady(url: string): Promise<void> {
  const endsAt = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < endsAt) {
    try {
      const reply = await fetch(url);
      if (reply.ok) {
        return;
      }
    } catch {
      // The server is not listening yet.
    }
    await wait(READY_INTERVAL_MS);
  }
  throw new Error(`${url} is not ready after ${READY_TIMEOUT_MS} ms`);
}

/** Starts processes of the binary and stops them together. */
export class BinaryProcesses {
  readonly #children: ChildProcess[] = [];

  /** Starts a process that runs until it is stopped. */
  start(args: readonly string[]): ChildProcess {
    const child = spawn(BINARY, args, { stdio: ['ignore', 'ignore', 'inherit'] });
    this.#children.push(child);
    return child;
  }

  /** Runs a process until it exits and returns its output. */
  async run(args: readonly string[], environment: Record<string, string>): Promise<string> {
    const { stdout } = await runFile(BINARY, args, {
      env: { ...process.env, ...environment },
      maxBuffer: MAX_OUTPUT_BYTES,
    });
    return stdout.trimEnd();
  }

  /** Stops all processes in reverse order of their start. */
  async close(): Promise<void> {
    for (const child of this.#children.toReversed()) {
      await this.stop(child);
    }
  }

  /** Stops a process and waits for its exit; returns its exit code, or `null` if it was killed. */
  async stop(child: ChildProcess): Promise<number | null> {
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    const exited = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timeout = new AbortController();
    const killed = wait(STOP_TIMEOUT_MS, null, { signal: timeout.signal }).then(
      () => child.kill('SIGKILL'),
      () => false,
    );
    await exited;
    timeout.abort();
    await killed;
    return child.exitCode;
  }
}
