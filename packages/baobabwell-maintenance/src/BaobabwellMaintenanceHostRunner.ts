import type { HostHealthMonitor } from './BaobabwellMaintenanceHealthMonitor';
import type { HostControl } from './BaobabwellMaintenanceHostControl';
import type { ControllerWriter } from './BaobabwellMaintenanceWriter';
import type { FleetView, Host, Mutation } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';

import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { checkReboot } from './BaobabwellMaintenanceBudget';
import {
  DRAIN_GRACE_MS,
  DRAIN_UNRESPONSIVE_TIMEOUT_MS,
  HOST_POLL_INTERVAL_MS,
  MIN_RETURN_PROBES,
  REBOOT_TIMEOUT_MS,
  REBOOTED_REASON,
  STEP_RETRY_DELAY_MS,
} from './BaobabwellMaintenanceConstants';
import { buildHostState, buildReturn } from './BaobabwellMaintenanceHosts';

/** Dependencies of a {@link HostMaintenanceRunner}. */
export type HostMaintenanceRunnerDependencies = {
  readonly getView: () => FleetView;
  readonly writer: ControllerWriter;
  readonly health: HostHealthMonitor;
  readonly control: HostControl;
  readonly clock: Clock;
  /** Whether this entry owns maintenance and its view is recent enough to act on. */
  readonly canAct: () => boolean;
  /** Whether every entry that can still start work has applied this version of the view. */
  readonly isInForce: (version: number) => boolean;
};

type BuildHostChange = (host: Host, view: FleetView) => Result<readonly Mutation[], string>;

/** Returns whether maintenance of a host has a step that is not completed. */
export function hasPendingStep({ state, maintenance }: Host): boolean {
  return (
    state === HostState.Draining ||
    state === HostState.Rebooting ||
    (state === HostState.Drained &&
      maintenance !== null &&
      maintenance !== undefined &&
      maintenance.goal !== MaintenanceGoal.Drain)
  );
}

/** Runs the remaining maintenance steps of one host, starting from any state. */
export class HostMaintenanceRunner {
  readonly #id: string;

  readonly #dependencies: HostMaintenanceRunnerDependencies;

  readonly #stopped = new AbortController();

  constructor(id: string, dependencies: HostMaintenanceRunnerDependencies) {
    this.#id = id;
    this.#dependencies = dependencies;
  }

