import type { FailedHost, HasFailingTasks } from './BaobabwellRepairSymptoms';
import type {
  ControlLoopContext,
  ControlLoopDecision,
  GetHostEvidence,
} from '@baobabwell/maintenance';
import type { FleetView, Host, Mutation, Pool } from '@baobabwell/model';

import { buildHostState, decideTakeOut, MaintenanceControlLoop } from '@baobabwell/maintenance';
import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';

import {
  FAILED_DRAIN_MS,
  MAX_DECISION_GAP_MS,
  MAX_FAILED_FRACTION,
  MIN_RECOVERY_MS,
  RECOVERY_RETRY_DELAY_MS,
  REPAIR_REASON,
} from './BaobabwellRepairConstants';
import { SymptomTracker } from './BaobabwellRepairSymptoms';

/** Records an event of self-repair that does not change the view. */
export type ReportRepairEvent = (
  event: string,
  fields: Readonly<Record<string, string | number>>,
) => void;

function hasSelfRepair(view: FleetView, { pool }: Host): boolean {
  return view.get(EntityKind.Pool, pool)?.selfRepair ?? false;
}

function listSparePools(view: FleetView): readonly Pool[] {
  return view.list(EntityKind.Pool).filter(({ isSpare }) => isSpare);
}

/**
 * Returns whether a recovery of a failed host may start: at once after self-repair took it out, but
 * only after a delay when it failed otherwise, for example because a reboot did not help.
 */
function isRecoveryDue({ stateReason, stateSince }: Host, wallTime: number): boolean {
  return stateReason.startsWith(REPAIR_REASON) || wallTime - stateSince >= RECOVERY_RETRY_DELAY_MS;
}

/** Returns whether no work of the old pool can still run on a failed host. */
function isIdle({ id, stateSince }: Host, { getEvidence, wallTime }: ControlLoopContext): boolean {
  const { isReachable, running } = getEvidence(id);
  const hasNoWork = isReachable !== true || running === 0;
  return hasNoWork && wallTime - stateSince >= FAILED_DRAIN_MS;
}

function isHealthy(host: Host, getEvidence: GetHostEvidence): boolean {
  const { isListed, isReachable } = getEvidence(host.id);
  return host.state === HostState.Serving && isListed !== false && isReachable !== false;
}

/**
 * Returns the changes that move a healthy host of a spare pool to the pool of a failed host, if one
 * may move.
 */
function findReplacement(context: ControlLoopContext, host: Host): readonly Mutation[] | null {
  const { view, getEvidence, wallTime } = context;
  const candidates = listSparePools(view)
    .flatMap(({ id }) => view.listHosts(id))
    .filter((spare) => isHealthy(spare, getEvidence));
  for (const spare of candidates) {
    const request = {
      host: spare.id,
      goal: MaintenanceGoal.Move,
      reason: `${REPAIR_REASON}: replaces ${host.id}`,
      wallTime,
      movingTo: host.pool,
    };
    const decision = decideTakeOut(view, request, getEvidence);
    if (decision.ok) {
      return decision.value.mutations;
    }
  }
  return null;
}

/** Marks failed hosts, replaces them with spare hosts, and reboots them when they respond again. */
export class RepairControlLoop extends MaintenanceControlLoop {
  override readonly name = 'self-repair';

  readonly #tracker: SymptomTracker;

  readonly #report: ReportRepairEvent;

  /** Monotonic time since which a failed host has responded, by host. */
  readonly #respondingSince = new Map<string, number>();

  #lastDecisionAt = Number.NEGATIVE_INFINITY;

  #hasTooManyFailures = false;

  constructor(hasFailingTasks: HasFailingTasks, report: ReportRepairEvent) {
    super();
    this.#tracker = new SymptomTracker(hasFailingTasks);
    this.#report = report;
  }

  override decide(context: ControlLoopContext): ControlLoopDecision | null {
    // After a gap, another entry may have owned the controller: observations from before it are
    // out of date.
    if (context.now - this.#lastDecisionAt > MAX_DECISION_GAP_MS) {
      this.#tracker.reset();
      this.#respondingSince.clear();
    }
    this.#lastDecisionAt = context.now;
    return (
      this.#decideFailure(context) ??
      this.#decideReplacement(context) ??
      this.#decideMoveToSpare(context) ??
      this.#decideRecovery(context)
    );
  }

