import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { Member, ViewChange } from '@baobabwell/model';
import type { LogPosition, ViewPeerDependencies } from '@baobabwell/view';

import { mergeUndo } from '@baobabwell/kernel';
import { isMember } from '@baobabwell/membership';
import { EntityKind } from '@baobabwell/model';
import {
  buildViewRouter,
  FRESHNESS_BOUND_MS,
  FreshnessTracker,
  HeartbeatRows,
  MAX_HISTORY_CHANGES,
  SNAPSHOT_INTERVAL_CHANGES,
  ViewFollower,
  ViewHistory,
  ViewLog,
  ViewPeerTask,
  ViewQuorum,
  ViewSnapshots,
  ViewStore,
  ViewWriter,
} from '@baobabwell/view';

import {
  CHANGE_COMMITTED,
  FRESHNESS,
  HEARTBEAT_ROWS,
  IDENTITY,
  LOGGER,
  MEMBERSHIP_MONITOR,
  METRICS,
  OBJECT_STORE,
  PEER_CONNECTOR,
  PEER_ROUTERS,
  TABLE_SERVICE,
  VIEW_FOLLOWER,
  VIEW_HISTORY,
  VIEW_LOG,
  VIEW_QUORUM,
  VIEW_SNAPSHOTS,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

function buildPeerDependencies(kernel: Kernel): ViewPeerDependencies {
  return {
    store: kernel.getService(VIEW_STORE),
    history: kernel.getService(VIEW_HISTORY),
    freshness: kernel.getService(FRESHNESS),
    quorum: kernel.getService(VIEW_QUORUM),
    follower: kernel.getService(VIEW_FOLLOWER),
    clock: kernel.clock,
    self: kernel.getService(IDENTITY),
    onReport: (from, unreachable) =>
      kernel.getService(MEMBERSHIP_MONITOR).recordReport(from, unreachable),
  };
}

/** Runs one task for each other member, and starts and stops tasks as the membership changes. */
class PeerTaskSet {
  readonly #kernel: Kernel;

  readonly #tasks = new Map<string, { readonly address: string; readonly task: ViewPeerTask }>();

  constructor(kernel: Kernel) {
    this.#kernel = kernel;
  }

  update(members: readonly Member[]): void {
    const own = this.#kernel.getService(IDENTITY).id;
    const others = new Map(
      members.filter(({ id }) => id !== own).map((member) => [member.id, member]),
    );
    this.#tasks.forEach(({ address, task }, id) => {
      if (others.get(id)?.peerAddress !== address) {
        task.stop();
        this.#tasks.delete(id);
      }
    });
    others.forEach(({ id, peerAddress }) => {
      if (!this.#tasks.has(id)) {
        const connector = this.#kernel.getService(PEER_CONNECTOR);
        const task = new ViewPeerTask(buildPeerDependencies(this.#kernel), connector, peerAddress);
        this.#tasks.set(id, { address: peerAddress, task });
        void task.run();
      }
    });
  }

  forEach(callback: (task: ViewPeerTask) => void): void {
    this.#tasks.forEach(({ task }) => callback(task));
  }
}

function buildFreshness(kernel: Kernel): FreshnessTracker {
  const store = kernel.getService(VIEW_STORE);
  const identity = kernel.getService(IDENTITY);
  return new FreshnessTracker(kernel.clock, FRESHNESS_BOUND_MS, () =>
    isMember(store.get(), identity),
  );
}

function buildFollower(kernel: Kernel): ViewFollower {
  const logger = kernel.getService(LOGGER);
  return new ViewFollower({
    log: kernel.getService(VIEW_LOG),
    store: kernel.getService(VIEW_STORE),
    history: kernel.getService(VIEW_HISTORY),
    snapshots: kernel.getService(VIEW_SNAPSHOTS),
    freshness: kernel.getService(FRESHNESS),
    clock: kernel.clock,
    onFault: ({ kind, version }) => logger.recordError(`view-log-${kind}`, { version }),
  });
}

/**
 * Stores a snapshot every {@link SNAPSHOT_INTERVAL_CHANGES} changes. The entry that committed the
 * last of these changes writes it.
 */
function writeSnapshot(kernel: Kernel, position: LogPosition): void {
  const view = kernel.getService(VIEW_STORE).get();
  if (view.version === position.viewVersion && view.version % SNAPSHOT_INTERVAL_CHANGES === 0) {
    void kernel.getService(VIEW_SNAPSHOTS).write(view, position);
  }
}

function buildWriter(kernel: Kernel): ViewWriter {
  return new ViewWriter({
    log: kernel.getService(VIEW_LOG),
    store: kernel.getService(VIEW_STORE),
    follower: kernel.getService(VIEW_FOLLOWER),
    quorum: kernel.getService(VIEW_QUORUM),
    heartbeats: kernel.getService(HEARTBEAT_ROWS),
    clock: kernel.clock,
    onCommit: (change, position) => {
      kernel.dispatchEvent(CHANGE_COMMITTED, change);
      writeSnapshot(kernel, position);
    },
  });
}

function buildHeartbeatRows(kernel: Kernel): HeartbeatRows {
  return new HeartbeatRows({
    tables: kernel.getService(TABLE_SERVICE),
    store: kernel.getService(VIEW_STORE),
    clock: kernel.clock,
    self: kernel.getService(IDENTITY),
  });
}

function buildQuorum(kernel: Kernel): ViewQuorum {
  return new ViewQuorum({
    store: kernel.getService(VIEW_STORE),
    freshness: kernel.getService(FRESHNESS),
    clock: kernel.clock,
    self: kernel.getService(IDENTITY),
  });
}

function updateHistory(history: ViewHistory, change: ViewChange, isSnapshot: boolean): void {
  if (isSnapshot) {
    history.clear();
  } else {
    history.add(change);
  }
}

/** Provides the view, follows its log, and exchanges view changes with the peers. */
export const viewPlugin: Plugin = {
  name: 'view',
  register(kernel) {
    return mergeUndo(
      kernel.registerService(VIEW_STORE, () => new ViewStore()),
      kernel.registerService(VIEW_HISTORY, () => new ViewHistory(MAX_HISTORY_CHANGES)),
      kernel.registerService(FRESHNESS, buildFreshness),
      kernel.registerService(
        VIEW_LOG,
        () => new ViewLog(kernel.getService(TABLE_SERVICE), kernel.clock),
      ),
      kernel.registerService(
        VIEW_SNAPSHOTS,
        () => new ViewSnapshots(kernel.getService(TABLE_SERVICE), kernel.getService(OBJECT_STORE)),
      ),
      kernel.registerService(VIEW_FOLLOWER, buildFollower),
      kernel.registerService(VIEW_QUORUM, buildQuorum),
      kernel.registerService(HEARTBEAT_ROWS, buildHeartbeatRows),
      kernel.registerService(VIEW_WRITER, buildWriter),
    );
  },
  async start(kernel) {
    const store = kernel.getService(VIEW_STORE);
    const follower = kernel.getService(VIEW_FOLLOWER);
    const heartbeats = kernel.getService(HEARTBEAT_ROWS);
    const metrics = kernel.getService(METRICS);
    const tasks = new PeerTaskSet(kernel);
    kernel.getService(PEER_ROUTERS).push(buildViewRouter(buildPeerDependencies(kernel)));
    const undo = mergeUndo(
      store.registerListener(({ current, change, isSnapshot }) => {
        updateHistory(kernel.getService(VIEW_HISTORY), change, isSnapshot);
        metrics.viewVersion.set(current.version);
        tasks.update(current.list(EntityKind.Member));
      }),
      kernel.registerListener(CHANGE_COMMITTED, ({ version }) =>
        tasks.forEach((task) => task.push(version)),
      ),
    );
    void follower.run();
    void heartbeats.run();
    kernel.lifecycle.add('view tasks', () => {
      follower.stop();
      heartbeats.stop();
      undo();
      tasks.update([]);
    });
  },
};