  /** Runs until no step remains or {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      const host = this.#getHost();
      if (host === null || !hasPendingStep(host)) {
        return;
      }
      await this.#runStep(host);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #runStep(host: Host): Promise<void> {
    switch (host.state) {
      case HostState.Draining:
        await this.#finishDrain(host);
        break;
      case HostState.Drained:
        await this.#rebootOrMove(host);
        break;
      default:
        await this.#finishReboot(host);
    }
  }

  async #finishDrain(host: Host): Promise<void> {
    const { clock, isInForce } = this.#dependencies;
    while (this.#isUnchanged(host) && !isInForce(host.maintenance?.token ?? 0)) {
      await this.#wait(HOST_POLL_INTERVAL_MS);
    }
    await this.#wait(DRAIN_GRACE_MS);
    let lastReplyAt = clock.getNow();
    while (this.#isUnchanged(host)) {
      const status = await this.#dependencies.health.probe(host);
      lastReplyAt = status === null ? lastReplyAt : clock.getNow();
      if (status?.running === 0) {
        const reason = 'no tasks are running';
        await this.#writeHostChange(host, `drained ${host.id}`, reason, (newest) =>
          createOk([this.#createStatePut(newest, HostState.Drained, newest.stateReason)]),
        );
      } else if (clock.getNow() - lastReplyAt > DRAIN_UNRESPONSIVE_TIMEOUT_MS) {
        await this.#failHost(host, 'no reply to probes while draining');
      }
      await this.#wait(HOST_POLL_INTERVAL_MS);
    }
  }

  async #rebootOrMove(host: Host): Promise<void> {
    if (host.maintenance?.goal === MaintenanceGoal.Move) {
      await this.#finishMove(host);
      return;
    }
    // The budget is checked with fresh probes of the whole pool, because a reboot cannot be undone.
    const { getView, health } = this.#dependencies;
    await Promise.all(
      getView()
        .listHosts(host.pool)
        .map(async (poolHost) => health.probe(poolHost)),
    );
    const isWritten = await this.#writeHostChange(
      host,
      `reboot ${host.id}`,
      host.stateReason,
      (newest, view) => {
        const refusal = checkReboot(view, newest, (id) => health.getEvidence(id));
        return refusal === null
          ? createOk([this.#createStatePut(newest, HostState.Rebooting, newest.stateReason)])
          : createError(refusal.message);
      },
    );
    if (!isWritten) {
      await this.#wait(STEP_RETRY_DELAY_MS);
    }
  }

  async #finishMove(host: Host): Promise<void> {
    const status = await this.#dependencies.health.probe(host);
    const isWritten =
      status !== null &&
      (await this.#writeHostChange(
        host,
        `moved ${host.id} to ${host.movingTo}`,
        host.stateReason,
        (newest, view) => {
          const { movingTo } = newest;
          if (movingTo === null || view.get(EntityKind.Pool, movingTo) === null) {
            return createError(`there is no pool "${movingTo}"`);
          }
          const moved = { ...newest, pool: movingTo };
          return createOk([buildReturn(moved, `moved from ${newest.pool}`, this.#getWallTime())]);
        },
      ));
    if (!isWritten) {
      await this.#wait(STEP_RETRY_DELAY_MS);
    }
  }

  async #finishReboot(host: Host): Promise<void> {
    const { clock, control, canAct } = this.#dependencies;
    const token = host.maintenance?.token ?? 0;
    const startedAt = clock.getNow();
    let successfulProbes = 0;
    while (this.#isUnchanged(host)) {
      const status = await this.#dependencies.health.probe(host);
      const isRebooted = status !== null && status.rebootToken >= token;
      successfulProbes = isRebooted ? successfulProbes + 1 : 0;
      if (status !== null && !isRebooted && canAct()) {
        await control.reboot(host, token);
      }
      if (successfulProbes >= MIN_RETURN_PROBES) {
        await this.#writeHostChange(host, `return ${host.id}`, REBOOTED_REASON, (newest) =>
          createOk([buildReturn(newest, REBOOTED_REASON, this.#getWallTime())]),
        );
      } else if (clock.getNow() - startedAt > REBOOT_TIMEOUT_MS) {
        await this.#failHost(host, 'reboot did not complete in time');
      }
      await this.#wait(HOST_POLL_INTERVAL_MS);
    }
  }

  async #failHost(host: Host, reason: string): Promise<void> {
    await this.#writeHostChange(host, `fail ${host.id}`, reason, (newest) =>
      createOk([this.#createStatePut({ ...newest, maintenance: null }, HostState.Failed, reason)]),
    );
  }

  async #writeHostChange(
    host: Host,
    command: string,
    reason: string,
    buildChange: BuildHostChange,
  ): Promise<boolean> {
    const written = await this.#dependencies.writer.write({
      command,
      reason,
      build: (view) => {
        const newest = view.get(EntityKind.Host, host.id);
        return newest === null || !this.#hasSameState(newest, host)
          ? createError(`host ${host.id} changed in the meantime`)
          : buildChange(newest, view);
      },
    });
    return written.ok;
  }

  #createStatePut(host: Host, state: HostState, reason: string): Mutation {
    return createPut(EntityKind.Host, buildHostState(host, state, reason, this.#getWallTime()));
  }

  #hasSameState(newest: Host, host: Host): boolean {
    return newest.state === host.state && newest.maintenance?.token === host.maintenance?.token;
  }

  #isUnchanged(host: Host): boolean {
    const newest = this.#getHost();
    return !this.#stopped.signal.aborted && newest !== null && this.#hasSameState(newest, host);
  }

  #getHost(): Host | null {
    return this.#dependencies.getView().get(EntityKind.Host, this.#id);
  }

  #getWallTime(): number {
    return this.#dependencies.clock.getWallTime();
  }

  async #wait(durationMs: number): Promise<void> {
    await this.#dependencies.clock.wait(durationMs, this.#stopped.signal);
  }
}
