/**
 * Runs a crowd of one kind against a process until it is told to end:
 *
 *   npx tsx tests/process/crowd/run.ts KIND HOST PORT CONNECTIONS MAX_MS
 */
import type { Crowd, CrowdKind } from './kinds';
import type { Socket } from 'node:net';

import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { CROWDS } from './kinds';

/** Time until a connection that was closed is opened again, in ms. */
const REOPEN_MS = 5;

/** Most connections that one client of a crowd opens. */
const MAX_REOPENED = 200;

const ARGUMENTS = 2;

/** Waits until more can be sent, or the connection is closed. */
async function waitForRoom(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}

/** Sends pieces as fast as they are taken. */
async function sendPieces(socket: Socket, pieces: Iterable<string>): Promise<void> {
  for (const piece of pieces) {
    if (!socket.writable) {
      return;
    }
    if (!socket.write(piece, 'latin1')) {
      await waitForRoom(socket);
    }
  }
}

/** Does on one connection what the crowd does; resolves once the connection is closed. */
async function runConnection(
  crowd: Crowd,
  address: { readonly host: string; readonly port: number },
  number: number,
): Promise<void> {
  const socket = connect(address);
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.on('error', () => socket.destroy());
  if (crowd.readsAnswers) {
    socket.resume();
  }
  await sendPieces(socket, crowd.listPieces(number));
  if (crowd.leaves) {
    socket.destroySoon();
  }
  await closed;
}

async function runClient(
  crowd: Crowd,
  address: { readonly host: string; readonly port: number },
  firstNumber: number,
): Promise<void> {
  const last = crowd.reopens ? MAX_REOPENED : 1;
  for (let opened = 0; opened < last; opened += 1) {
    await runConnection(crowd, address, firstNumber + opened);
    await wait(REOPEN_MS);
  }
}

const [kind, host = '', port, connections, maxMs] = process.argv.slice(ARGUMENTS);
// Ends by itself if the test that started it has ended.
// eslint-disable-next-line n/no-process-exit
const endProcess = () => process.exit(0);
setTimeout(endProcess, Number(maxMs)).unref();
process.once('disconnect', endProcess);
await Promise.all(
  Array.from({ length: Number(connections) }, async (_, index) =>
    runClient(
      CROWDS[kind as CrowdKind],
      { host, port: Number(port) },
      1_000_000 + index * MAX_REOPENED,
    ),
  ),
);
