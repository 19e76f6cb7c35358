import type { DutyContext, MaintenanceDuty } from './BaobabwellMaintenanceDuty';
import type { HostHealth } from './BaobabwellMaintenanceHealth';
import type { HostControl } from './BaobabwellMaintenanceHostControl';
import type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
import type { FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';
import type { ViewStore, ViewWriter } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { CONTROL_INTERVAL_MS, TAKE_OVER_DELAY_MS } from './BaobabwellMaintenanceConstants';
import { HostTask, isInWork } from './BaobabwellMaintenanceHostTask';
import { buildTakeOver, getRank, isOwner, isOwnerless } from './BaobabwellMaintenanceOwnership';
import { ControllerWriter } from './BaobabwellMaintenanceWriter';

/** Tells what the controller did. */
export type ControllerReport = (
  event: string,
  fields: Readonly<Record<string, string | number>>,
) => void;

/** What the controller works with. */
export type MaintenanceControllerParts = {
  readonly identity: ControllerIdentity;
  readonly store: ViewStore;
  readonly writer: ViewWriter;
  readonly health: HostHealth;
  readonly control: HostControl;
  readonly clock: Clock;
  /** Whether the view is recent enough to act on. */
  readonly isCurrent: () => boolean;
  /** Whether no entry starts work any more without knowing the change of a version. */
  readonly isInForce: (version: number) => boolean;
  readonly duties: readonly MaintenanceDuty[];
  readonly report: ControllerReport;
};

/**
 * Carries out maintenance at one entry at a time. All of its state is in the view, so that any
 * other entry goes on where it stopped.
 */
export class MaintenanceController {
  readonly #parts: MaintenanceControllerParts;

  readonly #writer: ControllerWriter;

  readonly #tasks = new Map<string, HostTask>();

  readonly #stopped = new AbortController();

  #wake = new AbortController();

  constructor(parts: MaintenanceControllerParts) {
    this.#parts = parts;
    this.#writer = new ControllerWriter(parts.writer, parts.identity);
  }

  /** Works until stopped. */
  async run(): Promise<void> {
    const { store, clock } = this.#parts;
    const undo = store.registerListener(() => this.#wake.abort());
    while (!this.#stopped.signal.aborted) {
      this.#wake = new AbortController();
      if (this.#isInCharge()) {
        this.#startTasks();
        await this.#runDuties();
      } else {
        this.#stopTasks();
        await this.#takeOver();
      }
      await clock.wait(CONTROL_INTERVAL_MS, this.#wake.signal);
    }
    undo();
    this.#stopTasks();
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#wake.abort();
    this.#stopTasks();
  }

  #getView(): FleetView {
    return this.#parts.store.get();
  }

  #isInCharge(): boolean {
    return isOwner(this.#getView(), this.#parts.identity);
  }

  async #takeOver(): Promise<void> {
    const { identity, clock, writer, report } = this.#parts;
    const rank = getRank(this.#getView(), identity);
    if (rank === null || !isOwnerless(this.#getView())) {
      return;
    }
    await clock.wait(rank * TAKE_OVER_DELAY_MS, this.#stopped.signal);
    if (this.#stopped.signal.aborted || !isOwnerless(this.#getView())) {
      return;
    }
    const written = await writer.write<string>({
      author: identity.id,
      command: 'take over maintenance',
      reason: 'nobody was in charge',
      build: (view) =>
        isOwnerless(view) && getRank(view, identity) !== null
          ? createOk([buildTakeOver(view, identity)])
          : createError('another entry is in charge'),
    });
    if (written.ok) {
      report('maintenance-taken-over', { version: written.value.version });
    }
  }

  #startTasks(): void {
    const { health, control, clock, isCurrent, isInForce } = this.#parts;
    this.#getView()
      .list(EntityKind.Host)
      .filter((host) => isInWork(host) && !this.#tasks.has(host.id))
      .forEach(({ id }) => {
        const task = new HostTask(id, {
          getView: () => this.#getView(),
          writer: this.#writer,
          health,
          control,
          clock,
          isInForce,
          canAct: () => this.#isInCharge() && isCurrent(),
        });
        this.#tasks.set(id, task);
        void task.run().then(() => this.#removeTask(id, task));
      });
  }

  #removeTask(id: string, task: HostTask): void {
    if (this.#tasks.get(id) === task) {
      this.#tasks.delete(id);
    }
  }

  #stopTasks(): void {
    this.#tasks.forEach((task) => task.stop());
    this.#tasks.clear();
  }

  async #runDuties(): Promise<void> {
    for (const duty of this.#parts.duties) {
      await this.#runDuty(duty);
    }
  }

  async #runDuty(duty: MaintenanceDuty): Promise<void> {
    const decided = duty.decide(this.#buildContext(this.#getView()));
    if (decided === null) {
      await duty.act(this.#getView());
      return;
    }
    const written = await this.#writer.write({
      command: decided.command,
      reason: decided.reason,
      build: (view) => {
        const decision = duty.decide(this.#buildContext(view));
        return decision === null ? createError('nothing to do') : createOk(decision.mutations);
      },
    });
    const fields = { duty: duty.name, command: decided.command, reason: decided.reason };
    if (written.ok) {
      this.#parts.report('maintenance-step', { ...fields, version: written.value });
    } else {
      this.#parts.report('maintenance-step-failed', { ...fields, cause: written.error });
    }
  }

  #buildContext(view: FleetView): DutyContext {
    const { health, clock } = this.#parts;
    return {
      view,
      getEvidence: (host) => health.getEvidence(host),
      wallTime: clock.getWallTime(),
      now: clock.getNow(),
    };
  }
}