  #decideFailure({
    view,
    getEvidence,
    now,
    wallTime,
  }: ControlLoopContext): ControlLoopDecision | null {
    const hosts = view.list(EntityKind.Host);
    const serving = hosts.filter(({ state }) => state === HostState.Serving);
    const failed = this.#tracker.listFailed(serving, getEvidence, now);
    if (failed.length > hosts.length * MAX_FAILED_FRACTION) {
      this.#reportTooManyFailures(failed);
      return null;
    }
    this.#hasTooManyFailures = false;
    const [first] = failed.filter(({ host }) => hasSelfRepair(view, host));
    if (first === undefined) {
      return null;
    }
    const reason = `${REPAIR_REASON}: ${first.cause}`;
    const failedState = buildHostState(first.host, HostState.Failed, reason, wallTime);
    return {
      command: `fail ${first.host.id}`,
      reason,
      mutations: [
        createPut(EntityKind.Host, { ...failedState, movingTo: null, maintenance: null }),
      ],
    };
  }

  /**
   * Reports once that most hosts appear failed at the same time: this entry more likely has lost
   * its own connectivity.
   */
  #reportTooManyFailures(failed: readonly FailedHost[]): void {
    if (!this.#hasTooManyFailures) {
      this.#hasTooManyFailures = true;
      this.#report('self-repair-doubted', { hosts: failed.length });
    }
  }

  /**
   * Decides to replace a failed host. The same change assigns it to the spare pool and moves its
   * replacement.
   */
  #decideReplacement(context: ControlLoopContext): ControlLoopDecision | null {
    const { view } = context;
    const [sparePool] = listSparePools(view);
    const unassigned = view
      .list(EntityKind.Host)
      .filter((host) => host.state === HostState.Failed && host.movingTo === null)
      .filter((host) => hasSelfRepair(view, host) && host.pool !== sparePool?.id);
    for (const host of sparePool === undefined ? [] : unassigned) {
      const mutations = findReplacement(context, host);
      if (mutations !== null) {
        const assigned = createPut(EntityKind.Host, { ...host, movingTo: sparePool?.id ?? null });
        const names = mutations.map(({ id }) => id).join(', ');
        return {
          command: `replace ${host.id}`,
          reason: `${REPAIR_REASON}: replaced by ${names} from the spare pool`,
          mutations: [assigned, ...mutations],
        };
      }
    }
    return null;
  }

  #decideMoveToSpare(context: ControlLoopContext): ControlLoopDecision | null {
    const host = context.view
      .list(EntityKind.Host)
      .filter(({ state, movingTo }) => state === HostState.Failed && movingTo !== null)
      .find((candidate) => isIdle(candidate, context));
    if (host === undefined || host.movingTo === null) {
      return null;
    }
    return {
      command: `move ${host.id} to ${host.movingTo}`,
      reason: `${REPAIR_REASON}: failed, and no work runs on it`,
      mutations: [createPut(EntityKind.Host, { ...host, pool: host.movingTo, movingTo: null })],
    };
  }

  #decideRecovery(context: ControlLoopContext): ControlLoopDecision | null {
    const { view, getEvidence, wallTime, now } = context;
    const host = view
      .list(EntityKind.Host)
      .filter((candidate) => candidate.state === HostState.Failed && candidate.movingTo === null)
      .filter((candidate) => hasSelfRepair(view, candidate))
      .filter((candidate) => isRecoveryDue(candidate, wallTime))
      .find((candidate) => this.#hasRecovered(candidate, getEvidence, now));
    if (host === undefined) {
      return null;
    }
    const reason = `${REPAIR_REASON}: responds again, rebooted before it returns to service`;
    const request = { host: host.id, goal: MaintenanceGoal.Reboot, reason, wallTime };
    const decision = decideTakeOut(view, request, getEvidence);
    if (!decision.ok) {
      return null;
    }
    return { command: `reboot ${host.id}`, reason, mutations: decision.value.mutations };
  }

  #hasRecovered({ id }: Host, getEvidence: GetHostEvidence, now: number): boolean {
    const { isListed, isReachable } = getEvidence(id);
    if (isReachable !== true || isListed === false) {
      this.#respondingSince.delete(id);
      return false;
    }
    const since = this.#respondingSince.get(id) ?? now;
    this.#respondingSince.set(id, since);
    return now - since >= MIN_RECOVERY_MS;
  }
}
