import type { ChildProcess } from 'node:child_process';

import { createHash, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';

import { BinaryProcesses, findPortBlock, waitForReady } from './processes';

const PORTS_PER_ENTRY = 3;
const OPERATOR_PORT = 1;
const PEER_PORT = 2;
const WORKERS_PER_RACK = 4;
const SECRET_BYTES = 24;
const TEAM_LIMIT = 40;
const DATA_CENTRES = ['north', 'east', 'south'];

/** Size and teams of a local deployment. */
export type DeploymentShape = {
  readonly entries: number;
  readonly workers: number;
  readonly teams: readonly string[];
};

/** Number of calls of a load client by result. */
export type LoadCounts = Record<
  'calls' | 'completed' | 'notRun' | 'unknown' | 'lost' | 'wrongAnswer',
  number
>;

/** Load to send: calls per second, duration, run time of a call and random seed. */
export type LoadRequest = {
  readonly team: string;
  readonly rate: number;
  readonly duration: string;
  readonly run?: string;
  readonly seed: number;
};

function createSecret(): string {
  return randomBytes(SECRET_BYTES).toString('base64url');
}

function buildDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function createSecrets(names: readonly string[]): ReadonlyMap<string, string> {
  return new Map(names.map((name) => [name, createSecret()]));
}

/** Runs a deployment of the binary on loopback: stand-ins, entries and clients. */
export class LocalDeployment {
  readonly #shape: DeploymentShape;

  readonly #processes = new BinaryProcesses();

  readonly #operatorSecret = createSecret();

  readonly #teamSecrets: ReadonlyMap<string, string>;

  readonly #entries = new Map<number, ChildProcess>();

  #directory = '';

  #firstPort = 0;

  constructor(shape: DeploymentShape) {
    this.#shape = shape;
    this.#teamSecrets = createSecrets(shape.teams);
  }

  /** Starts all processes and waits until all entries are ready. */
  async start(): Promise<void> {
    const { entries, workers } = this.#shape;
    this.#firstPort = await findPortBlock(1 + workers + entries * PORTS_PER_ENTRY);
    this.#directory = await mkdtemp(join(tmpdir(), 'baobabwell-'));
    await writeFile(this.#getSettingsFile(), this.#buildSettings());
    this.#processes.start(['stand-in', 'platform', '--port', String(this.#firstPort)]);
    const firstWorker = String(this.#getWorkerPort(0));
    this.#processes.start([
      'stand-in',
      'worker',
      '--port',
      firstWorker,
      '--count',
      String(workers),
    ]);
    await waitForReady(`http://127.0.0.1:${this.#firstPort}/counts`);
    for (let index = 0; index < entries; index += 1) {
      await this.startEntry(index);
    }
  }

  /** Starts one entry and waits until it is ready. */
  async startEntry(index: number): Promise<void> {
    const args = ['serve', '--settings', this.#getSettingsFile(), '--entry', `entry-${index + 1}`];
    this.#entries.set(index, this.#processes.start(args));
    await waitForReady(`http://${this.getOperatorAddress(index)}/readyz`);
  }

  /** Sends a signal to one entry. */
  signalEntry(index: number, signal: NodeJS.Signals): void {
    this.#entries.get(index)?.kill(signal);
  }

  /** Stops one entry gracefully and returns its exit code; `null` if it was killed. */
  async stopEntry(index: number): Promise<number | null> {
    const child = this.#entries.get(index);
    return child === undefined ? null : this.#processes.stop(child);
  }

  /** Returns the `host:port` at which an entry serves callers. */
  getCallerAddress(index: number): string {
    return `127.0.0.1:${this.#getEntryPort(index)}`;
  }

  /** Returns the `host:port` at which an entry serves operators. */
  getOperatorAddress(index: number): string {
    return `127.0.0.1:${this.#getEntryPort(index) + OPERATOR_PORT}`;
  }

  /** Returns the base URL of the platform stand-in. */
  getPlatformUrl(): string {
    return `http://127.0.0.1:${this.#firstPort}`;
  }

  /** Returns the base URL of a worker stand-in. */
  getWorkerUrl(index: number): string {
    return `http://127.0.0.1:${this.#getWorkerPort(index)}`;
  }

  /** Returns the secret of a team's key. */
  getTeamSecret(team: string): string {
    return this.#teamSecrets.get(team) ?? '';
  }

  /** Sends a query or a command to an entry and returns the printed output. */
  async operate(kind: 'query' | 'command', text: string, entry = 0): Promise<string> {
    return this.#processes.run([kind, text, '--address', this.getOperatorAddress(entry)], {
      BAOBABWELL_OPERATOR_SECRET: this.#operatorSecret,
    });
  }

  /** Sends load to all entries and counts the calls by result. */
  async runLoad({ team, rate, duration, run = '20ms', seed }: LoadRequest): Promise<LoadCounts> {
    const addresses = Array.from({ length: this.#shape.entries }, (_, index) => [
      '--address',
      this.getCallerAddress(index),
    ]).flat();
    const args = ['load', ...addresses, '--queue', 'enrolments', '--json'];
    const options = ['--rate', String(rate), '--for', duration, '--run', run];
    const output = await this.#processes.run([...args, ...options, '--seed', String(seed)], {
      BAOBABWELL_KEY: this.getTeamSecret(team),
    });
    return JSON.parse(output) as LoadCounts;
  }

  /** Returns the secret of the operator. */
  getOperatorSecret(): string {
    return this.#operatorSecret;
  }

  /** Reports the burn rate of the error budget and writes the report to an HTML file. */
  async reportBurn(htmlFile: string): Promise<string> {
    const args = ['report', 'burn', '--settings', this.#getSettingsFile(), '--html', htmlFile];
    return this.#processes.run(args, {});
  }

  /** Stops all processes and removes the settings. */
  async close(): Promise<void> {
    await this.#processes.close();
    await rm(this.#directory, { recursive: true });
  }

  #getSettingsFile(): string {
    return join(this.#directory, 'settings.yaml');
  }

  #getWorkerPort(index: number): number {
    return this.#firstPort + 1 + index;
  }

  #getEntryPort(index: number): number {
    return this.#firstPort + 1 + this.#shape.workers + index * PORTS_PER_ENTRY;
  }

  #buildSettings(): string {
    const { entries, teams } = this.#shape;
    return stringify({
      name: 'local',
      entries: Array.from({ length: entries }, (_, index) => ({
        id: `entry-${index + 1}`,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
        callers: this.getCallerAddress(index),
        operators: this.getOperatorAddress(index),
        peers: `127.0.0.1:${this.#getEntryPort(index) + PEER_PORT}`,
      })),
      platform: { url: this.getPlatformUrl(), timeout: '800ms' },
      peers: { secret: createSecret() },
      log: { level: 'warn' },
      fleet: {
        organisations: [{ id: 'education', share: 1 }],
        teams: teams.map((id) => ({ id, organisation: 'education', share: 1, limit: TEAM_LIMIT })),
        keys: teams.map((team) => ({
          id: `key-${team}`,
          team,
          digest: buildDigest(this.getTeamSecret(team)),
        })),
        operators: [
          { id: 'local', role: 'administrator', digest: buildDigest(this.#operatorSecret) },
        ],
        pools: [this.#buildPool()],
        targets: [{ id: 'enrolment', pool: 'ovens' }],
        queues: [
          {
            id: 'enrolments',
            target: 'enrolment',
            teams,
            deadline: '5s',
            objective: { success: '99%', latency: '1s', window: '30d' },
          },
        ],
      },
    });
  }

  #buildPool(): unknown {
    const { workers } = this.#shape;
    return {
      id: 'ovens',
      minimumServing: Math.ceil(workers / 2),
      hosts: Array.from({ length: workers }, (_, index) => {
        const rack = Math.floor(index / WORKERS_PER_RACK);
        return {
          id: `oven-${index + 1}`,
          rack: `rack-${rack + 1}`,
          dataCentre: DATA_CENTRES[rack % DATA_CENTRES.length],
          address: `127.0.0.1:${this.#getWorkerPort(index)}`,
          slots: 8,
          cores: 16,
          memory: '64GB',
        };
      }),
    };
  }
}
