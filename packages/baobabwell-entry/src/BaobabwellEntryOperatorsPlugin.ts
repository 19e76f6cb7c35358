import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { QueryRow } from '@baobabwell/operations';
import type { PeerConnector } from '@baobabwell/peers';
import type { FastifyInstance } from 'fastify';

import { createTRPCClient } from '@trpc/client';
import Fastify from 'fastify';
import { z } from 'zod';

import { buildDigest } from '@baobabwell/calls';
import { EntityKind } from '@baobabwell/model';
import {
  DrainHostCommand,
  EntitySource,
  GrantKeyCommand,
  OperatorService,
  QuerySource,
  RetireTargetCommand,
  ReturnHostCommand,
  WithdrawKeyCommand,
} from '@baobabwell/operations';
import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

import { parseAddress } from './BaobabwellEntryAddress';
import {
  CALL_SERVICE,
  ENTRY_SETTINGS,
  FRESHNESS,
  IDENTITY,
  METRICS,
  OPERATOR_SERVICE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

const HTTP_UNAUTHORIZED = 401;
const HTTP_UNAVAILABLE = 503;
const BEARER = 'Bearer ';

const statementBody = z.object({ text: z.string().min(1) });

function buildActivityRouter(listRows: () => readonly QueryRow[]) {
  return createPeerRouter({
    activity: createPeerRouter({
      list: peerProcedure.query(() => [...listRows()]),
    }),
  });
}

type ActivityRouter = ReturnType<typeof buildActivityRouter>;

/** The calls that wait or run, at all entries. */
class ActivitySource extends QuerySource {
  override readonly name = 'calls';

  override readonly columns = ['id', 'entry', 'queue', 'team', 'pool', 'host', 'since'];

  readonly #kernel: Kernel;

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
  }

  listOwnRows(): readonly QueryRow[] {
    const entry = this.#kernel.getService(IDENTITY).id;
    return this.#kernel
      .getService(CALL_SERVICE)
      .listActive()
      .map((call) => ({ ...call, entry }));
  }

  override async listRows(): Promise<readonly QueryRow[]> {
    const own = this.#kernel.getService(IDENTITY).id;
    const connector = this.#kernel.getService(PEER_CONNECTOR);
    const peers = this.#kernel
      .getService(VIEW_STORE)
      .get()
      .list(EntityKind.Member)
      .filter(({ id }) => id !== own);
    const others = await Promise.all(
      peers.map(async ({ peerAddress }) => this.#listPeerRows(connector, peerAddress)),
    );
    return [...this.listOwnRows(), ...others.flat()];
  }

  async #listPeerRows(connector: PeerConnector, address: string): Promise<readonly QueryRow[]> {
    const client = createTRPCClient<ActivityRouter>({ links: [connector.createLink(address)] });
    try {
      return await client.activity.list.query();
    } catch {
      return [];
    }
  }
}

function findOperator(kernel: Kernel, header: string | undefined): string | null {
  if (!header?.startsWith(BEARER)) {
    return null;
  }
  const digest = buildDigest(header.slice(BEARER.length));
  const operators = kernel.getService(VIEW_STORE).get().list(EntityKind.Operator);
  return operators.find((operator) => operator.digest === digest)?.id ?? null;
}

function registerOperatorRoutes(kernel: Kernel, server: FastifyInstance): void {
  server.post('/v1/statements', async (request, reply) => {
    const operator = findOperator(kernel, request.headers.authorization);
    if (operator === null) {
      return reply.code(HTTP_UNAUTHORIZED).send({ kind: 'refused', code: 'operator-unknown' });
    }
    const { text } = statementBody.parse(request.body);
    return kernel.getService(OPERATOR_SERVICE).run(text, operator);
  });
}

function registerHealthRoutes(kernel: Kernel, server: FastifyInstance): void {
  const freshness = kernel.getService(FRESHNESS);
  const metrics = kernel.getService(METRICS);
  server.get('/livez', async () => ({ live: true }));
  server.get('/readyz', async (_request, reply) =>
    freshness.isCurrent()
      ? { ready: true }
      : reply.code(HTTP_UNAVAILABLE).send({ ready: false, cause: 'view-stale' }),
  );
  server.get('/metrics', async (_request, reply) => {
    metrics.viewAgeSeconds.set(freshness.getAge() / 1_000);
    return reply.type(metrics.registry.contentType).send(await metrics.registry.metrics());
  });
}

function buildOperatorService(kernel: Kernel): OperatorService {
  const service = new OperatorService({
    writer: kernel.getService(VIEW_WRITER),
    clock: kernel.clock,
  });
  const view = kernel.getService(VIEW_STORE);
  [
    new GrantKeyCommand(),
    new WithdrawKeyCommand(),
    new DrainHostCommand(),
    new ReturnHostCommand(),
    new RetireTargetCommand(),
  ].forEach((command) => service.registerCommand(command));
  Object.values(EntityKind).forEach((kind) => {
    service.registerSource(new EntitySource(kind, () => view.get()));
  });
  return service;
}

/** Serves operators, health checks and metrics. */
export const operatorsPlugin: Plugin = {
  name: 'operators',
  register: (kernel) => kernel.registerService(OPERATOR_SERVICE, buildOperatorService),
  async start(kernel) {
    const activity = new ActivitySource(kernel);
    kernel.getService(OPERATOR_SERVICE).registerSource(activity);
    kernel.getService(PEER_ROUTERS).push(buildActivityRouter(() => activity.listOwnRows()));
    const server = Fastify({ forceCloseConnections: true });
    registerOperatorRoutes(kernel, server);
    registerHealthRoutes(kernel, server);
    await server.listen(parseAddress(kernel.getService(ENTRY_SETTINGS).operators));
    kernel.lifecycle.add('operator server', async () => server.close());
  },
};
