/** Stand-in of the platform's metadata store: rows, transactions and the feed of changes. */
import { setTimeout as wait } from 'node:timers/promises';

import { listen } from './http.mjs';

const ANSWER_MS = 4;
const TRANSACTION_MS = 8;
const MAX_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 100;
const MAX_ROW_BYTES = 65_536;
const MAX_CALL_BYTES = 1_000_000;
const READ_ONLY_TABLES = new Set(['op', 'servers']);

function compareKeys(left, right) {
  if (left.key === right.key) {
    return 0;
  }
  return left.key < right.key ? -1 : 1;
}

/** Returns the index of the first row whose key is not below the given one. */
function findFirst(rows, key) {
  let low = 0;
  let high = rows.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (rows[middle].key < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

export class Store {
  /** Rows of a part by key, until the part changes. */
  #sorted = new WeakMap();

  #tables = new Map();

  #changes = [];

  #version = 0;

  #waiters = new Set();

  #servers = [];

  #startedAtMs = performance.now();

  /** Names of machines that the store turns away with 503. */
  refusedMachines = new Set();

  /** Counts of calls by path and status. */
  calls = new Map();

  /** Opens a port for one machine, so that the store can tell the machines apart; returns its address. */
  async open(host, machine) {
    const server = await listen(host, 0, async (call) => this.#handle(call, machine));
    this.#servers.push(server);
    return `${host}:${server.port}`;
  }

  close() {
    this.#servers.forEach((server) => server.close());
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    this.#apply([{ table, part: '', key, value: this.encode(value) }], []);
  }

  drop(table, key) {
    if (this.#getPart(table, '').has(key)) {
      this.#apply([], [{ table, part: '', key }]);
    }
  }

  encode(value) {
    return Buffer.from(JSON.stringify(value)).toString('base64');
  }

  /** Reads the value of a row; `null` if there is none. */
  read(table, part, key) {
    const row = this.#getPart(table, part).get(key);
    return row === undefined ? null : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  countRows(table) {
    let count = 0;
    this.#getTable(table).forEach((rows) => {
      count += rows.size;
    });
    return count;
  }

  /** Adds rows of long ago: their changes are older than the history that the feed still has. */
  addOldRows(rows) {
    this.#version += 1;
    rows.forEach(({ table, part, key, value }) => {
      const present = this.#getPart(table, part);
      present.set(key, { table, part, key, value, ver: this.#version });
      this.#sorted.delete(present);
    });
  }

  #getTable(table) {
    if (!this.#tables.has(table)) {
      this.#tables.set(table, new Map());
    }
    return this.#tables.get(table);
  }

  #getPart(table, part) {
    const parts = this.#getTable(table);
    if (!parts.has(part)) {
      parts.set(part, new Map());
    }
    return parts.get(part);
  }

  #sort(part) {
    if (!this.#sorted.has(part)) {
      this.#sorted.set(part, [...part.values()].toSorted(compareKeys));
    }
    return this.#sorted.get(part);
  }

  #apply(puts, removes) {
    this.#version += 1;
    puts.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver: this.#version };
      const rows = this.#getPart(table, part);
      rows.set(key, row);
      this.#sorted.delete(rows);
      this.#changes.push(row);
    });
    removes.forEach(({ table, part = '', key }) => {
      const rows = this.#getPart(table, part);
      if (rows.delete(key)) {
        this.#sorted.delete(rows);
        this.#changes.push({ table, part, key, ver: this.#version, deleted: true });
      }
    });
    this.#waiters.forEach((notify) => notify());
  }

  async #handle(call, machine) {
    const refusal = { status: 503, body: {} };
    const isRefused = () => this.refusedMachines.has(machine);
    const answer = isRefused() ? refusal : await this.#answer(call);
    // A call of the feed that waits is turned away too; it has done nothing.
    const reply = call.path.endsWith('/rows-feed') && isRefused() ? refusal : answer;
    const key = `${call.path} ${reply.status}`;
    this.calls.set(key, (this.calls.get(key) ?? 0) + 1);
    return reply;
  }

  async #answer(call) {
    switch (`${call.method} ${call.path}`) {
      case 'POST /baobabwell/rows-tx':
        await wait(TRANSACTION_MS);
        return this.#commit(call.body);
      case 'GET /baobabwell/rows-get':
        await wait(ANSWER_MS);
        return this.#get(call.query);
      case 'GET /baobabwell/rows-feed':
        await wait(ANSWER_MS);
        return this.#feed(call.query);
      default:
        return { status: 404, body: {} };
    }
  }

  #commit(body) {
    const { 'expected-rev': expected = [], put: puts = [], remove: removes = [] } = body ?? {};
    const entries = [...expected, ...puts, ...removes];
    const isTooLarge =
      entries.length > MAX_ENTRIES ||
      JSON.stringify(body).length > MAX_CALL_BYTES ||
      puts.some(({ value }) => Buffer.from(value, 'base64').length > MAX_ROW_BYTES);
    const parts = new Set(entries.map(({ part = '' }) => part));
    if (isTooLarge || parts.size > 1) {
      return { status: 400, body: {} };
    }
    if ([...puts, ...removes].some(({ table }) => READ_ONLY_TABLES.has(table))) {
      return { status: 403, body: {} };
    }
    const present = expected.map(({ table, part = '', key }) => ({
      row: this.#getPart(table, part).get(key),
      table,
      part,
      key,
    }));
    const isMet = expected.every(({ ver }, index) => (present[index].row?.ver ?? 0) === ver);
    if (!isMet) {
      const rows = present.map(({ row, table, part, key }) => row ?? { table, part, key, ver: 0 });
      return { status: 412, body: { rows, ...this.#stamp() } };
    }
    this.#apply(puts, removes);
    return { status: 200, body: this.#stamp() };
  }

  #get(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const rows = this.#sort(this.#getPart(query.get('table'), query.get('part') ?? ''));
    let index = findFirst(rows, from);
    const page = [];
    let bytes = 0;
    const isWithin = () => index < rows.length && (to === null || rows[index].key < to);
    while (isWithin() && page.length < limit) {
      const row = rows[index];
      bytes += row.value.length;
      if (bytes > MAX_PAGE_BYTES && page.length > 0) {
        break;
      }
      page.push(row);
      index += 1;
    }
    const hasMore = isWithin();
    return { status: 200, body: { rows: page, 'has-more': hasMore, ...this.#stamp() } };
  }

  async #feed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const find = () => this.#changes.filter((row) => row.table === table && row.ver > after);
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0);
    let rows = find();
    while (rows.length === 0 && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, untilMs - performance.now()));
        const notify = () => {
          clearTimeout(timer);
          this.#waiters.delete(notify);
          resolve();
        };
        this.#waiters.add(notify);
      });
      rows = find();
    }
    return { status: 200, body: { rows, ...this.#stamp() } };
  }

  #stamp() {
    return { ver: this.#version, 'now-ms': Math.round(performance.now() - this.#startedAtMs) };
  }
}
