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

/** Returns the name of the object that stores the leaving half of a split. */
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

/** Advances running splits one step at a time. */
export class SplitControlLoop extends MaintenanceControlLoop {
  override readonly name = 'split';

  readonly #objects: ObjectStore;

  /** Version of the view at which the leaving half was stored, by split. */
  readonly #storedVersions = new Map<string, number>();

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

  /** Stores the leaving halves; a split becomes ready for its removal step only afterwards. */
  override async runSideEffects(view: FleetView): Promise<void> {
    const due = view
      .list(EntityKind.Split)
      .filter(({ state, step }) => state === SplitState.Running && step === SplitStep.KeysWithdrawn)
      .filter(({ id }) => !this.#storedVersions.has(id));
    for (const split of due) {
      const body = Buffer.from(JSON.stringify({ mutations: buildExport(view, split) }));
      const stored = await this.#objects.put(getExportName(split.id), body);
      if (stored.ok) {
        this.#storedVersions.set(split.id, view.version);
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
        this.#storedVersions.delete(split.id);
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
        return this.#storedVersions.has(split.id)
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
