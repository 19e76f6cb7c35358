import type { JsonObject, StandInCall, StandInReply, StandInServer } from './http';

import { setTimeout as wait } from 'node:timers/promises';

import { Random } from '@baobabwell/utils';

import { openServer } from './http';

const ANSWER_MS = 4;
const TRANSACTION_MS = 8;
const MAX_ROWS = 500;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;

type RowKey = { readonly table: string; readonly part?: string; readonly key: string };
type NewRow = RowKey & { readonly value: string };
type ExpectedRow = RowKey & { readonly ver: number };
type StoredRow = NewRow & { readonly part: string; readonly ver: number };
type Change = RowKey & { readonly ver: number; readonly value?: string; readonly deleted?: true };

function encodeValue(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

function compareKeys(left: RowKey, right: RowKey): number {
  if (left.key === right.key) {
    return 0;
  }
  return left.key < right.key ? -1 : 1;
}

/** Stand-in of the platform's metadata store: rows, transactions and the feed of changes. */
export class SoakStore {
  /** Time by which every answer is later than usual, in ms. */
  delayMs = 0;

  /** Share of the answers that are lost, each with its connection. */
  lostShare = 0;

  readonly #random: Random;

  readonly #parts = new Map<string, Map<string, StoredRow>>();

  readonly #changes: Change[] = [];

  readonly #waiters = new Set<() => void>();

  readonly #startedAtMs = performance.now();

  #version = 0;

  #server: StandInServer | null = null;

  constructor(seed = 1) {
    this.#random = new Random(seed);
  }

  /** Opens the store and returns its address. */
  async open(): Promise<string> {
    this.#server = await openServer(0, async (call) => this.#answer(call), {
      getDelayMs: () => this.delayMs,
      isLost: () => this.#random.getFraction() < this.lostShare,
    });
    return `127.0.0.1:${this.#server.port}`;
  }

  close(): void {
    this.#server?.close();
  }

  /** Writes a row as the operator or a worker does. */
  put(table: string, key: string, value: unknown): void {
    this.#apply([{ table, key, value: encodeValue(value) }], []);
  }

  remove(table: string, key: string): void {
    this.#apply([], [{ table, key }]);
  }

  #getPart({ table, part = '' }: Omit<RowKey, 'key'>): Map<string, StoredRow> {
    const name = `${table} ${part}`;
    const existing = this.#parts.get(name) ?? new Map<string, StoredRow>();
    this.#parts.set(name, existing);
    return existing;
  }

  #apply(puts: readonly NewRow[], removes: readonly RowKey[]): void {
    this.#version += 1;
    const ver = this.#version;
    puts.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver };
      this.#getPart(row).set(key, row);
      this.#changes.push(row);
    });
    removes.forEach(({ table, part = '', key }) => {
      if (this.#getPart({ table, part }).delete(key)) {
        this.#changes.push({ table, part, key, ver, deleted: true });
      }
    });
    this.#waiters.forEach((notify) => notify());
  }

  async #answer({ method, path, query, body }: StandInCall): Promise<StandInReply> {
    switch (`${method} ${path}`) {
      case 'POST /baobabwell/rows-tx':
        await wait(TRANSACTION_MS);
        return this.#commit(body);
      case 'GET /baobabwell/rows-get':
        await wait(ANSWER_MS);
        return this.#list(query);
      case 'GET /baobabwell/rows-feed':
        await wait(ANSWER_MS);
        return this.#watch(query);
      default:
        return { status: HTTP_NOT_FOUND, body: {} };
    }
  }

  #commit(body: JsonObject): StandInReply {
    const expected = (body['expected-rev'] ?? []) as readonly ExpectedRow[];
    const present = expected.map((row) => this.#getPart(row).get(row.key));
    if (expected.some(({ ver }, index) => (present[index]?.ver ?? 0) !== ver)) {
      const rows = expected.map((row, index) => present[index] ?? { part: '', ...row, ver: 0 });
      return { status: HTTP_PRECONDITION_FAILED, body: { rows, ...this.#stamp() } };
    }
    this.#apply(
      (body['put'] ?? []) as readonly NewRow[],
      (body['remove'] ?? []) as readonly RowKey[],
    );
    return { status: HTTP_OK, body: this.#stamp() };
  }

  #list(query: URLSearchParams): StandInReply {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const part = this.#getPart({
      table: query.get('table') ?? '',
      part: query.get('part') ?? '',
    });
    const rows = [...part.values()]
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort(compareKeys);
    const page = rows.slice(0, limit);
    return {
      status: HTTP_OK,
      body: { rows: page, 'has-more': rows.length > page.length, ...this.#stamp() },
    };
  }

  async #watch(query: URLSearchParams): Promise<StandInReply> {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const list = (): readonly Change[] =>
      this.#changes.filter((row) => row.ver > after && row.table === table);
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0);
    let rows = list();
    while (rows.length === 0 && performance.now() < untilMs) {
      await this.#waitForChange(untilMs - performance.now());
      rows = list();
    }
    return { status: HTTP_OK, body: { rows, ...this.#stamp() } };
  }

  async #waitForChange(maxMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const notify = (): void => {
        this.#waiters.delete(notify);
        resolve();
      };
      this.#waiters.add(notify);
      setTimeout(notify, Math.max(1, maxMs));
    });
  }

  #stamp(): JsonObject {
    return { ver: this.#version, 'now-ms': Math.round(performance.now() - this.#startedAtMs) };
  }
}
