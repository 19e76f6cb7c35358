import type { FailedHost, HasBadResults } from './BaobabwellRepairSymptoms';
import type {
  ControlLoopContext,
  ControlLoopDecision,
  GetHostEvidence,
} from '@baobabwell/maintenance';
import type { FleetView, Host, Mutation, Pool } from '@baobabwell/model';

import { buildHostState, decideTakeOut, MaintenanceControlLoop } from '@baobabwell/maintenance';
import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';

import {
  DOUBT_FRACTION,
  FAILED_SETTLE_MS,
  MEMORY_MS,
  RECOVERY_MS,
  RECOVERY_RETRY_MS,
  REPAIR_REASON,
} from './BaobabwellRepairConstants';
import { SymptomTracker } from './BaobabwellRepairSymptoms';

/** Receives what self-repair saw and did not act on. */
export type RepairReport = (
  event: string,
  fields: Readonly<Record<string, string | number>>,
) => void;

function isRepaired(view: FleetView, { pool }: Host): boolean {
  return view.get(EntityKind.Pool, pool)?.selfRepair ?? false;
}

function listSpares(view: FleetView): readonly Pool[] {
  return view.list(EntityKind.Pool).filter(({ isSpare }) => isSpare);
}

/** A host whose reboot did not help is not rebooted again at once. */
function isDue({ stateReason, stateSince }: Host, wallTime: number): boolean {
  return stateReason.startsWith(REPAIR_REASON) || wallTime - stateSince >= RECOVERY_RETRY_MS;
}

/** Whether nothing of its old pool can run on a failed host any more. */
function isEmpty({ id, stateSince }: Host, { getEvidence, wallTime }: ControlLoopContext): boolean {
  const { isReachable, running } = getEvidence(id);
  const isIdle = isReachable !== true || running === 0;
  return isIdle && wallTime - stateSince >= FAILED_SETTLE_MS;
}

function isHealthy(host: Host, getEvidence: GetHostEvidence): boolean {
  const { isListed, isReachable } = getEvidence(host.id);
  return host.state === HostState.Serving && isListed !== false && isReachable !== false;
}

/** Finds a host of a spare pool that may go to another pool. */
function findSpare(context: ControlLoopContext, host: Host): readonly Mutation[] | null {
  const { view, getEvidence, wallTime } = context;
  const candidates = listSpares(view)
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

/** Finds failed hosts, replaces them from spare, and brings them back when they answer again. */
export class RepairDuty extends MaintenanceControlLoop {
  override readonly name = 'self-repair';

  readonly #tracker: SymptomTracker;

  readonly #report: RepairReport;

  /** Monotonic time since which a failed host answers again. */
  readonly #wellSince = new Map<string, number>();

  #decidedAt = Number.NEGATIVE_INFINITY;

  #isDoubting = false;

  constructor(hasBadResults: HasBadResults, report: RepairReport) {
    super();
    this.#tracker = new SymptomTracker(hasBadResults);
    this.#report = report;
  }

  override decide(context: ControlLoopContext): ControlLoopDecision | null {
    // What was seen before another entry was in charge says nothing about now.
    if (context.now - this.#decidedAt > MEMORY_MS) {
      this.#tracker.reset();
      this.#wellSince.clear();
    }
    this.#decidedAt = context.now;
    return (
      this.#decideFailure(context) ??
      this.#decideReplacement(context) ??
      this.#decideSwap(context) ??
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
    if (failed.length > hosts.length * DOUBT_FRACTION) {
      this.#reportDoubt(failed);
      return null;
    }
    this.#isDoubting = false;
    const [first] = failed.filter(({ host }) => isRepaired(view, host));
    if (first === undefined) {
      return null;
    }
    const reason = `${REPAIR_REASON}: ${first.why}`;
    const taken = buildHostState(first.host, HostState.Failed, reason, wallTime);
    return {
      command: `fail ${first.host.id}`,
      reason,
      mutations: [createPut(EntityKind.Host, { ...taken, movingTo: null, maintenance: null })],
    };
  }

  /** When most hosts look failed at once, it is more likely this entry that is cut off. */
  #reportDoubt(failed: readonly FailedHost[]): void {
    if (!this.#isDoubting) {
      this.#isDoubting = true;
      this.#report('self-repair-doubted', { hosts: failed.length });
    }
  }

  /** A failed host is promised to the spare pool in the change that sends its replacement. */
  #decideReplacement(context: ControlLoopContext): ControlLoopDecision | null {
    const { view } = context;
    const [spare] = listSpares(view);
    const due = view
      .list(EntityKind.Host)
      .filter((host) => host.state === HostState.Failed && host.movingTo === null)
      .filter((host) => isRepaired(view, host) && host.pool !== spare?.id);
    for (const host of spare === undefined ? [] : due) {
      const sent = findSpare(context, host);
      if (sent !== null) {
        const promised = createPut(EntityKind.Host, { ...host, movingTo: spare?.id ?? null });
        const names = sent.map(({ id }) => id).join(', ');
        return {
          command: `replace ${host.id}`,
          reason: `${REPAIR_REASON}: ${names} from spare takes its place`,
          mutations: [promised, ...sent],
        };
      }
    }
    return null;
  }

  #decideSwap(context: ControlLoopContext): ControlLoopDecision | null {
    const host = context.view
      .list(EntityKind.Host)
      .filter(({ state, movingTo }) => state === HostState.Failed && movingTo !== null)
      .find((one) => isEmpty(one, context));
    if (host === undefined || host.movingTo === null) {
      return null;
    }
    return {
      command: `move ${host.id} to ${host.movingTo}`,
      reason: `${REPAIR_REASON}: failed, and nothing runs on it any more`,
      mutations: [createPut(EntityKind.Host, { ...host, pool: host.movingTo, movingTo: null })],
    };
  }

  #decideRecovery(context: ControlLoopContext): ControlLoopDecision | null {
    const { view, getEvidence, wallTime, now } = context;
    const host = view
      .list(EntityKind.Host)
      .filter((one) => one.state === HostState.Failed && one.movingTo === null)
      .filter((one) => isRepaired(view, one))
      .filter((one) => isDue(one, wallTime))
      .find((one) => this.#isWell(one, getEvidence, now));
    if (host === undefined) {
      return null;
    }
    const reason = `${REPAIR_REASON}: answers again, rebooted before it serves`;
    const request = { host: host.id, goal: MaintenanceGoal.Reboot, reason, wallTime };
    const decision = decideTakeOut(view, request, getEvidence);
    if (!decision.ok) {
      return null;
    }
    return { command: `reboot ${host.id}`, reason, mutations: decision.value.mutations };
  }

  #isWell({ id }: Host, getEvidence: GetHostEvidence, now: number): boolean {
    const { isListed, isReachable } = getEvidence(id);
    if (isReachable !== true || isListed === false) {
      this.#wellSince.delete(id);
      return false;
    }
    const since = this.#wellSince.get(id) ?? now;
    this.#wellSince.set(id, since);
    return now - since >= RECOVERY_MS;
  }
}
