/** Measures the overhead of an entry over a plain pass-through proxy under the same load. */
import type { Figures, MeasureFindings, MeasureOptions } from '@baobabwell/measures';

import { build as buildHistogram } from 'hdr-histogram-js';
import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Pool } from 'undici';
import { stringify } from 'yaml';

import { Measure } from '@baobabwell/measures';
import { Random, SystemClock } from '@baobabwell/utils';

import { findPorts, ProgramProcesses, waitForReply } from './ProgramProcesses';

const WORKERS = 4;
const SLOTS = 8;
const CALLERS = 16;
const ROUNDS = 3;
const WARM_UP_MS = 700;
const SATURATED_MS = 1_000;
const STEADY_MS = 1_000;
const STEADY_RATE = 200;
const MICROSECONDS_PER_MS = 1_000;
const SECRET = 'overhead-measure-key';
const TARGET_RATIO = 0.7;
const TARGET_ADDED_MS = 1;

type Latencies = { readonly p50Ms: number; readonly p99Ms: number };

/** Sends load to one of the two servers. */
class LoadClient {
  readonly #pool: Pool;

  readonly #clock = new SystemClock();

  constructor(port: number) {
    this.#pool = new Pool(`http://127.0.0.1:${port}`, { connections: CALLERS });
  }

