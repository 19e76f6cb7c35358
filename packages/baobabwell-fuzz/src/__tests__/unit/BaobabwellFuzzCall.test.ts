import type { Row, RowPage, TableError, Transaction } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';
import type { LeaseGrant, LeaseRequest, Task, TaskOutcome, WorkerError } from '@baobabwell/workers';

import { expect } from 'earl';

import { TableService } from '@baobabwell/platform';
import { WorkerClient, WorkerClientFactory } from '@baobabwell/workers';

import { CallFuzzSuite } from '../../BaobabwellFuzzCall';

const SEED = 3;
const RUNS = 8;
const BROKEN_RUNS = 200;

/** The eleventh history of this seed never ended before the fix of incident 0009. */
const HUNG_SEED = 908_172;
const HUNG_RUNS = 12;
const CLAIM_TABLE = 'call-claims';

/** Grants every claim, even if another call holds the key. */
class UnconditionalTables extends TableService {
  readonly #tables: TableService;

  constructor(tables: TableService) {
    super();
    this.#tables = tables;
  }

  override async commit({ conditions, writes }: Transaction): Promise<Result<number, TableError>> {
    const remaining = conditions.filter(({ table }) => table !== CLAIM_TABLE);
    return this.#tables.commit({ conditions: remaining, writes });
  }

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    return this.#tables.read(table, key);
  }

  override async readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>> {
    return this.#tables.readSince(table, version, limit);
  }
}

type Distortion = (task: Task, outcome: TaskOutcome) => TaskOutcome;

class DistortedClient extends WorkerClient {
  readonly #client: WorkerClient;

  readonly #distort: Distortion;

  constructor(client: WorkerClient, distort: Distortion) {
    super();
    this.#client = client;
    this.#distort = distort;
  }

  override async renew(request: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>> {
    return this.#client.renew(request);
  }

  override async run(task: Task, signal: AbortSignal): Promise<TaskOutcome> {
    return this.#distort(task, await this.#client.run(task, signal));
  }

  override async stop(taskId: string): Promise<void> {
    await this.#client.stop(taskId);
  }

  override replaceConnections(connections: number): void {
    this.#client.replaceConnections(connections);
  }

  override async close(): Promise<void> {
    await this.#client.close();
  }
}

class DistortedFactory extends WorkerClientFactory {
  readonly #factory: WorkerClientFactory;

  readonly #distort: Distortion;

  constructor(factory: WorkerClientFactory, distort: Distortion) {
    super();
    this.#factory = factory;
    this.#distort = distort;
  }

  override create(address: string, connections: number): WorkerClient {
    return new DistortedClient(this.#factory.create(address, connections), this.#distort);
  }
}

function createDistortedSuite(distort: Distortion): CallFuzzSuite {
  return new CallFuzzSuite({
    decorateWorkers: (factory) => new DistortedFactory(factory, distort),
  });
}

async function findViolatedInvariants(suite: CallFuzzSuite): Promise<readonly string[]> {
  const { failure } = await suite.run({ seed: SEED, runs: BROKEN_RUNS, shouldEndOnFailure: true });
  const report = /InvariantError: (\{.*\})/.exec(failure ?? '')?.[1] ?? '{}';
  return Object.entries(JSON.parse(report) as Record<string, readonly string[]>)
    .filter(([, ids]) => ids.length > 0)
    .map(([invariant]) => invariant);
}

describe('the fuzz suite call', function () {
  this.timeout(60_000);

  it('finds no violated invariant', async () => {
    expect((await new CallFuzzSuite().run({ seed: SEED, runs: RUNS })).failure).toEqual(null);
  });

  it('ends when a worker refuses connections while a call waits', async () => {
    const report = await new CallFuzzSuite().run({ seed: HUNG_SEED, runs: HUNG_RUNS });
    expect(report.failure).toEqual(null);
  });

  it('detects claims that do not exclude other calls', async () => {
    const suite = new CallFuzzSuite({
      decorateTables: (tables) => new UnconditionalTables(tables),
    });
    expect(await findViolatedInvariants(suite)).toInclude('doubleRuns');
  });

  it('detects calls reported as not run although they were sent', async () => {
    const suite = createDistortedSuite((_task, outcome) =>
      outcome.kind === 'lost' ? { kind: 'not-sent', cause: outcome.cause } : outcome,
    );
    const violated = await findViolatedInvariants(suite);
    expect(violated.includes('falseNotRun') || violated.includes('doubleRuns')).toEqual(true);
  });

  it('detects answers that are not checked', async () => {
    const suite = createDistortedSuite((task, outcome) =>
      outcome.kind === 'answered'
        ? { kind: 'answered', answer: { ...outcome.answer, taskId: task.id } }
        : outcome,
    );
    expect(await findViolatedInvariants(suite)).toInclude('wrongAnswers');
  });
});
