import type { MaintenanceDecision, MaintenanceRefusal } from './BaobabwellMaintenance';
import type { ControlLoopContext, ControlLoopDecision } from './BaobabwellMaintenanceControlLoop';
import type { WavePolicy, WaveStep } from './BaobabwellMaintenanceWavePolicy';
import type { FleetView, Host, Wave, WavePolicyName } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createPut, EntityKind, HostState, WaveScope, WaveState } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { REBOOTED_REASON, WAVE_STALL_TIMEOUT_MS } from './BaobabwellMaintenanceConstants';
import { MaintenanceControlLoop } from './BaobabwellMaintenanceControlLoop';
import { BudgetWavePolicy, OneByOneWavePolicy } from './BaobabwellMaintenanceWavePolicy';

/** Parameters of a new wave. */
export type WavePlan = {
  readonly id: string;
  readonly scope: WaveScope;
  readonly scopeId: string;
  readonly policy: WavePolicyName;
  readonly maximumFailures: number;
  readonly reason: string;
  readonly wallTime: number;
};

const POLICIES: readonly WavePolicy[] = [new BudgetWavePolicy(), new OneByOneWavePolicy()];

const ENDED_STATES: ReadonlySet<WaveState> = new Set([WaveState.Aborted, WaveState.Finished]);

function listScope(view: FleetView, scope: WaveScope, scopeId: string): readonly Host[] {
  const hosts = view.list(EntityKind.Host);
  switch (scope) {
    case WaveScope.Pool:
      return hosts.filter(({ pool }) => pool === scopeId);
    case WaveScope.Rack:
      return hosts.filter(({ rack }) => rack === scopeId);
    case WaveScope.Fleet:
      return hosts;
  }
}

function findOverlap(view: FleetView, hosts: readonly Host[]): Wave | null {
  const ids = new Set(hosts.map(({ id }) => id));
  return (
    view
      .list(EntityKind.Wave)
      .filter(({ state }) => !ENDED_STATES.has(state))
      .find(({ waiting, working }) => [...waiting, ...working].some((id) => ids.has(id))) ?? null
  );
}

/** Decides to start a wave. */
export function decideWaveStart(
  view: FleetView,
  plan: WavePlan,
): Result<MaintenanceDecision, MaintenanceRefusal> {
  const { id, scope, scopeId, policy, maximumFailures, wallTime, reason } = plan;
  if (view.get(EntityKind.Wave, id) !== null) {
    return createError({ code: 'conflict', message: `wave ${id} already exists` });
  }
  const hosts = listScope(view, scope, scopeId);
  if (hosts.length === 0) {
    return createError({ code: 'not-found', message: `${scope} "${scopeId}" has no hosts` });
  }
  const other = findOverlap(view, hosts);
  if (other !== null) {
    const message = `wave ${other.id} (${other.state}) covers some of these hosts`;
    return createError({ code: 'conflict', message });
  }
  const wave: Wave = {
    id,
    scope,
    scopeId,
    policy,
    state: WaveState.Running,
    stateReason: reason,
    waiting: hosts.map((host) => host.id),
    working: [],
    done: [],
    failed: [],
    maximumFailures,
    startedAt: wallTime,
    endedAt: null,
  };
  return createOk({
    mutations: [createPut(EntityKind.Wave, wave)],
    notes: [`wave ${id} covers ${hosts.length} hosts`],
  });
}

/** Decides to pause, resume or abort a wave. */
export function decideWaveState(
  view: FleetView,
  id: string,
  state: WaveState.Running | WaveState.Paused | WaveState.Aborted,
  reason: string,
  wallTime: number,
): Result<MaintenanceDecision, MaintenanceRefusal> {
  const wave = view.get(EntityKind.Wave, id);
  if (wave === null) {
    return createError({ code: 'not-found', message: `there is no wave "${id}"` });
  }
  if (ENDED_STATES.has(wave.state) || wave.state === state) {
    const message = `wave ${id} is ${wave.state}: ${wave.stateReason}`;
    return createError({ code: 'conflict', message });
  }
  const isResumed = state === WaveState.Running;
  const changed: Wave = {
    ...wave,
    state,
    stateReason: reason,
    // The operator who resumes the wave accepts the failures so far; only new ones count.
    maximumFailures: isResumed
      ? Math.max(wave.maximumFailures, wave.failed.length)
      : wave.maximumFailures,
    endedAt: state === WaveState.Aborted ? wallTime : null,
  };
  return createOk({
    mutations: [createPut(EntityKind.Wave, changed)],
    notes: [`wave ${id} ${state}`],
  });
}

type WaveProgress = Pick<Wave, 'working' | 'done' | 'failed' | 'waiting'>;

