import type { MaintenanceDecision, MaintenanceRefusal } from './BaobabwellMaintenance';
import type { DutyContext } from './BaobabwellMaintenanceDuty';
import type { FleetView, Host, Mutation, Wave } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { EntityKind, HostState, MaintenanceGoal, WavePolicyName } from '@baobabwell/model';
import { createError } from '@baobabwell/utils';

import { decideTakeOut } from './BaobabwellMaintenanceHosts';

/** What a policy takes out next. */
export type WaveStep = {
  readonly hosts: readonly string[];
  readonly mutations: readonly Mutation[];
  /** Why the hosts that still wait cannot go now; one line for each pool. */
  readonly obstacles: readonly string[];
};

/** Chooses the hosts that a wave takes out next. */
export abstract class WavePolicy {
  abstract readonly name: WavePolicyName;

  /** Most hosts that may be out at once, besides what budgets allow. */
  protected abstract readonly maximumAtOnce: number;

  /** Chooses hosts for as long as the budgets allow one more. */
  choose(wave: Wave, context: DutyContext): WaveStep {
    const mutations: Mutation[] = [];
    const hosts: string[] = [];
    const obstacles = new Map<string, string>();
    let { view } = context;
    for (const id of this.#listCandidates(wave, context.view)) {
      if (wave.working.length + hosts.length >= this.maximumAtOnce) {
        break;
      }
      const decision = this.#decide(wave, id, view, context);
      if (decision.ok) {
        view = view.apply(buildStepChange(view, decision.value.mutations));
        mutations.push(...decision.value.mutations);
        hosts.push(id);
      } else {
        const pool = context.view.get(EntityKind.Host, id)?.pool ?? '';
        obstacles.set(pool, decision.error.message);
      }
    }
    return { hosts, mutations, obstacles: [...obstacles.values()] };
  }

  /** A host that is out for another reason is left alone: someone wants it so. */
  #decide(
    wave: Wave,
    id: string,
    view: FleetView,
    { view: newest, wallTime, getEvidence }: DutyContext,
  ): Result<MaintenanceDecision, MaintenanceRefusal> {
    const host = view.get(EntityKind.Host, id);
    if (host !== null && host.state !== HostState.Serving) {
      const message = `host ${id} is ${host.state}: ${host.stateReason}`;
      return createError({ code: 'conflict', message });
    }
    const goal = MaintenanceGoal.Reboot;
    const reason = `wave ${wave.id}`;
    const version = newest.version + 1;
    const request = { host: id, goal, reason, wallTime, wave: wave.id, version };
    return decideTakeOut(view, request, getEvidence);
  }

  /** Hosts of racks that are being worked on come first, so that a rack is done in one go. */
  #listCandidates(wave: Wave, view: FleetView): readonly string[] {
    const find = (id: string): Host | null => view.get(EntityKind.Host, id);
    const open = new Set(wave.working.map((id) => find(id)?.rack));
    const isOpen = (id: string): number => (open.has(find(id)?.rack) ? 0 : 1);
    return wave.waiting.toSorted((a, b) => isOpen(a) - isOpen(b));
  }
}

function buildStepChange(
  view: FleetView,
  mutations: readonly Mutation[],
): Parameters<FleetView['apply']>[0] {
  return {
    version: view.version + 1,
    transactionId: '',
    author: '',
    command: '',
    reason: '',
    at: 0,
    mutations,
  };
}

/** Takes out as many hosts at once as the budgets of their pools allow. */
export class BudgetWavePolicy extends WavePolicy {
  override readonly name = WavePolicyName.Budget;

  protected override readonly maximumAtOnce = Number.POSITIVE_INFINITY;
}

/** Takes out one host of the whole fleet at a time. */
export class OneByOneWavePolicy extends WavePolicy {
  override readonly name = WavePolicyName.OneByOne;

  protected override readonly maximumAtOnce = 1;
}
