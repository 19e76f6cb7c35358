import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { QueryRow } from '@baobabwell/operations';
import type { PeerConnector } from '@baobabwell/peers';

import { createTRPCClient } from '@trpc/client';

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

import {
  CALL_SERVICE,
  IDENTITY,
  OPERATOR_SERVICE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

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

/** Answers queries and commands of operators. */
export const operatorsPlugin: Plugin = {
  name: 'operators',
  register: (kernel) => kernel.registerService(OPERATOR_SERVICE, buildOperatorService),
  async start(kernel) {
    const activity = new ActivitySource(kernel);
    kernel.getService(OPERATOR_SERVICE).registerSource(activity);
    kernel.getService(PEER_ROUTERS).push(buildActivityRouter(() => activity.listOwnRows()));
  },
};
