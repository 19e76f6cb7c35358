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

/** What leaves, and when. */
export type SplitPlan = {
  readonly id: string;
  readonly targets: readonly string[];
  /** Hosts that leave beside those of the pools. */
  readonly hosts: readonly string[];
  /** Pools all of whose hosts leave. */
  readonly pools: readonly string[];
  readonly teams: readonly string[];
  /** Wall-clock milliseconds, or `null`. */
  readonly notBefore: number | null;
  readonly reason: string;
};

type Decided = Result<MaintenanceDecision, MaintenanceRefusal>;

function createConflict({ id, state, stateReason }: Split): Decided {
  return createError({ code: 'conflict', message: `split ${id} is ${state}: ${stateReason}` });
}

function buildDecision(split: Split, note: string): Decided {
  return createOk({ mutations: [createPut(EntityKind.Split, split)], notes: [note] });
}

function withSplit(view: FleetView, id: string, decide: (split: Split) => Decided): Decided {
  const split = view.get(EntityKind.Split, id);
  return split === null
    ? createError({ code: 'not-found', message: `there is no split "${id}"` })
    : decide(split);
}

/** Decides to plan a split, or to change the plan of one that has not started. */
export function decidePlan(view: FleetView, plan: SplitPlan): Decided {
  const known = view.get(EntityKind.Split, plan.id);
  if (known !== null && known.state !== SplitState.Planned) {
    return createConflict(known);
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

/** Decides to start a split, or to go on with a paused one; refuses while anything is in its way. */
export function decideStart(
  view: FleetView,
  id: string,
  reason: string,
  getEvidence: GetHostEvidence,
): Decided {
  return withSplit(view, id, (split) => {
    if (split.state !== SplitState.Planned && split.state !== SplitState.Paused) {
      return createConflict(split);
    }
    const obstacles =
      split.state === SplitState.Planned
        ? rehearseSplit(view, split, getEvidence).filter(({ isBlocking }) => isBlocking)
        : [];
    if (obstacles.length > 0) {
      const list = obstacles.map(
        ({ half, kind, name, text }) => `${half} ${kind} ${name}: ${text}`,
      );
      return createError({ code: 'not-allowed', message: list.join('; ') });
    }
    const started = { ...split, state: SplitState.Running, stateReason: reason };
    return buildDecision(started, `split ${id} running`);
  });
}

/** Decides to pause a split after the step that it is at. */
export function decidePause(view: FleetView, id: string, reason: string): Decided {
  return withSplit(view, id, (split) =>
    split.state === SplitState.Running
      ? buildDecision(
          { ...split, state: SplitState.Paused, stateReason: reason },
          `split ${id} paused after ${split.step}`,
        )
      : createConflict(split),
  );
}

/** Decides to undo all steps of a split that is not finished. */
export function decideUndo(view: FleetView, id: string, reason: string, wallTime: number): Decided {
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
    return createOk({ mutations, notes: [`split ${id} undone; it is planned as before`] });
  });
}

/** Decides to finish a split whose other steps are done; this cannot be undone. */
export function decideFinish(view: FleetView, id: string, reason: string): Decided {
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
    return createOk({ mutations, notes: [`split ${id} finished; the leaving half is gone`] });
  });
}
