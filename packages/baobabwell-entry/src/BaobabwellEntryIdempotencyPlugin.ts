import type { Kernel, Plugin } from '@baobabwell/kernel';

import {
  AnswerStore,
  ClaimSweeper,
  GroupCommit,
  IdempotencyRegistry,
  TRANSACTION_INTERVAL_PER_MEMBER_MS,
} from '@baobabwell/idempotency';
import { mergeUndo } from '@baobabwell/kernel';
import { EntityKind } from '@baobabwell/model';
import { Random } from '@baobabwell/utils';

import { buildSeed } from './BaobabwellEntrySeed';
import {
  CLAIM_COMMITS,
  IDEMPOTENCY,
  IDENTITY,
  METRICS,
  OBJECT_STORE,
  TABLE_SERVICE,
  VIEW_STORE,
} from './BaobabwellEntryTokens';

const FLUSH_TIMEOUT_MS = 5_000;
const FLUSH_CHECK_INTERVAL_MS = 20;

function getOwnerKey(kernel: Kernel): string {
  const { id, incarnation } = kernel.getService(IDENTITY);
  return `${id}.${incarnation}`;
}

function buildCommits(kernel: Kernel): GroupCommit {
  const view = kernel.getService(VIEW_STORE);
  return new GroupCommit({
    clock: kernel.clock,
    tables: kernel.getService(TABLE_SERVICE),
    getTransactionIntervalMs: () =>
      view.get().countEntities(EntityKind.Member) * TRANSACTION_INTERVAL_PER_MEMBER_MS,
  });
}

function buildRegistry(kernel: Kernel): IdempotencyRegistry {
  const view = kernel.getService(VIEW_STORE);
  const owner = getOwnerKey(kernel);
  return new IdempotencyRegistry({
    clock: kernel.clock,
    random: new Random(buildSeed(`claims ${owner}`)),
    tables: kernel.getService(TABLE_SERVICE),
    answers: new AnswerStore(kernel.getService(OBJECT_STORE)),
    commits: kernel.getService(CLAIM_COMMITS),
    // Read on each use: after a fence, claims must name the new incarnation of this process.
    get owner() {
      return getOwnerKey(kernel);
    },
    isMember: (other) =>
      view
        .get()
        .list(EntityKind.Member)
        .some(({ id, incarnation }) => `${id}.${incarnation}` === other),
  });
}

function buildSweeper(kernel: Kernel): ClaimSweeper {
  const view = kernel.getService(VIEW_STORE);
  const { id } = kernel.getService(IDENTITY);
  return new ClaimSweeper({
    clock: kernel.clock,
    tables: kernel.getService(TABLE_SERVICE),
    answers: new AnswerStore(kernel.getService(OBJECT_STORE)),
    isResponsible: () => view.get().list(EntityKind.Member)[0]?.id === id,
  });
}

/** Waits until all outcomes are stored, at most {@link FLUSH_TIMEOUT_MS}. */
async function flushOutcomes(kernel: Kernel): Promise<void> {
  const { clock } = kernel;
  const registry = kernel.getService(IDEMPOTENCY);
  const endsAt = clock.getNow() + FLUSH_TIMEOUT_MS;
  while (registry.getUnstoredCount() > 0 && clock.getNow() < endsAt) {
    await clock.wait(FLUSH_CHECK_INTERVAL_MS);
  }
}

/** Stores the claims and outcomes of calls with an idempotency key in the table service. */
export const idempotencyPlugin: Plugin = {
  name: 'idempotency',
  register: (kernel) =>
    mergeUndo(
      kernel.registerService(CLAIM_COMMITS, buildCommits),
      kernel.registerService(IDEMPOTENCY, buildRegistry),
    ),
  async start(kernel) {
    const commits = kernel.getService(CLAIM_COMMITS);
    const sweeper = buildSweeper(kernel);
    const metrics = kernel.getService(METRICS);
    const registry = kernel.getService(IDEMPOTENCY);
    const undo = metrics.registerCollector(() =>
      metrics.unstoredOutcomes.set(registry.getUnstoredCount()),
    );
    const tasks = Promise.all([commits.run(), sweeper.run()]);
    kernel.lifecycle.add(
      'claims',
      async () => {
        await flushOutcomes(kernel);
        sweeper.stop();
        commits.stop();
        await tasks;
        undo();
      },
      2 * FLUSH_TIMEOUT_MS,
    );
  },
};
