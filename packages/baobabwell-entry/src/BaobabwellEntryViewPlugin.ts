import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { Member } from '@baobabwell/model';
import type { ViewPeerParts } from '@baobabwell/view';

import { mergeUndo } from '@baobabwell/kernel';
import { createPut, createRemoval, EntityKind, MemberState } from '@baobabwell/model';
import { buildFleet } from '@baobabwell/settings';
import { createOk } from '@baobabwell/utils';
import {
  buildViewRouter,
  FRESHNESS_BOUND_MS,
  FreshnessTracker,
  HISTORY_CHANGES,
  ViewFollower,
  ViewHistory,
  ViewLog,
  ViewPeerTask,
  ViewStore,
  ViewWriter,
} from '@baobabwell/view';

import {
  CHANGE_COMMITTED,
  ENTRY_SETTINGS,
  FRESHNESS,
  IDENTITY,
  LOGGER,
  METRICS,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  SETTINGS,
  TABLE_SERVICE,
  VIEW_FOLLOWER,
  VIEW_HISTORY,
  VIEW_LOG,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

const JOIN_RETRY_MS = 500;

function getPeerParts(kernel: Kernel): ViewPeerParts {
  return {
    store: kernel.getService(VIEW_STORE),
    history: kernel.getService(VIEW_HISTORY),
    freshness: kernel.getService(FRESHNESS),
    follower: kernel.getService(VIEW_FOLLOWER),
    clock: kernel.clock,
  };
}

function buildMember(kernel: Kernel): Member {
  const { id, incarnation } = kernel.getService(IDENTITY);
  const { dataCentre, peers } = kernel.getService(ENTRY_SETTINGS);
  return { id, incarnation, dataCentre, peerAddress: peers, state: MemberState.Active };
}

/** Joins the fleet; the first entry of an empty log also creates the fleet of the settings. */
async function joinFleet(kernel: Kernel): Promise<void> {
  const writer = kernel.getService(VIEW_WRITER);
  const logger = kernel.getService(LOGGER);
  const member = buildMember(kernel);
  for (;;) {
    const joined = await writer.write<never>({
      author: member.id,
      command: 'join',
      reason: 'entry started',
      build: (view) => {
        const { fleet } = kernel.getService(SETTINGS);
        const initial = view.version === 0 ? buildFleet(fleet, kernel.clock.getWallTime()) : [];
        return createOk([...initial, createPut(EntityKind.Member, member)]);
      },
    });
    if (joined.ok) {
      logger.recordInfo('entry-joined', { version: joined.value.version });
      return;
    }
    logger.recordWarning('entry-join-failed', { cause: JSON.stringify(joined.error) });
    await kernel.clock.wait(JOIN_RETRY_MS);
  }
}

async function leaveFleet(kernel: Kernel): Promise<void> {
  const { id } = kernel.getService(IDENTITY);
  await kernel.getService(VIEW_WRITER).write<never>({
    author: id,
    command: 'leave',
    reason: 'entry stopped',
    build: () => createOk([createRemoval(EntityKind.Member, id)]),
  });
}

/** Runs one task for each other member, following the membership. */
class PeerTasks {
  readonly #kernel: Kernel;

  readonly #tasks = new Map<string, { readonly address: string; readonly task: ViewPeerTask }>();

  constructor(kernel: Kernel) {
    this.#kernel = kernel;
  }

  update(members: readonly Member[]): void {
    const own = this.#kernel.getService(IDENTITY).id;
    const others = new Map(members.filter(({ id }) => id !== own).map((one) => [one.id, one]));
    this.#tasks.forEach(({ address, task }, id) => {
      if (others.get(id)?.peerAddress !== address) {
        task.stop();
        this.#tasks.delete(id);
      }
    });
    others.forEach(({ id, peerAddress }) => {
      if (!this.#tasks.has(id)) {
        const connector = this.#kernel.getService(PEER_CONNECTOR);
        const task = new ViewPeerTask(getPeerParts(this.#kernel), connector, peerAddress);
        this.#tasks.set(id, { address: peerAddress, task });
        void task.run();
      }
    });
  }

  forEach(use: (task: ViewPeerTask) => void): void {
    this.#tasks.forEach(({ task }) => use(task));
  }
}

/** Follows the view, exchanges it with the peers, and joins and leaves the fleet. */
export const viewPlugin: Plugin = {
  name: 'view',
  register(kernel) {
    return mergeUndo(
      kernel.registerService(VIEW_STORE, () => new ViewStore()),
      kernel.registerService(VIEW_HISTORY, () => new ViewHistory(HISTORY_CHANGES)),
      kernel.registerService(
        FRESHNESS,
        () => new FreshnessTracker(kernel.clock, FRESHNESS_BOUND_MS),
      ),
      kernel.registerService(
        VIEW_LOG,
        () => new ViewLog(kernel.getService(TABLE_SERVICE), kernel.clock),
      ),
      kernel.registerService(
        VIEW_FOLLOWER,
        () =>
          new ViewFollower({
            log: kernel.getService(VIEW_LOG),
            store: kernel.getService(VIEW_STORE),
            freshness: kernel.getService(FRESHNESS),
            clock: kernel.clock,
          }),
      ),
      kernel.registerService(
        VIEW_WRITER,
        () =>
          new ViewWriter({
            log: kernel.getService(VIEW_LOG),
            store: kernel.getService(VIEW_STORE),
            follower: kernel.getService(VIEW_FOLLOWER),
            clock: kernel.clock,
            onCommit: (change) => kernel.dispatchEvent(CHANGE_COMMITTED, change),
          }),
      ),
    );
  },
  async start(kernel) {
    const store = kernel.getService(VIEW_STORE);
    const follower = kernel.getService(VIEW_FOLLOWER);
    const metrics = kernel.getService(METRICS);
    const tasks = new PeerTasks(kernel);
    kernel.getService(PEER_ROUTERS).push(buildViewRouter(getPeerParts(kernel)));
    const undo = mergeUndo(
      store.registerListener(({ current, change }) => {
        kernel.getService(VIEW_HISTORY).add(change);
        metrics.viewVersion.set(current.version);
        tasks.update(current.list(EntityKind.Member));
      }),
      kernel.registerListener(CHANGE_COMMITTED, (change) =>
        tasks.forEach((task) => task.push(change)),
      ),
    );
    await joinFleet(kernel);
    void follower.run();
    kernel.lifecycle.add('view tasks', async () => {
      await leaveFleet(kernel);
      follower.stop();
      undo();
      tasks.update([]);
    });
  },
};
