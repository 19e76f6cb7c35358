import type { HostHealth } from './BaobabwellMaintenanceHealth';
import type { HostControl } from './BaobabwellMaintenanceHostControl';
import type { ControllerWriter } from './BaobabwellMaintenanceWriter';
import type { FleetView, Host, Mutation } from '@baobabwell/model';
import type { Clock, Result } from '@baobabwell/utils';

import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { checkReboot } from './BaobabwellMaintenanceBudget';
import {
  DRAIN_SETTLE_MS,
  HOST_LOST_MS,
  HOST_POLL_MS,
  REBOOT_LIMIT_MS,
  REBOOTED_REASON,
  RETURN_PROBES,
  STEP_RETRY_MS,
} from './BaobabwellMaintenanceConstants';
import { buildHostState, buildReturn } from './BaobabwellMaintenanceHosts';

/** What the task of a host works with. */
export type HostTaskParts = {
  readonly getView: () => FleetView;
  readonly writer: ControllerWriter;
  readonly health: HostHealth;
  readonly control: HostControl;
  readonly clock: Clock;
  /** Whether this entry is in charge and its view is recent enough to act. */
  readonly canAct: () => boolean;
  /** Whether no entry starts work any more without knowing the change of a version. */
  readonly isInForce: (version: number) => boolean;
};

type Step = (host: Host, view: FleetView) => Result<readonly Mutation[], string>;

/** Whether a host is on its way to another state. */
export function isInWork({ state, maintenance }: Host): boolean {
  return (
    state === HostState.Draining ||
    state === HostState.Rebooting ||
    (state === HostState.Drained &&
      maintenance !== null &&
      maintenance !== undefined &&
      maintenance.goal !== MaintenanceGoal.Drain)
  );
}

/** Takes one host through its maintenance, from whatever state it is in. */
export class HostTask {
  readonly #id: string;

  readonly #parts: HostTaskParts;

  readonly #stopped = new AbortController();

  constructor(id: string, parts: HostTaskParts) {
    this.#id = id;
    this.#parts = parts;
  }

  /** Runs until nothing is left to do, or until stopped. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      const host = this.#get();
      if (host === null || !isInWork(host)) {
        return;
      }
      await this.#runStep(host);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  async #runStep(host: Host): Promise<void> {
    switch (host.state) {
      case HostState.Draining:
        await this.#finishDrain(host);
        break;
      case HostState.Drained:
        await this.#leaveDrained(host);
        break;
      default:
        await this.#finishReboot(host);
    }
  }

  async #finishDrain(host: Host): Promise<void> {
    const { clock, isInForce } = this.#parts;
    while (this.#isSame(host) && !isInForce(host.maintenance?.token ?? 0)) {
      await this.#wait(HOST_POLL_MS);
    }
    await this.#wait(DRAIN_SETTLE_MS);
    let answeredAt = clock.getNow();
    while (this.#isSame(host)) {
      const status = await this.#parts.health.probe(host);
      answeredAt = status === null ? answeredAt : clock.getNow();
      if (status?.running === 0) {
        const text = 'nothing runs on it any more';
        await this.#write(host, `drained ${host.id}`, text, (newest) =>
          createOk([this.#putState(newest, HostState.Drained, newest.stateReason)]),
        );
      } else if (clock.getNow() - answeredAt > HOST_LOST_MS) {
        await this.#fail(host, 'stopped answering while it drained');
      }
      await this.#wait(HOST_POLL_MS);
    }
  }

  async #leaveDrained(host: Host): Promise<void> {
    if (host.maintenance?.goal === MaintenanceGoal.Move) {
      await this.#finishMove(host);
      return;
    }
    // The budget is looked at with probes of this moment: from here on there is no way back.
    const { getView, health } = this.#parts;
    await Promise.all(
      getView()
        .listHosts(host.pool)
        .map(async (one) => health.probe(one)),
    );
    const isWritten = await this.#write(
      host,
      `reboot ${host.id}`,
      host.stateReason,
      (newest, view) => {
        const refusal = checkReboot(view, newest, (id) => health.getEvidence(id));
        return refusal === null
          ? createOk([this.#putState(newest, HostState.Rebooting, newest.stateReason)])
          : createError(refusal.message);
      },
    );
    if (!isWritten) {
      await this.#wait(STEP_RETRY_MS);
    }
  }

  async #finishMove(host: Host): Promise<void> {
    const status = await this.#parts.health.probe(host);
    const isWritten =
      status !== null &&
      (await this.#write(
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
      await this.#wait(STEP_RETRY_MS);
    }
  }

  async #finishReboot(host: Host): Promise<void> {
    const { clock, control, canAct } = this.#parts;
    const token = host.maintenance?.token ?? 0;
    const startedAt = clock.getNow();
    let answered = 0;
    while (this.#isSame(host)) {
      const status = await this.#parts.health.probe(host);
      const isRebooted = status !== null && status.rebootToken >= token;
      answered = isRebooted ? answered + 1 : 0;
      if (status !== null && !isRebooted && canAct()) {
        await control.reboot(host, token);
      }
      if (answered >= RETURN_PROBES) {
        await this.#write(host, `return ${host.id}`, REBOOTED_REASON, (newest) =>
          createOk([buildReturn(newest, REBOOTED_REASON, this.#getWallTime())]),
        );
      } else if (clock.getNow() - startedAt > REBOOT_LIMIT_MS) {
        await this.#fail(host, 'did not come back from its reboot');
      }
      await this.#wait(HOST_POLL_MS);
    }
  }

  async #fail(host: Host, reason: string): Promise<void> {
    await this.#write(host, `fail ${host.id}`, reason, (newest) =>
      createOk([this.#putState({ ...newest, maintenance: null }, HostState.Failed, reason)]),
    );
  }

  async #write(host: Host, command: string, reason: string, step: Step): Promise<boolean> {
    const written = await this.#parts.writer.write({
      command,
      reason,
      build: (view) => {
        const newest = view.get(EntityKind.Host, host.id);
        return newest === null || !this.#matches(newest, host)
          ? createError(`host ${host.id} changed meanwhile`)
          : step(newest, view);
      },
    });
    return written.ok;
  }

  #putState(host: Host, state: HostState, reason: string): Mutation {
    return createPut(EntityKind.Host, buildHostState(host, state, reason, this.#getWallTime()));
  }

  #matches(newest: Host, host: Host): boolean {
    return newest.state === host.state && newest.maintenance?.token === host.maintenance?.token;
  }

  #isSame(host: Host): boolean {
    const newest = this.#get();
    return !this.#stopped.signal.aborted && newest !== null && this.#matches(newest, host);
  }

  #get(): Host | null {
    return this.#parts.getView().get(EntityKind.Host, this.#id);
  }

  #getWallTime(): number {
    return this.#parts.clock.getWallTime();
  }

  async #wait(durationMs: number): Promise<void> {
    await this.#parts.clock.wait(durationMs, this.#stopped.signal);
  }
}
