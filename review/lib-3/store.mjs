import { setTimeout as wait } from 'node:timers/promises';

import { openServer } from './http.mjs';

const ANSWER_MS = 4;
const TRANSACTION_MS = 8;
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_000_000;
const MAX_NAME_BYTES = 200;
const MAX_PAGE_ROWS = 500;
const READ_ONLY = new Set(['op', 'servers']);

function compareKeys(left, right) {
  return Buffer.compare(Buffer.from(left.key), Buffer.from(right.key));
}

/** Stand-in of the platform's metadata store, in the form of tables. */
export class Store {
  constructor({ rowBytes = 65_536, record = () => {} } = {}) {
    this.rowBytes = rowBytes;
    this.record = record;
    this.delayMs = 0;
    this.parts = new Map();
    this.changes = [];
    this.waiters = new Set();
    this.startedAtMs = performance.now();
    this.version = 0;
    this.refusedRows = 0;
    this.longestRow = { bytes: 0, table: '', key: '' };
    this.turns = new Map();
  }

  async open() {
    this.server = await openServer('127.0.0.1', 0, async (call) => this.answer(call));
    return `127.0.0.1:${this.server.port}`;
  }

  close() {
    this.server.close();
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply([{ table, part: '', key, value: text }], []);
  }

  remove(table, key) {
    this.apply([], [{ table, part: '', key }]);
  }

  getPart(table, part = '') {
    const name = `${table} ${part}`;
    if (!this.parts.has(name)) {
      this.parts.set(name, new Map());
    }
    return this.parts.get(name);
  }

  apply(puts, removes) {
    this.version += 1;
    const ver = this.version;
    puts.forEach(({ table, part = '', key, value = '' }) => {
      const row = { table, part, key, value, ver };
      this.getPart(table, part).set(key, row);
      this.changes.push(row);
    });
    removes.forEach(({ table, part = '', key }) => {
      if (this.getPart(table, part).delete(key)) {
        this.changes.push({ table, part, key, ver, deleted: true });
      }
    });
    this.waiters.forEach((notify) => notify());
  }

  stamp() {
    return {
      ver: this.version,
      'now-ms': Math.round(performance.now() - this.startedAtMs),
    };
  }

  async answer({ method, path, query, body, bytes }) {
    await wait(this.delayMs);
    switch (`${method} ${path}`) {
      case 'POST /baobabwell/rows-tx':
        return this.commit(body, bytes);
      case 'GET /baobabwell/rows-get':
        await wait(ANSWER_MS);
        return this.list(query);
      case 'GET /baobabwell/rows-parts':
        await wait(ANSWER_MS);
        return this.listParts(query);
      case 'GET /baobabwell/rows-feed':
        await wait(ANSWER_MS);
        return this.watch(query);
      default:
        return { status: 404, body: {} };
    }
  }

  /** Returns why a transaction is refused, or null. */
  findProblem(entries, puts, bytes) {
    if (entries.length > MAX_ENTRIES || bytes > MAX_CALL_BYTES) {
      return 'a call holds at most 100 entries and 1 MB';
    }
    if (new Set(entries.map(({ part = '' }) => part)).size > 1) {
      return 'all entries share a single part';
    }
    const hasLongName = entries.some(({ table, part = '', key }) =>
      [table, part, key].some((name) => Buffer.byteLength(name) > MAX_NAME_BYTES),
    );
    if (hasLongName) {
      return 'a name has at most 200 bytes';
    }
    let problem = null;
    puts.forEach(({ table, key, value = '' }) => {
      const length = Buffer.from(value, 'base64').length;
      if (length > this.longestRow.bytes) {
        this.longestRow = { bytes: length, table, key };
      }
      if (length > this.rowBytes) {
        this.refusedRows += 1;
        problem = `the value of ${table}/${key} has ${length} of ${this.rowBytes} bytes`;
      }
    });
    return problem;
  }

  async commit(body, bytes) {
    const { 'expected-rev': expected = [], put = [], remove = [] } = body;
    const entries = [...expected, ...put, ...remove];
    if ([...put, ...remove].some(({ table }) => READ_ONLY.has(table))) {
      return { status: 403, body: { error: 'the system may not write there' } };
    }
    const problem = this.findProblem(entries, put, bytes);
    if (problem !== null) {
      this.record(`store refused a transaction: ${problem}`);
      await wait(ANSWER_MS);
      return { status: 400, body: { error: problem } };
    }
    // A part handles its transactions one after another.
    const part = entries[0]?.part ?? '';
    const turn = (this.turns.get(part) ?? Promise.resolve()).then(async () => wait(TRANSACTION_MS));
    this.turns.set(part, turn);
    await turn;
    const present = expected.map((row) => this.getPart(row.table, row.part).get(row.key));
    if (expected.some(({ ver }, index) => (present[index]?.ver ?? 0) !== ver)) {
      const rows = expected.map((row, index) => present[index] ?? { part: '', ...row, ver: 0 });
      return { status: 412, body: { rows, ...this.stamp() } };
    }
    this.apply(put, remove);
    return { status: 200, body: this.stamp() };
  }

  list(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
    const rows = [...this.getPart(query.get('table'), query.get('part') ?? '').values()]
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort(compareKeys);
    const page = [];
    let bytes = 0;
    rows.slice(0, limit).every((row) => {
      bytes += row.value.length;
      if (bytes > MAX_CALL_BYTES && page.length > 0) {
        return false;
      }
      page.push(row);
      return true;
    });
    return {
      status: 200,
      body: { rows: page, 'has-more': rows.length > page.length, ...this.stamp() },
    };
  }

  listParts(query) {
    const prefix = `${query.get('table')} `;
    const after = query.get('after') ?? '';
    const parts = [...this.parts]
      .filter(([name, rows]) => name.startsWith(prefix) && rows.size > 0)
      .map(([name]) => name.slice(prefix.length))
      .filter((part) => part > after)
      .sort();
    return { status: 200, body: { parts: parts.slice(0, 1_000), ...this.stamp() } };
  }

  async watch(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const find = () => {
      const rows = [];
      for (let index = this.changes.length - 1; index >= 0; index -= 1) {
        const change = this.changes[index];
        if (change.ver <= after) {
          break;
        }
        if (change.table === table) {
          rows.push(change);
        }
      }
      return rows.reverse();
    };
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0);
    let rows = find();
    while (rows.length === 0 && performance.now() < untilMs) {
      await this.waitForChange(untilMs - performance.now());
      rows = find();
    }
    return { status: 200, body: { rows, ...this.stamp() } };
  }

  async waitForChange(maxMs) {
    await new Promise((resolve) => {
      let timer = null;
      const notify = () => {
        clearTimeout(timer);
        this.waiters.delete(notify);
        resolve();
      };
      timer = setTimeout(notify, Math.max(1, maxMs));
      this.waiters.add(notify);
    });
  }
}
