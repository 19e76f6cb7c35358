/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import { setTimeout as wait } from 'node:timers/promises';

import { openServer } from './http.mjs';

const ANSWER_MS = 4;
const TRANSACTION_MS = 8;
const MAX_ROWS = 500;
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_048_576;
const ROW_BYTES = 65_536;
const READ_ONLY_TABLES = new Set(['op', 'servers']);

function encodeValue(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

function compareKeys(left, right) {
  if (left.key === right.key) {
    return 0;
  }
  return left.key < right.key ? -1 : 1;
}

export class Store {
  /** Called with the reason and the size of each call that the store refuses for a limit of the pages. */
  onRefused = () => {};

  #parts = new Map();

  #changes = [];

  #waiters = new Set();

  #startedAtMs = performance.now();

  #version = 0;

  #server = null;

  async open(host, port) {
    this.#server = await openServer(host, port, async (call) => this.#answer(call));
    return `${host}:${this.#server.port}`;
  }

  close() {
    this.#server?.close();
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    this.#apply([{ table, key, value: encodeValue(value) }], []);
  }

  remove(table, key) {
    this.#apply([], [{ table, key }]);
  }

  /** Returns the decoded value of a row; null if there is none. */
  read(table, part, key) {
    const row = this.#getPart({ table, part }).get(key);
    return row === undefined ? null : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  }

  #getPart({ table, part = '' }) {
    const name = `${table} ${part}`;
    const existing = this.#parts.get(name) ?? new Map();
    this.#parts.set(name, existing);
    return existing;
  }

  #apply(puts, removes) {
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

  async #answer(call) {
    switch (`${call.method} ${call.path}`) {
      case 'POST /baobabwell/rows-tx':
        await wait(TRANSACTION_MS);
        return this.#commit(call);
      case 'GET /baobabwell/rows-get':
        await wait(ANSWER_MS);
        return this.#list(call.query);
      case 'GET /baobabwell/rows-feed':
        await wait(ANSWER_MS);
        return this.#watch(call.query);
      default:
        return { status: 404, body: {} };
    }
  }

  #findLimit(puts, entries, bytes) {
    const sizes = puts.map(({ value }) => Buffer.byteLength(value, 'base64'));
    const largest = Math.max(0, ...sizes);
    if (largest > ROW_BYTES) {
      return `a value of ${largest} bytes, row-bytes is ${ROW_BYTES}`;
    }
    if (bytes > MAX_CALL_BYTES) {
      return `a call of ${bytes} bytes, at most 1 MB`;
    }
    return entries > MAX_ENTRIES ? `a call with ${entries} entries, at most 100` : null;
  }

  #commit({ body, bytes }) {
    const expected = body['expected-rev'] ?? [];
    const puts = body.put ?? [];
    const removes = body.remove ?? [];
    if ([...puts, ...removes].some(({ table }) => READ_ONLY_TABLES.has(table))) {
      return { status: 403, body: {} };
    }
    const limit = this.#findLimit(puts, expected.length + puts.length + removes.length, bytes);
    if (limit !== null) {
      this.onRefused(limit);
      return { status: 400, body: { error: limit } };
    }
    const present = expected.map((row) => this.#getPart(row).get(row.key));
    if (expected.some(({ ver }, index) => (present[index]?.ver ?? 0) !== ver)) {
      const rows = expected.map((row, index) => present[index] ?? { part: '', ...row, ver: 0 });
      return { status: 412, body: { rows, ...this.#stamp() } };
    }
    if (puts.length + removes.length > 0) {
      this.#apply(puts, removes);
    }
    return { status: 200, body: this.#stamp() };
  }

  #list(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const part = this.#getPart({ table: query.get('table') ?? '', part: query.get('part') ?? '' });
    const rows = [...part.values()]
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort(compareKeys);
    const page = rows.slice(0, limit);
    return {
      status: 200,
      body: { rows: page, 'has-more': rows.length > page.length, ...this.#stamp() },
    };
  }

  async #watch(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const list = () => this.#changes.filter((row) => row.ver > after && row.table === table);
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0);
    let rows = list();
    while (rows.length === 0 && performance.now() < untilMs) {
      await this.#waitForChange(untilMs - performance.now());
      rows = list();
    }
    return { status: 200, body: { rows, ...this.#stamp() } };
  }

  async #waitForChange(maxMs) {
    await new Promise((resolve) => {
      const timer = setTimeout(() => this.#waiters.forEach((notify) => notify()), maxMs + 1);
      const notify = () => {
        clearTimeout(timer);
        this.#waiters.delete(notify);
        resolve();
      };
      this.#waiters.add(notify);
    });
  }

  #stamp() {
    return { ver: this.#version, 'now-ms': Math.round(performance.now() - this.#startedAtMs) };
  }
}
