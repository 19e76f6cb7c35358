import type { RunnableQueue } from '@baobabwell/deferred';
import type { Kernel, Plugin } from '@baobabwell/kernel';

import {
  BodyStore,
  CallExecutor,
  DeferredGate,
  DeferredService,
  OwnerTracker,
  STOP_TIMEOUT_MS,
  WorkAcceptor,
  WorkFollower,
  WorkIndex,
  WorkRunner,
  WorkStore,
  WorkSweeper,
} from '@baobabwell/deferred';
import { mergeUndo } from '@baobabwell/kernel';
import { EntityKind, QueueMode } from '@baobabwell/model';
import { QuerySource } from '@baobabwell/operations';
import { findRendezvousOwner } from '@baobabwell/scheduling';
import { createOk } from '@baobabwell/utils';

import {
  CALL_SERVICE,
  DEFERRED_GATE,
  DEFERRED_SERVICE,
  FRESHNESS,
  IDENTITY,
  OBJECT_STORE,
  OPERATOR_SERVICE,
  READINESS,
  TABLE_SERVICE,
  VIEW_STORE,
  WORK_INDEX,
} from './BaobabwellEntryTokens';

const MAX_QUERY_ROWS = 1_000;

function getOwnerKey(kernel: Kernel): string {
  const { id, incarnation } = kernel.getService(IDENTITY);
  return `${id}.${incarnation}`;
}

function isOwnerMember(kernel: Kernel, owner: string): boolean {
  const members = kernel.getService(VIEW_STORE).get().list(EntityKind.Member);
  return members.some(({ id, incarnation }) => `${id}.${incarnation}` === owner);
}

function listDeferredQueues(kernel: Kernel): readonly RunnableQueue[] {
  const queues = kernel.getService(VIEW_STORE).get().list(EntityKind.Queue);
  return queues.filter(({ mode }) => mode === QueueMode.Deferred);
}

/** Returns the deferred queues assigned to this entry, or none while it must not start work. */
function listAssignedQueues(kernel: Kernel): readonly RunnableQueue[] {
  const { id } = kernel.getService(IDENTITY);
  const isReady =
    kernel.getService(FRESHNESS).isCurrent() &&
    isOwnerMember(kernel, getOwnerKey(kernel)) &&
    !kernel.getService(READINESS).isStopping();
  if (!isReady) {
    return [];
  }
  const members = kernel.getService(VIEW_STORE).get().list(EntityKind.Member);
  const ids = members.map((member) => member.id);
  return listDeferredQueues(kernel).filter((queue) => findRendezvousOwner(queue.id, ids) === id);
}

function buildService(kernel: Kernel): DeferredService {
  const { clock } = kernel;
  const tables = kernel.getService(TABLE_SERVICE);
  const index = kernel.getService(WORK_INDEX);
  return new DeferredService({
    clock,
    acceptor: new WorkAcceptor({ clock, tables, index }),
    index,
    store: new WorkStore(tables, index),
    bodies: new BodyStore(kernel.getService(OBJECT_STORE)),
  });
}

function buildGate(kernel: Kernel): DeferredGate {
  return new DeferredGate({
    clock: kernel.clock,
    service: kernel.getService(DEFERRED_SERVICE),
    getView: () => kernel.getService(VIEW_STORE).get(),
    isCurrent: () => kernel.getService(FRESHNESS).isCurrent(),
  });
}

function buildRunner(kernel: Kernel): WorkRunner {
  const { clock } = kernel;
  const index = kernel.getService(WORK_INDEX);
  return new WorkRunner({
    clock,
    index,
    store: new WorkStore(kernel.getService(TABLE_SERVICE), index),
    bodies: new BodyStore(kernel.getService(OBJECT_STORE)),
    owners: new OwnerTracker(clock, (owner) => isOwnerMember(kernel, owner)),
    executor: new CallExecutor(kernel.getService(CALL_SERVICE), clock),
    getOwner: () => getOwnerKey(kernel),
    listQueues: () => listAssignedQueues(kernel),
  });
}

function buildSweeper(kernel: Kernel): WorkSweeper {
  const tables = kernel.getService(TABLE_SERVICE);
  const { id } = kernel.getService(IDENTITY);
  return new WorkSweeper({
    clock: kernel.clock,
    tables,
    store: new WorkStore(tables, kernel.getService(WORK_INDEX)),
    bodies: new BodyStore(kernel.getService(OBJECT_STORE)),
    isResponsible: () => kernel.getService(VIEW_STORE).get().list(EntityKind.Member)[0]?.id === id,
  });
}

/** Query source of deferred work that has not ended, for operators. */
class WorkSource extends QuerySource {
  override readonly name = 'work';

  override readonly columns = [
    'name',
    'queue',
    'team',
    'state',
    'owner',
    'attempts',
    'acceptedAt',
    'deadlineAt',
  ];

  readonly #index: WorkIndex;

  constructor(index: WorkIndex) {
    super();
    this.#index = index;
  }

  override async listRows(): ReturnType<QuerySource['listRows']> {
    const rows = this.#index
      .list()
      .slice(0, MAX_QUERY_ROWS)
      .map(({ work }) => ({
        name: work.id,
        queue: work.queue,
        team: work.team,
        state: work.state,
        owner: work.owner,
        attempts: work.attempts,
        acceptedAt: new Date(work.acceptedAt).toISOString(),
        deadlineAt: new Date(work.deadlineAt).toISOString(),
      }));
    return createOk(rows);
  }
}

/** Accepts and stores deferred work, and runs it when due in the queues assigned to this entry. */
export const deferredPlugin: Plugin = {
  name: 'deferred',
  register: (kernel) =>
    mergeUndo(
      kernel.registerService(WORK_INDEX, () => new WorkIndex(kernel.getService(TABLE_SERVICE))),
      kernel.registerService(DEFERRED_SERVICE, buildService),
      kernel.registerService(DEFERRED_GATE, buildGate),
    ),
  async start(kernel) {
    const index = kernel.getService(WORK_INDEX);
    const undo = kernel.getService(OPERATOR_SERVICE).registerSource(new WorkSource(index));
    const follower = new WorkFollower(
      kernel.clock,
      index,
      () => listDeferredQueues(kernel).length > 0,
    );
    const runner = buildRunner(kernel);
    const sweeper = buildSweeper(kernel);
    void follower.run();
    void sweeper.run();
    const running = runner.run();
    kernel.lifecycle.add(
      'deferred work',
      async () => {
        await runner.stop();
        await running;
        sweeper.stop();
        follower.stop();
        undo();
      },
      STOP_TIMEOUT_MS,
    );
  },
};
