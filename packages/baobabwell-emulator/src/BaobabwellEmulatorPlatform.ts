import type { EmulatedNetwork, Endpoint, ExchangeResult } from './BaobabwellEmulatorNetwork';
import type {
  ListedHost,
  PlatformError,
  Row,
  RowPage,
  TableError,
  Transaction,
} from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { HostList, ObjectStore, TableErrorKind, TableService } from '@baobabwell/platform';
import { createError } from '@baobabwell/utils';

const TIMEOUT_MS = 800;

/** A service of the platform that one endpoint reaches across the emulated network. */
export type RemoteService<Service> = {
  readonly network: EmulatedNetwork;
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly service: Service;
};

async function sendTo<Service, T, E>(
  remote: RemoteService<Service>,
  handle: (service: Service) => Promise<Result<T, E>>,
  createFailure: (kind: 'refused' | 'timeout') => E,
): Promise<Result<T, E>> {
  const { network, from, to, service } = remote;
  const result: ExchangeResult<Result<T, E>> = await network.send({
    from,
    to,
    timeoutMs: TIMEOUT_MS,
    handle: async () => handle(service),
  });
  return result.kind === 'answered' ? result.value : createError(createFailure(result.kind));
}

function createTableFailure(isWrite: boolean): (kind: 'refused' | 'timeout') => TableError {
  return (kind) => ({
    kind: TableErrorKind.Unavailable,
    mayHaveCommitted: isWrite && kind === 'timeout',
    cause: kind,
  });
}

function createPlatformFailure(kind: string): PlatformError {
  return { kind: 'unavailable', cause: kind };
}

/** The table service across the emulated network. */
export class EmulatedTableService extends TableService {
  readonly #remote: RemoteService<TableService>;

  constructor(remote: RemoteService<TableService>) {
    super();
    this.#remote = remote;
  }

  override async commit(transaction: Transaction): Promise<Result<number, TableError>> {
    const failure = createTableFailure(true);
    return sendTo(this.#remote, async (service) => service.commit(transaction), failure);
  }

  override async read(table: string, key: string): Promise<Result<Row | null, TableError>> {
    const failure = createTableFailure(false);
    return sendTo(this.#remote, async (service) => service.read(table, key), failure);
  }

  override async readSince(
    table: string,
    version: number,
    limit: number,
  ): Promise<Result<RowPage, TableError>> {
    const failure = createTableFailure(false);
    return sendTo(
      this.#remote,
      async (service) => service.readSince(table, version, limit),
      failure,
    );
  }
}

/** The object store across the emulated network. */
export class EmulatedObjectStore extends ObjectStore {
  readonly #remote: RemoteService<ObjectStore>;

  constructor(remote: RemoteService<ObjectStore>) {
    super();
    this.#remote = remote;
  }

  override async put(name: string, body: Uint8Array): Promise<Result<null, PlatformError>> {
    return sendTo(this.#remote, async (service) => service.put(name, body), createPlatformFailure);
  }

  override async get(name: string): Promise<Result<Uint8Array, PlatformError>> {
    return sendTo(this.#remote, async (service) => service.get(name), createPlatformFailure);
  }

  override async remove(name: string): Promise<Result<null, PlatformError>> {
    return sendTo(this.#remote, async (service) => service.remove(name), createPlatformFailure);
  }
}

/** The host list across the emulated network. */
export class EmulatedHostList extends HostList {
  readonly #remote: RemoteService<HostList>;

  constructor(remote: RemoteService<HostList>) {
    super();
    this.#remote = remote;
  }

  override async list(): Promise<Result<readonly ListedHost[], PlatformError>> {
    return sendTo(this.#remote, async (service) => service.list(), createPlatformFailure);
  }
}
