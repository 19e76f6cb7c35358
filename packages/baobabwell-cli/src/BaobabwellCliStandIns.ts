import {
  buildPlatformServer,
  buildWorkerServer,
  StandInHostList,
  StandInObjectStore,
  StandInTableService,
  StandInWorker,
} from '@baobabwell/stand-ins';
import { Random, SystemClock } from '@baobabwell/utils';

import { writeLine } from './BaobabwellCliExit';
import { waitForStop } from './BaobabwellCliServe';

const HOST_LIST_LAG_MS = 5_000;

/** Runs the platform stand-ins until the process is asked to stop. */
export async function runStandInPlatform(port: number, seed: number): Promise<void> {
  const clock = new SystemClock();
  const server = buildPlatformServer({
    tables: new StandInTableService(clock, new Random(seed)),
    objects: new StandInObjectStore(),
    hosts: new StandInHostList(clock, HOST_LIST_LAG_MS),
  });
  await server.listen({ host: '127.0.0.1', port });
  writeLine(`platform stand-in on port ${port}`);
  await waitForStop();
  await server.close();
}

/** Runs worker stand-ins on successive ports until the process is asked to stop. */
export async function runStandInWorkers(port: number, count: number, slots: number): Promise<void> {
  const clock = new SystemClock();
  const servers = Array.from({ length: count }, (_, index) =>
    buildWorkerServer(new StandInWorker(`worker-${port + index}`, slots, clock), clock),
  );
  await Promise.all(
    servers.map(async (server, index) => server.listen({ host: '127.0.0.1', port: port + index })),
  );
  writeLine(`${count} worker stand-ins from port ${port}`);
  await waitForStop();
  await Promise.all(servers.map(async (server) => server.close()));
}
