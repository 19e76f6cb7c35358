import type {
  GetHostEvidence,
  MaintenanceDecision,
  MaintenanceRefusal,
} from '@baobabwell/maintenance';
import type { FleetView, Split } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createPut, EntityKind, SplitState, SplitStep } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { rehearseSplit } from './BaobabwellSplitRehearsal';
import { buildRemovalStep, buildUndo } from './BaobabwellSplitSteps';

/** Plan of a split: what leaves the fleet, and when. */
export type SplitPlan = {
  readonly id: string;
  readonly targets: readonly string[];
  /** Hosts that leave in addition to those of the pools. */
  readonly hosts: readonly string[];
  /** Pools whose hosts all leave. */
  readonly pools: readonly string[];
  readonly teams: readonly string[];
  /** Earliest start in wall-clock milliseconds, or `null`. */
  readonly notBefore: number | null;
  readonly reason: string;
};

type DecisionResult = Result<MaintenanceDecision, MaintenanceRefusal>;

function createConflict({ id, state, stateReason }: Split): DecisionResult {
  return createError({ code: 'conflict', message: `split ${id} is ${state}: ${stateReason}` });
}

function buildDecision(split: Split, note: string): DecisionResult {
  return createOk({ mutations: [createPut(EntityKind.Split, split)], notes: [note] });
}

function withSplit(
  view: FleetView,
  id: string,
  decide: (split: Split) => DecisionResult,
): DecisionResult {
  const split = view.get(EntityKind.Split, id);
  return split === null
    ? createError({ code: 'not-found', message: `there is no split "${id}"` })
    : decide(split);
}

/** Decides to plan a split, or to change the plan of a split that has not started. */
export function decidePlan(view: FleetView, plan: SplitPlan): DecisionResult {
  const existing = view.get(EntityKind.Split, plan.id);
  if (existing !== null && existing.state !== SplitState.Planned) {
    return createConflict(existing);
  }
  const hosts = [
    ...plan.hosts,
    ...plan.pools.flatMap((pool) => view.listHosts(pool).map(({ id }) => id)),
  ];
  const split: Split = {
    id: plan.id,
    targets: plan.targets,
    hosts: [...new Set(hosts)].toSorted(),
    teams: plan.teams,
    notBefore: plan.notBefore,
    state: SplitState.Planned,
    stateReason: plan.reason,
    step: SplitStep.None,
    saved: [],
  };
  const note = `split ${plan.id}: ${plan.targets.length} targets, ${split.hosts.length} hosts and ${plan.teams.length} teams leave`;
  return buildDecision(split, note);
}

/** Decides to start a planned split if rehearsal finds no blocker, or to resume a paused one. */
export function decideStart(
  view: FleetView,
  id: string,
  reason: string,
  getEvidence: GetHostEvidence,
): DecisionResult {
  return withSplit(view, id, (split) => {
    if (split.state !== SplitState.Planned && split.state !== SplitState.Paused) {
      return createConflict(split);
    }
    const blockers =
      split.state === SplitState.Planned
        ? rehearseSplit(view, split, getEvidence).filter(({ isBlocking }) => isBlocking)
        : [];
    if (blockers.length > 0) {
      const messages = blockers.map(
        ({ half, kind, name, text }) => `${half} ${kind} ${name}: ${text}`,
      );
      return createError({ code: 'not-allowed', message: messages.join('; ') });
    }
    const started = { ...split, state: SplitState.Running, stateReason: reason };
    return buildDecision(started, `split ${id} running`);
  });
}

/** Decides to pause a split after its current step. */
export function decidePause(view: FleetView, id: string, reason: string): DecisionResult {
  return withSplit(view, id, (split) =>
    split.state === SplitState.Running
      ? buildDecision(
          { ...split, state: SplitState.Paused, stateReason: reason },
          `split ${id} paused after ${split.step}`,
        )
      : createConflict(split),
  );
}

/** Decides to undo all steps of an unfinished split and to return it to the planned state. */
export function decideUndo(
  view: FleetView,
  id: string,
  reason: string,
  wallTime: number,
): DecisionResult {
  return withSplit(view, id, (split) => {
    if (split.state === SplitState.Finished || split.state === SplitState.Planned) {
      return createConflict(split);
    }
    const planned: Split = {
      ...split,
      state: SplitState.Planned,
      stateReason: reason,
      step: SplitStep.None,
      saved: [],
    };
    const mutations = [createPut(EntityKind.Split, planned), ...buildUndo(view, split, wallTime)];
    return createOk({ mutations, notes: [`split ${id} undone; it is planned again`] });
  });
}

/** Decides to finish a split whose other steps are completed; this cannot be undone. */
export function decideFinish(view: FleetView, id: string, reason: string): DecisionResult {
  return withSplit(view, id, (split) => {
    if (split.state !== SplitState.Ready) {
      return createConflict(split);
    }
    const finished: Split = {
      ...split,
      state: SplitState.Finished,
      stateReason: reason,
      step: SplitStep.Removed,
      saved: [],
    };
    const mutations = [createPut(EntityKind.Split, finished), ...buildRemovalStep(view, split)];
    return createOk({ mutations, notes: [`split ${id} finished; the leaving half is removed`] });
  });
}
