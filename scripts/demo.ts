/**
 * Runs the binary as a small fleet on loopback: a platform stand-in, a dozen workers, three
 * entries and load from two teams, while a host is drained and a key is withdrawn.
 */
import { createHash, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { stringify } from 'yaml';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { parseDuration } from '@baobabwell/settings';

import { Fleet, findPortBlock, waitForReady } from './processes';

const ENTRIES = 3;
const WORKERS = 12;
const WORKERS_PER_RACK = 4;
const SECRET_BYTES = 24;
const RATE_PER_TEAM = 60;
const DATA_CENTRES = ['north', 'east', 'south'];
const TEAMS = ['schools', 'guilds'];

type DemoPorts = {
  readonly platform: number;
  readonly workers: number;
  readonly entries: number;
};

type DemoSecrets = {
  readonly operator: string;
  readonly peers: string;
  readonly teams: readonly string[];
};

type Counts = Record<'calls' | 'completed' | 'notRun' | 'unknown' | 'lost' | 'wrongAnswer', number>;

function createSecret(): string {
  return randomBytes(SECRET_BYTES).toString('base64url');
}

function buildDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function getEntryPort(ports: DemoPorts, index: number, role: number): number {
  return ports.entries + index * 3 + role;
}

function buildHosts(ports: DemoPorts): unknown[] {
  return Array.from({ length: WORKERS }, (_, index) => ({
    id: `oven-${index + 1}`,
    rack: `rack-${Math.floor(index / WORKERS_PER_RACK) + 1}`,
    dataCentre: DATA_CENTRES[Math.floor(index / WORKERS_PER_RACK)],
    address: `127.0.0.1:${ports.workers + index}`,
    slots: 8,
    cores: 16,
    memory: '64GB',
  }));
}

function buildSettings(ports: DemoPorts, secrets: DemoSecrets): string {
  return stringify({
    name: 'demo',
    entries: Array.from({ length: ENTRIES }, (_, index) => ({
      id: `entry-${index + 1}`,
      dataCentre: DATA_CENTRES[index],
      callers: `127.0.0.1:${getEntryPort(ports, index, 0)}`,
      operators: `127.0.0.1:${getEntryPort(ports, index, 1)}`,
      peers: `127.0.0.1:${getEntryPort(ports, index, 2)}`,
    })),
    platform: { url: `http://127.0.0.1:${ports.platform}`, timeout: '800ms' },
    peers: { secret: secrets.peers },
    log: { level: 'warn' },
    fleet: {
      organisations: [{ id: 'education', share: 1 }],
      teams: TEAMS.map((id) => ({ id, organisation: 'education', share: 1, limit: 40 })),
      keys: TEAMS.map((team, index) => ({
        id: `key-${team}`,
        team,
        digest: buildDigest(secrets.teams[index] ?? ''),
      })),
      operators: [{ id: 'demo', role: 'administrator', digest: buildDigest(secrets.operator) }],
      pools: [{ id: 'ovens', minimumServing: 9, hosts: buildHosts(ports) }],
      targets: [{ id: 'enrolment', pool: 'ovens' }],
      queues: [{ id: 'enrolments', target: 'enrolment', teams: TEAMS, deadline: '5s' }],
    },
  });
}

async function startFleet(
  fleet: Fleet,
  folder: string,
  ports: DemoPorts,
  secrets: DemoSecrets,
): Promise<void> {
  const settings = join(folder, 'demo.yaml');
  await writeFile(settings, buildSettings(ports, secrets));
  fleet.start(['stand-in', 'platform', '--port', String(ports.platform)]);
  fleet.start(['stand-in', 'worker', '--port', String(ports.workers), '--count', String(WORKERS)]);
  await waitForReady(`http://127.0.0.1:${ports.platform}/counts`);
  for (let index = 0; index < ENTRIES; index += 1) {
    fleet.start(['serve', '--settings', settings, '--entry', `entry-${index + 1}`]);
  }
  for (let index = 0; index < ENTRIES; index += 1) {
    await waitForReady(`http://127.0.0.1:${getEntryPort(ports, index, 1)}/readyz`);
  }
}

async function runLoad(
  fleet: Fleet,
  ports: DemoPorts,
  duration: string,
  secret: string,
  seed: number,
): Promise<Counts> {
  const addresses = Array.from({ length: ENTRIES }, (_, index) => [
    '--address',
    `127.0.0.1:${getEntryPort(ports, index, 0)}`,
  ]).flat();
  const output = await fleet.run(
    [
      'load',
      ...addresses,
      ...['--queue', 'enrolments', '--rate', String(RATE_PER_TEAM), '--for', duration],
      ...['--seed', String(seed), '--json'],
    ],
    { BAOBABWELL_KEY: secret },
  );
  return JSON.parse(output) as Counts;
}

function sumCounts(all: readonly Counts[]): Counts {
  const total = { calls: 0, completed: 0, notRun: 0, unknown: 0, lost: 0, wrongAnswer: 0 };
  all.forEach((counts) => {
    (Object.keys(total) as (keyof Counts)[]).forEach((name) => {
      total[name] += counts[name];
    });
  });
  return total;
}

async function runDemo(duration: string, json: boolean): Promise<void> {
  const durationMs = parseDuration(duration);
  if (durationMs === null) {
    throw new Error(`--for ${duration} is not a duration such as 5s`);
  }
  const base = await findPortBlock(1 + WORKERS + ENTRIES * 3);
  const ports = { platform: base, workers: base + 1, entries: base + 1 + WORKERS };
  const secrets = {
    operator: createSecret(),
    peers: createSecret(),
    teams: TEAMS.map(createSecret),
  };
  const folder = await mkdtemp(join(tmpdir(), 'baobabwell-demo-'));
  const fleet = new Fleet();
  const report = (line: string): void => {
    if (!json) {
      console.log(line);
    }
  };
  const operate = async (words: readonly string[]): Promise<void> => {
    const address = `127.0.0.1:${getEntryPort(ports, 0, 1)}`;
    const environment = { BAOBABWELL_OPERATOR_SECRET: secrets.operator };
    report(`> ${words.join(' ')}`);
    report(await fleet.run([...words, '--address', address], environment));
  };
  try {
    await startFleet(fleet, folder, ports, secrets);
    report(`${ENTRIES} entries, ${WORKERS} workers; load from ${TEAMS.join(' and ')}`);
    const loads = secrets.teams.map(async (secret, index) =>
      runLoad(fleet, ports, duration, secret, index + 1),
    );
    await wait(durationMs / 4);
    await operate(['query', 'calls show entry, queue, team, host']);
    await operate(['command', 'drain host oven-1 reason "demonstration"']);
    await wait(durationMs / 4);
    await operate(['command', 'withdraw key key-guilds reason "demonstration"']);
    const total = sumCounts(await Promise.all(loads));
    await operate(['query', 'hosts where state = draining show id, pool, state, stateReason']);
    const summary = { ...total, entries: ENTRIES, workers: WORKERS };
    console.log(json ? JSON.stringify(summary) : summary);
  } finally {
    await fleet.close();
    await rm(folder, { recursive: true });
  }
}

const { for: duration, json } = await yargs(hideBin(process.argv))
  .option('for', { type: 'string', default: '12s', describe: 'How long to send load' })
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .strict()
  .parseAsync();
await runDemo(duration, json);
