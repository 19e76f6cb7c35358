import type { Kernel, Plugin, Undo } from '@baobabwell/kernel';

import { mergeUndo } from '@baobabwell/kernel';
import { EntryMetrics } from '@baobabwell/metrics';
import { EntityKind } from '@baobabwell/model';

import { CallRecorder } from './BaobabwellEntryCallRecorder';
import {
  CALL_RECORDER,
  FRESHNESS,
  LOGGER,
  METRICS,
  PERMIT_POOL,
  SETTINGS,
  SLOT_SHARES,
  VIEW_QUORUM,
  VIEW_STORE,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';

const MS_PER_SECOND = 1_000;

function buildCallRecorder(kernel: Kernel): CallRecorder {
  const { queues } = kernel.getService(SETTINGS).fleet;
  const objectives = new Map(queues.map(({ id, objective }) => [id, objective]));
  return new CallRecorder({
    logger: kernel.getService(LOGGER),
    metrics: kernel.getService(METRICS),
    findObjective: (queue) => objectives.get(queue) ?? null,
  });
}

function updatePoolGauges(kernel: Kernel, metrics: EntryMetrics): void {
  const { waitingCalls, suspectWorkers: suspects, leasedSlots: leased, usedSlots: used } = metrics;
  [waitingCalls, suspects, leased, used].forEach((gauge) => gauge.reset());
  kernel
    .getService(WORKER_DIRECTORY)
    .listPoolUse()
    .forEach(({ pool, waiting, leasedSlots, usedSlots, suspectWorkers }) => {
      waitingCalls.set({ pool }, waiting);
      suspects.set({ pool }, suspectWorkers);
      leased.set({ pool }, leasedSlots);
      used.set({ pool }, usedSlots);
    });
}

/** Updates the gauges of the teams that hold permits or have calls at this entry. */
function updateTeamGauges(kernel: Kernel, metrics: EntryMetrics): void {
  const { heldPermits, usedPermits, callsWaitingForPermit, slotTargets } = metrics;
  [heldPermits, usedPermits, callsWaitingForPermit, slotTargets].forEach((gauge) => gauge.reset());
  kernel
    .getService(PERMIT_POOL)
    .listUsage()
    .forEach(({ team, held, inUse, waiting }) => {
      heldPermits.set({ team }, held);
      usedPermits.set({ team }, inUse);
      callsWaitingForPermit.set({ team }, waiting);
    });
  const shares = kernel.getService(SLOT_SHARES);
  kernel
    .getService(WORKER_DIRECTORY)
    .listActivity()
    .filter(({ pool }) => shares.isContended(pool))
    .forEach(({ pool, teams }) =>
      teams.forEach(({ team }) => slotTargets.set({ pool, team }, shares.getTarget(pool, team))),
    );
}

function updateViewGauges(kernel: Kernel, metrics: EntryMetrics): void {
  const view = kernel.getService(VIEW_STORE).get();
  metrics.members.set(view.countEntities(EntityKind.Member));
  metrics.fences.set(view.countEntities(EntityKind.Fence));
  const quorum = kernel.getService(VIEW_QUORUM);
  metrics.unreachableMembers.set(quorum.listUnreachable().length);
  metrics.viewVersion.set(view.version);
  metrics.viewAcceptedVersion.set(quorum.getAcceptedVersion());
  metrics.viewInForceVersion.set(quorum.getInForceVersion());
  metrics.viewAgeSeconds.set(kernel.getService(FRESHNESS).getAge() / MS_PER_SECOND);
}

function registerCollectors(kernel: Kernel): Undo {
  const metrics = kernel.getService(METRICS);
  return mergeUndo(
    metrics.registerCollector(() => updatePoolGauges(kernel, metrics)),
    metrics.registerCollector(() => updateTeamGauges(kernel, metrics)),
    metrics.registerCollector(() => updateViewGauges(kernel, metrics)),
  );
}

/**
 * Provides the metrics and the call recorder of the entry, and updates the gauges before each
 * scrape.
 */
export const metricsPlugin: Plugin = {
  name: 'metrics',
  register(kernel) {
    return mergeUndo(
      kernel.registerService(METRICS, () => new EntryMetrics()),
      kernel.registerService(CALL_RECORDER, buildCallRecorder),
    );
  },
  async start(kernel) {
    kernel.lifecycle.add('metrics collectors', registerCollectors(kernel));
  },
};
