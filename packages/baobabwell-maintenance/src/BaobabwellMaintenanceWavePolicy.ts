import type { MaintenanceDecision, MaintenanceRefusal } from './BaobabwellMaintenance';
import type { ControlLoopContext } from './BaobabwellMaintenanceControlLoop';
import type { FleetView, Host, Mutation, Wave } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { EntityKind, HostState, MaintenanceGoal, WavePolicyName } from '@baobabwell/model';
import { createError } from '@baobabwell/utils';

import { decideTakeOut } from './BaobabwellMaintenanceHosts';

/** The next hosts that a wave takes out of service. */
export type WaveStep = {
  readonly hosts: readonly string[];
  readonly mutations: readonly Mutation[];
  /** Why the waiting hosts cannot be taken out now; one message for each pool. */
  readonly refusals: readonly string[];
};

/** Chooses the hosts that a wave takes out of service next. */
export abstract class WavePolicy {
  abstract readonly name: WavePolicyName;

  /** Maximum number of hosts that the wave takes out at once; the budgets apply in addition. */
  protected abstract readonly maxUnavailableHosts: number;

  /** Chooses hosts until the maximum is reached or the budgets allow no further host. */
  chooseHosts(wave: Wave, context: ControlLoopContext): WaveStep {
    const mutations: Mutation[] = [];
    const hosts: string[] = [];
    const refusalsByPool = new Map<string, string>();
    let { view } = context;
    for (const id of this.#listCandidates(wave, context.view)) {
      if (wave.working.length + hosts.length >= this.maxUnavailableHosts) {
        break;
      }
      const decision = this.#decideHost(wave, id, view, context);
      if (decision.ok) {
        view = view.apply(buildCandidateChange(view, decision.value.mutations));
        mutations.push(...decision.value.mutations);
        hosts.push(id);
      } else {
        const pool = context.view.get(EntityKind.Host, id)?.pool ?? '';
        refusalsByPool.set(pool, decision.error.message);
      }
    }
    return { hosts, mutations, refusals: [...refusalsByPool.values()] };
  }

  /** Refuses hosts that are out of service for another reason, because that state is intended. */
  #decideHost(
    wave: Wave,
    id: string,
    view: FleetView,
    { view: newest, wallTime, getEvidence }: ControlLoopContext,
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

  /** Lists hosts of racks in progress first, so that a rack is completed before another starts. */
  #listCandidates(wave: Wave, view: FleetView): readonly string[] {
    const find = (id: string): Host | null => view.get(EntityKind.Host, id);
    const racksInProgress = new Set(wave.working.map((id) => find(id)?.rack));
    const getOrder = (id: string): number => (racksInProgress.has(find(id)?.rack) ? 0 : 1);
    return wave.waiting.toSorted((a, b) => getOrder(a) - getOrder(b));
  }
}

function buildCandidateChange(
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

/** Takes out of service as many hosts at once as the budgets of their pools allow. */
export class BudgetWavePolicy extends WavePolicy {
  override readonly name = WavePolicyName.Budget;

  protected override readonly maxUnavailableHosts = Number.POSITIVE_INFINITY;
}

/** Takes one host of the whole fleet out of service at a time. */
export class OneByOneWavePolicy extends WavePolicy {
  override readonly name = WavePolicyName.OneByOne;

  protected override readonly maxUnavailableHosts = 1;
}
