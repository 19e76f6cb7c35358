import type { ControlLoopContext, ControlLoopDecision } from '@baobabwell/maintenance';
import type { FleetView, Mutation, Split } from '@baobabwell/model';
import type { ObjectStore } from '@baobabwell/platform';

import { MaintenanceControlLoop } from '@baobabwell/maintenance';
import { createPut, EntityKind, SplitState, SplitStep } from '@baobabwell/model';

import {
  buildDrainStep,
  buildExport,
  buildKeysStep,
  buildTargetsStep,
  isDrained,
} from './BaobabwellSplitSteps';

/** Gets the name of the object that holds the leaving half of a split. */
export function getExportName(split: string): string {
  return `split-${split}.json`;
}

function buildDecision(
  split: Split,
  change: Partial<Split>,
  mutations: readonly Mutation[],
): ControlLoopDecision {
  const next = { ...split, ...change };
  return {
    command: `split ${split.id}: ${next.step}`,
    reason: next.stateReason,
    mutations: [createPut(EntityKind.Split, next), ...mutations],
  };
}

/** Takes splits forward, one step after the other. */
export class SplitDuty extends MaintenanceControlLoop {
  override readonly name = 'split';

  readonly #objects: ObjectStore;

  /** Versions of splits whose leaving half is stored. */
  readonly #stored = new Map<string, number>();

  constructor(objects: ObjectStore) {
    super();
    this.#objects = objects;
  }

  override decide(context: ControlLoopContext): ControlLoopDecision | null {
    const running = context.view
      .list(EntityKind.Split)
      .filter(({ state }) => state === SplitState.Running);
    for (const split of running) {
      const decision = this.#decideStep(split, context);
      if (decision !== null) {
        return decision;
      }
    }
    return null;
  }

  /** Stores the leaving half before anything of it can be removed. */
  override async runSideEffects(view: FleetView): Promise<void> {
    const due = view
      .list(EntityKind.Split)
      .filter(({ state, step }) => state === SplitState.Running && step === SplitStep.KeysWithdrawn)
      .filter(({ id }) => !this.#stored.has(id));
    for (const split of due) {
      const body = Buffer.from(JSON.stringify({ mutations: buildExport(view, split) }));
      const stored = await this.#objects.put(getExportName(split.id), body);
      if (stored.ok) {
        this.#stored.set(split.id, view.version);
      }
    }
  }

  #decideStep(split: Split, context: ControlLoopContext): ControlLoopDecision | null {
    const { view, wallTime } = context;
    switch (split.step) {
      case SplitStep.None: {
        if (split.notBefore !== null && wallTime < split.notBefore) {
          return null;
        }
        this.#stored.delete(split.id);
        const { mutations, saved } = buildTargetsStep(view, split);
        const change = { step: SplitStep.TargetsLeaving, saved: [...saved, ...split.saved] };
        return buildDecision(split, change, mutations);
      }
      case SplitStep.TargetsLeaving: {
        if (isDrained(view, split)) {
          return buildDecision(split, { step: SplitStep.HostsDrained }, []);
        }
        const mutations = buildDrainStep(split, context);
        return mutations.length === 0 ? null : buildDecision(split, {}, mutations);
      }
      case SplitStep.HostsDrained: {
        const { mutations, saved } = buildKeysStep(view, split);
        const change = { step: SplitStep.KeysWithdrawn, saved: [...saved, ...split.saved] };
        return buildDecision(split, change, mutations);
      }
      case SplitStep.KeysWithdrawn:
        return this.#stored.has(split.id)
          ? buildDecision(
              split,
              {
                state: SplitState.Ready,
                stateReason: `the leaving half is stored as ${getExportName(split.id)}`,
              },
              [],
            )
          : null;
      case SplitStep.Removed:
        return null;
    }
  }
}