function isOutOfServiceForWave(host: Host | null, wave: Wave): boolean {
  return host !== null && host.maintenance?.wave === wave.id && host.state !== HostState.Failed;
}

/** Returns whether a host was rebooted; an operator may also return it before its reboot. */
function isRebooted(host: Host | null): boolean {
  return host?.state === HostState.Serving && host.stateReason === REBOOTED_REASON;
}

function getProgress(wave: Wave, view: FleetView): WaveProgress {
  const find = (id: string): Host | null => view.get(EntityKind.Host, id);
  const departed = wave.working.filter((id) => !isOutOfServiceForWave(find(id), wave));
  const done = departed.filter((id) => isRebooted(find(id)));
  const failed = departed.filter((id) => !done.includes(id));
  return {
    waiting: wave.waiting.filter((id) => find(id) !== null),
    working: wave.working.filter((id) => !departed.includes(id)),
    done: [...wave.done, ...done],
    failed: [...wave.failed, ...failed],
  };
}

function isSameProgress(a: WaveProgress, b: WaveProgress): boolean {
  return (
    a.working.length === b.working.length &&
    a.waiting.length === b.waiting.length &&
    a.done.length === b.done.length &&
    a.failed.length === b.failed.length
  );
}

/** Advances the waves. */
export class WaveControlLoop extends MaintenanceControlLoop {
  override readonly name = 'waves';

  /** Monotonic time since which no step of a wave was possible, by wave. */
  readonly #stalledSince = new Map<string, number>();

  override decide(context: ControlLoopContext): ControlLoopDecision | null {
    for (const wave of context.view.list(EntityKind.Wave)) {
      const hasEnded = ENDED_STATES.has(wave.state) && wave.working.length === 0;
      const decision = hasEnded ? null : this.#decideWave(wave, context);
      if (decision !== null) {
        return decision;
      }
    }
    return null;
  }

  #decideWave(wave: Wave, context: ControlLoopContext): ControlLoopDecision | null {
    const progress = getProgress(wave, context.view);
    const updated = { ...wave, ...progress };
    if (wave.state !== WaveState.Running) {
      this.#stalledSince.delete(wave.id);
      return isSameProgress(wave, progress)
        ? null
        : this.#buildDecision(updated, [], 'host states changed');
    }
    if (progress.failed.length > wave.maximumFailures) {
      const reason = `hosts not rebooted successfully: ${progress.failed.join(', ')}`;
      return this.#buildDecision(
        { ...updated, state: WaveState.Stopped, stateReason: reason },
        [],
        reason,
      );
    }
    if (progress.waiting.length + progress.working.length === 0) {
      const reason = `${progress.done.length} done, ${progress.failed.length} failed`;
      const finished = {
        state: WaveState.Finished,
        stateReason: reason,
        endedAt: context.wallTime,
      };
      return this.#buildDecision({ ...updated, ...finished }, [], reason);
    }
    const policy = POLICIES.find(({ name }) => name === wave.policy) ?? new BudgetWavePolicy();
    return this.#decideStep(wave, updated, policy.chooseHosts(updated, context), context);
  }

  #decideStep(
    wave: Wave,
    updated: Wave,
    step: WaveStep,
    { now }: ControlLoopContext,
  ): ControlLoopDecision | null {
    if (step.hosts.length > 0) {
      this.#stalledSince.delete(wave.id);
      const takenOut = new Set(step.hosts);
      const next = {
        ...updated,
        waiting: updated.waiting.filter((id) => !takenOut.has(id)),
        working: [...updated.working, ...step.hosts],
      };
      return this.#buildDecision(
        next,
        step.mutations,
        `taken out of service: ${step.hosts.join(', ')}`,
      );
    }
    const stalledSince = this.#getStalledSince(updated, now);
    if (now - stalledSince > WAVE_STALL_TIMEOUT_MS) {
      const reason = `no host can be taken out of service: ${step.refusals.join('; ')}`;
      return this.#buildDecision(
        { ...updated, state: WaveState.Stopped, stateReason: reason },
        [],
        reason,
      );
    }
    return isSameProgress(wave, updated)
      ? null
      : this.#buildDecision(updated, [], 'host states changed');
  }

  #getStalledSince({ id, working }: Wave, now: number): number {
    if (working.length > 0) {
      this.#stalledSince.delete(id);
      return now;
    }
    const since = this.#stalledSince.get(id) ?? now;
    this.#stalledSince.set(id, since);
    return since;
  }

  #buildDecision(
    wave: Wave,
    mutations: ControlLoopDecision['mutations'],
    reason: string,
  ): ControlLoopDecision {
    return {
      command: `wave ${wave.id}: ${wave.state}`,
      reason,
      mutations: [createPut(EntityKind.Wave, wave), ...mutations],
    };
  }
}