  async call(): Promise<void> {
    const { statusCode, body } = await this.#pool.request({
      method: 'POST',
      path: '/v1/queues/work/calls',
      headers: {
        authorization: `Bearer ${SECRET}`,
        'content-type': 'application/json',
        'call-repeatable': 'yes',
      },
      body: '{"runMs": 0}',
    });
    await body.dump();
    if (statusCode !== 200) {
      throw new Error(`a call of the overhead measure returned status ${statusCode}`);
    }
  }

  /** Measures calls per second when each caller sends its next call right after the previous. */
  async measureThroughput(durationMs: number): Promise<number> {
    const startedAt = this.#clock.getNow();
    let calls = 0;
    const runCaller = async (): Promise<void> => {
      while (this.#clock.getNow() < startedAt + durationMs) {
        await this.call();
        calls += 1;
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, runCaller));
    return (calls * 1_000) / (this.#clock.getNow() - startedAt);
  }

  /** Measures latencies at a constant mean rate well below the capacity of the server. */
  async measureLatencies(durationMs: number, seed: number): Promise<Latencies> {
    const random = new Random(seed);
    const histogram = buildHistogram();
    const startedAt = this.#clock.getNow();
    const calls: Promise<void>[] = [];
    const recordCall = async (): Promise<void> => {
      const sentAt = this.#clock.getNow();
      await this.call();
      histogram.recordValue(Math.round((this.#clock.getNow() - sentAt) * MICROSECONDS_PER_MS));
    };
    let nextAt = startedAt;
    while (nextAt < startedAt + durationMs) {
      await this.#clock.wait(Math.max(0, nextAt - this.#clock.getNow()));
      nextAt += random.getExponential(1_000 / STEADY_RATE);
      calls.push(recordCall());
    }
    await Promise.all(calls);
    return {
      p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    };
  }

  async close(): Promise<void> {
    await this.#pool.close();
  }
}

function getMedian(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function buildSettings(ports: readonly number[]): string {
  const [platform = 0, callers = 0, operators = 0, peers = 0, firstWorker = 0] = ports;
  const address = (port: number): string => `127.0.0.1:${port}`;
  const digest = createHash('sha256').update(SECRET).digest('hex');
  const hosts = Array.from({ length: WORKERS }, (_, index) => ({
    id: `host-${index + 1}`,
    rack: 'rack-1',
    dataCentre: 'north',
    address: address(firstWorker + index),
    slots: SLOTS,
    cores: 16,
    memory: '64GB',
  }));
  return stringify({
    name: 'overhead',
    entries: [
      {
        id: 'entry-1',
        dataCentre: 'north',
        callers: address(callers),
        operators: address(operators),
        peers: address(peers),
      },
    ],
    platform: { url: `http://${address(platform)}` },
    peers: { secret: `${SECRET}-peers` },
    log: { level: 'warn' },
    fleet: {
      organisations: [{ id: 'all', share: 1 }],
      teams: [{ id: 'callers', organisation: 'all', share: 1, limit: WORKERS * SLOTS }],
      keys: [{ id: 'key-1', team: 'callers', digest }],
      operators: [],
      pools: [{ id: 'pool', minimumServing: 1, hosts }],
      targets: [{ id: 'work', pool: 'pool' }],
      queues: [{ id: 'work', target: 'work', teams: ['callers'], deadline: '10s' }],
    },
  });
}

type Round = { readonly throughput: number } & Latencies;

async function measureRound(client: LoadClient, seed: number): Promise<Round> {
  const throughput = await client.measureThroughput(SATURATED_MS);
  return { throughput, ...(await client.measureLatencies(STEADY_MS, seed)) };
}

function buildFigures(rounds: readonly Round[]): { throughput: number } & Latencies {
  return {
    throughput: getMedian(rounds.map(({ throughput }) => throughput)),
    p50Ms: getMedian(rounds.map(({ p50Ms }) => p50Ms)),
    p99Ms: getMedian(rounds.map(({ p99Ms }) => p99Ms)),
  };
}

/** Compares throughput and latency of an entry with a pass-through in alternating rounds. */
export class OverheadMeasure extends Measure {
  override readonly name = 'overhead';

  override async measure({ seed }: MeasureOptions): Promise<MeasureFindings> {
    const processes = new ProgramProcesses();
    const directory = await mkdtemp(join(tmpdir(), 'baobabwell-overhead-'));
    try {
      const [entryPort, passThroughPort] = await this.#startAll(processes, directory);
      return await this.#compare(new LoadClient(entryPort), new LoadClient(passThroughPort), seed);
    } finally {
      await processes.close();
      await rm(directory, { recursive: true });
    }
  }

  async #startAll(
    processes: ProgramProcesses,
    directory: string,
  ): Promise<readonly [number, number]> {
    const [platform = 0, callers = 0, operators = 0, peers = 0, passThrough = 0] =
      await findPorts(5);
    processes.start(['stand-in', 'platform', '--port', String(platform)]);
    const [entryWorkers = 0, otherWorkers = 0] = await this.#startWorkers(processes);
    await waitForReply(`http://127.0.0.1:${platform}/counts`);
    const settings = join(directory, 'overhead.yaml');
    await writeFile(settings, buildSettings([platform, callers, operators, peers, entryWorkers]));
    processes.start(['serve', '--settings', settings, '--entry', 'entry-1']);
    const workers = Array.from({ length: WORKERS }, (_, index) => [
      '--worker',
      `127.0.0.1:${otherWorkers + index}`,
    ]).flat();
    processes.start(['stand-in', 'pass-through', '--port', String(passThrough), ...workers]);
    await waitForReply(`http://127.0.0.1:${operators}/readyz`);
    await waitForReply(`http://127.0.0.1:${passThrough}/`);
    return [callers, passThrough];
  }

  /** Starts a separate set of workers for each of the two servers. */
  async #startWorkers(processes: ProgramProcesses): Promise<readonly number[]> {
    const firstPorts = await findPorts(2);
    firstPorts.forEach((first) => {
      processes.start(['stand-in', 'worker', '--port', String(first), '--count', String(WORKERS)]);
    });
    await Promise.all(
      firstPorts.map(async (first) =>
        waitForReply(`http://127.0.0.1:${first + WORKERS - 1}/status`),
      ),
    );
    return firstPorts;
  }

  async #compare(
    entry: LoadClient,
    passThrough: LoadClient,
    seed: number,
  ): Promise<MeasureFindings> {
    await entry.measureThroughput(WARM_UP_MS);
    await passThrough.measureThroughput(WARM_UP_MS);
    const entryRounds: Round[] = [];
    const passThroughRounds: Round[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      entryRounds.push(await measureRound(entry, seed + round));
      passThroughRounds.push(await measureRound(passThrough, seed + round));
    }
    await Promise.all([entry.close(), passThrough.close()]);
    const entryFigures = buildFigures(entryRounds);
    const passThroughFigures = buildFigures(passThroughRounds);
    const figures: Figures = {
      ...entryFigures,
      throughputRatio: entryFigures.throughput / passThroughFigures.throughput,
      p50AddedMs: entryFigures.p50Ms - passThroughFigures.p50Ms,
      p99AddedMs: entryFigures.p99Ms - passThroughFigures.p99Ms,
    };
    return {
      figures,
      baseline: { ...passThroughFigures, throughputRatio: 1, p50AddedMs: 0, p99AddedMs: 0 },
      targets: {
        throughputRatio: { atLeast: TARGET_RATIO },
        p50AddedMs: { atMost: TARGET_ADDED_MS },
      },
    };
  }
}
