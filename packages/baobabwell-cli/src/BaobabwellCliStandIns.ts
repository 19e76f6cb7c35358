/** The command `stand-in`. */
import type { FastifyInstance } from 'fastify';
import type { Argv } from 'yargs';

import { Random, SystemClock } from '@baobabwell/utils';

import { writeLine } from './BaobabwellCliExit';
import {
  createNumberOption,
  createPortOption,
  JSON_OPTION,
  SEED_OPTION,
} from './BaobabwellCliOptions';
import { waitForStopSignal } from './BaobabwellCliServe';

const HOST_LIST_LAG_MS = 5_000;
const DEFAULT_SLOTS = 8;
const LOOPBACK = '127.0.0.1';

type WorkerOptions = {
  readonly port: number;
  readonly count: number;
  readonly slots: number;
  readonly json: boolean;
};

function writeReady(what: string, ports: readonly number[], json: boolean): void {
  const text = `${what} on ${ports.map((port) => `${LOOPBACK}:${port}`).join(', ')}`;
  writeLine(json ? JSON.stringify({ what, host: LOOPBACK, ports }) : text);
}

async function runServers(
  servers: readonly FastifyInstance[],
  firstPort: number,
  what: string,
  json: boolean,
): Promise<void> {
  const ports = servers.map((_, index) => firstPort + index);
  await Promise.all(
    servers.map(async (server, index) =>
      server.listen({ host: LOOPBACK, port: firstPort + index }),
    ),
  );
  writeReady(what, ports, json);
  await waitForStopSignal();
  await Promise.all(servers.map(async (server) => server.close()));
}

async function runPlatform(port: number, seed: number, json: boolean): Promise<void> {
  const standIns = await import('@baobabwell/stand-ins');
  const clock = new SystemClock();
  const server = standIns.buildPlatformServer({
    tables: new standIns.StandInTableService(clock, new Random(seed)),
    objects: new standIns.StandInObjectStore(),
    hosts: new standIns.StandInHostList(clock, HOST_LIST_LAG_MS),
  });
  await runServers([server], port, 'platform stand-in', json);
}

async function runWorkers({ port, count, slots, json }: WorkerOptions): Promise<void> {
  const { buildWorkerServer, StandInWorker } = await import('@baobabwell/stand-ins');
  const clock = new SystemClock();
  const servers = Array.from({ length: count }, (_, index) =>
    buildWorkerServer(new StandInWorker(`worker-${port + index}`, slots, clock), clock),
  );
  await runServers(servers, port, 'worker stand-ins', json);
}

async function runPassThrough(
  port: number,
  workers: readonly string[],
  slots: number,
  json: boolean,
): Promise<void> {
  const { buildPassThroughServer } = await import('@baobabwell/stand-ins');
  await runServers([await buildPassThroughServer(workers, slots)], port, 'pass-through', json);
}

function addPlatform(cli: Argv): Argv {
  return cli.command(
    'platform',
    'Run stand-ins for the table service, object store and host list',
    (command) =>
      command
        .option('port', { ...createPortOption('Port on loopback'), demandOption: true })
        .option('seed', SEED_OPTION)
        .option('json', JSON_OPTION)
        .example('$0 stand-in platform --port 9000', 'Serve the platform on 127.0.0.1:9000'),
    async ({ port, seed, json }) => runPlatform(port, seed, json),
  );
}

function addWorker(cli: Argv): Argv {
  const bounds = { isWhole: true, atLeast: 1 };
  return cli.command(
    'worker',
    'Run stand-in workers on consecutive ports',
    (command) =>
      command
        .option('port', { ...createPortOption('First port on loopback'), demandOption: true })
        .option('count', {
          ...createNumberOption('count', 'Number of workers', bounds),
          default: 1,
        })
        .option('slots', {
          ...createNumberOption('slots', 'Slots of each worker', bounds),
          default: DEFAULT_SLOTS,
        })
        .option('json', JSON_OPTION)
        .example(
          '$0 stand-in worker --port 8500 --count 12',
          'Serve workers on ports 8500 to 8511',
        ),
    async (options) => runWorkers(options),
  );
}

function addPassThrough(cli: Argv): Argv {
  return cli.command(
    'pass-through',
    'Forward calls to workers without scheduling, as a baseline for overhead',
    (command) =>
      command
        .option('port', { ...createPortOption('Port on loopback'), demandOption: true })
        .option('worker', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'Addresses of workers',
        })
        .option('slots', {
          ...createNumberOption('slots', 'Slots of each worker', { isWhole: true, atLeast: 1 }),
          default: DEFAULT_SLOTS,
        })
        .option('json', JSON_OPTION)
        .example(
          '$0 stand-in pass-through --port 8000 --worker 127.0.0.1:8500',
          'Forward to a worker',
        ),
    async ({ port, worker, slots, json }) => runPassThrough(port, worker, slots, json),
  );
}

/** Adds the command `stand-in`. */
export function addStandIns(cli: Argv): Argv {
  return cli.command('stand-in', 'Run stand-ins for tests and demonstrations', (command) =>
    addPassThrough(addWorker(addPlatform(command))).demandCommand(
      1,
      'name a stand-in: platform, worker or pass-through',
    ),
  );
}
