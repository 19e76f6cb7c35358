import type { ListedHost, PlatformError } from './BaobabwellPlatformServices';
import type { Row, RowPage, TableError, Transaction } from './BaobabwellPlatformTable';
import type { Result } from '@baobabwell/utils';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';

import { Agent, request } from 'undici';

import { createError, createOk } from '@baobabwell/utils';

import {
  commitReplySchema,
  conflictReplySchema,
  hostListReplySchema,
  pageReplySchema,
  readReplySchema,
} from './BaobabwellPlatformSchemas';
import { HostList, ObjectStore } from './BaobabwellPlatformServices';
import { TableErrorKind, TableService } from './BaobabwellPlatformTable';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const CONNECT_TIMEOUT_MS = 1_000;
const IDLE_TIMEOUT_MS = 4_000;

/** Connection settings of the platform's services. */
export type PlatformConnection = {
  /** Base URL, such as `http://10.0.0.9:7000`. */
  readonly baseUrl: string;
  /** Timeout of one operation, in ms. */
  readonly timeoutMs: number;
};

type HttpReply = {
  readonly status: number;
  readonly body: Uint8Array;
};

type HttpRequest = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array;
};

/** Sends requests to the platform over its own connection pool. */
export class PlatformChannel {
  readonly #connection: PlatformConnection;

  readonly #agent: Dispatcher;

  constructor(connection: PlatformConnection) {
    this.#connection = connection;
    this.#agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
  }

  /**
   * Sends one request and reads the whole answer.
   *
   * @throws if the platform cannot be reached or the answer is incomplete.
   */
  async send({ method, path, body }: HttpRequest): Promise<HttpReply> {
    const { statusCode, body: stream } = await request(`${this.#connection.baseUrl}${path}`, {
      method,
      body: body ?? null,
      headers: typeof body === 'string' ? { 'content-type': 'application/json' } : {},
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#connection.timeoutMs),
    });
    return { status: statusCode, body: await stream.bytes() };
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function parseBody<Schema extends z.ZodType>(schema: Schema, body: Uint8Array): z.infer<Schema> {
  return schema.parse(JSON.parse(Buffer.from(body).toString('utf8')));
}

function createUnavailableError(error: unknown, mayHaveCommitted: boolean): TableError {
  return { kind: TableErrorKind.Unavailable, mayHaveCommitted, cause: String(error) };
}

/** Table service over HTTP with JSON bodies. */
export class HttpTableService extends TableService {
  readonly #channel: PlatformChannel;

  constructor(channel: PlatformChannel) {
    super();
    this.#channel = channel;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    try {
      const reply = await this.#channel.send({
        method: 'POST',
        path: '/table/transactions',
        body: JSON.stringify(transaction),
      });
      if (reply.status === HTTP_OK) {
        return createOk(parseBody(commitReplySchema, reply.body).version);
      }
      if (reply.status === HTTP_CONFLICT) {
        const { conflicts } = parseBody(conflictReplySchema, reply.body);
        return createError({ kind: TableErrorKind.Conflict, conflicts });
      }
      return createError(createUnavailableError(`status ${reply.status}`, true));
    } catch (error) {
      return createError(createUnavailableError(error, true));
    }
  }

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    const path = `/table/rows/${encodeURIComponent(table)}/${encodeURIComponent(key)}`;
    const reply = await this.#read(path, readReplySchema);
    return reply.ok ? createOk(reply.value.row) : reply;
  }

  override async readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>> {
    const query = new URLSearchParams({ since: String(version), limit: String(limit) });
    return this.#read(`/table/rows/${encodeURIComponent(table)}?${query}`, pageReplySchema);
  }

  async #read<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, TableError>> {
    try {
      const reply = await this.#channel.send({ method: 'GET', path });
      if (reply.status !== HTTP_OK) {
        return createError(createUnavailableError(`status ${reply.status}`, false));
      }
      return createOk(parseBody(schema, reply.body));
    } catch (error) {
      return createError(createUnavailableError(error, false));
    }
  }
}

/** Object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #channel: PlatformChannel;

  constructor(channel: PlatformChannel) {
    super();
    this.#channel = channel;
  }

  override async put(name: string, body: Uint8Array): Promise<Result<null, PlatformError>> {
    const reply = await this.#send({ method: 'PUT', path: this.#getPath(name), body });
    return reply.ok ? createOk(null) : reply;
  }

  override async get(name: string): Promise<Result<Uint8Array, PlatformError>> {
    return this.#send({ method: 'GET', path: this.#getPath(name) });
  }

  override async remove(name: string): Promise<Result<null, PlatformError>> {
    const reply = await this.#send({ method: 'DELETE', path: this.#getPath(name) });
    return reply.ok || reply.error.kind === 'not-found' ? createOk(null) : reply;
  }

  #getPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
  }

  async #send(httpRequest: HttpRequest): Promise<Result<Uint8Array, PlatformError>> {
    try {
      const reply = await this.#channel.send(httpRequest);
      if (reply.status === HTTP_OK) {
        return createOk(reply.body);
      }
      const kind = reply.status === HTTP_NOT_FOUND ? 'not-found' : 'unavailable';
      return createError({ kind, cause: `status ${reply.status}` });
    } catch (error) {
      return createError({ kind: 'unavailable', cause: String(error) });
    }
  }
}

/** Host list over HTTP. */
export class HttpHostList extends HostList {
  readonly #channel: PlatformChannel;

  constructor(channel: PlatformChannel) {
    super();
    this.#channel = channel;
  }

  override async list(): Promise<Result<readonly ListedHost[], PlatformError>> {
    try {
      const reply = await this.#channel.send({ method: 'GET', path: '/hosts' });
      if (reply.status !== HTTP_OK) {
        return createError({ kind: 'unavailable', cause: `status ${reply.status}` });
      }
      return createOk(parseBody(hostListReplySchema, reply.body).hosts);
    } catch (error) {
      return createError({ kind: 'unavailable', cause: String(error) });
    }
  }
}
