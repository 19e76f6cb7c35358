import type {
  ControlLoopContext,
  MaintenanceControlLoop,
} from './BaobabwellMaintenanceControlLoop';
import type { HostHealthMonitor } from './BaobabwellMaintenanceHealthMonitor';
import type { HostControl } from './BaobabwellMaintenanceHostControl';
import type { ControllerIdentity } from './BaobabwellMaintenanceOwnership';
import type { FleetView } from '@baobabwell/model';
import type { Clock } from '@baobabwell/utils';
import type { ViewStore, ViewWriter } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { CONTROL_INTERVAL_MS, TAKEOVER_DELAY_PER_RANK_MS } from './BaobabwellMaintenanceConstants';
import { hasPendingStep, HostMaintenanceRunner } from './BaobabwellMaintenanceHostRunner';
import {
  buildTakeover,
  getTakeoverRank,
  isOwner,
  isOwnerless,
} from './BaobabwellMaintenanceOwnership';
import { ControllerWriter } from './BaobabwellMaintenanceWriter';

/** Reports an event of the controller. */
export type ReportControllerEvent = (
  event: string,
  fields: Readonly<Record<string, string | number>>,
) => void;

/** Dependencies of a {@link MaintenanceController}. */
export type MaintenanceControllerDependencies = {
  readonly identity: ControllerIdentity;
  readonly store: ViewStore;
  readonly writer: ViewWriter;
  readonly health: HostHealthMonitor;
  readonly control: HostControl;
  readonly clock: Clock;
  /** Whether the view is recent enough to act on. */
  readonly isCurrent: () => boolean;
  /** Whether every entry that can still start work has applied this version of the view. */
  readonly isInForce: (version: number) => boolean;
  readonly controlLoops: readonly MaintenanceControlLoop[];
  readonly report: ReportControllerEvent;
};

/**
 * Carries out maintenance while this entry owns it; one entry owns it at a time. All state that
 * is needed to continue is in the view, so any other entry can take over at any point.
 */
export class MaintenanceController {
  readonly #dependencies: MaintenanceControllerDependencies;

  readonly #writer: ControllerWriter;

  readonly #hostRunners = new Map<string, HostMaintenanceRunner>();

  readonly #stopped = new AbortController();

  #waitAbort = new AbortController();

  constructor(dependencies: MaintenanceControllerDependencies) {
    this.#dependencies = dependencies;
    this.#writer = new ControllerWriter(dependencies.writer, dependencies.identity);
  }

  /** Runs until {@link stop} is called. */
  async run(): Promise<void> {
    const { store, clock } = this.#dependencies;
    const unregister = store.registerListener(() => this.#waitAbort.abort());
    while (!this.#stopped.signal.aborted) {
      this.#waitAbort = new AbortController();
      if (this.#isOwner()) {
        this.#startHostRunners();
        await this.#runControlLoops();
      } else {
        this.#stopHostRunners();
        await this.#takeOver();
      }
      await clock.wait(CONTROL_INTERVAL_MS, this.#waitAbort.signal);
    }
    unregister();
    this.#stopHostRunners();
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
    this.#waitAbort.abort();
    this.#stopHostRunners();
  }

  #getView(): FleetView {
    return this.#dependencies.store.get();
  }

  #isOwner(): boolean {
    return isOwner(this.#getView(), this.#dependencies.identity);
  }

  async #takeOver(): Promise<void> {
    const { identity, clock, writer, report } = this.#dependencies;
    const rank = getTakeoverRank(this.#getView(), identity);
    if (rank === null || !isOwnerless(this.#getView())) {
      return;
    }
    await clock.wait(rank * TAKEOVER_DELAY_PER_RANK_MS, this.#stopped.signal);
    if (this.#stopped.signal.aborted || !isOwnerless(this.#getView())) {
      return;
    }
    const written = await writer.write<string>({
      author: identity.id,
      command: 'take over maintenance',
      reason: 'maintenance had no owner',
      build: (view) =>
        isOwnerless(view) && getTakeoverRank(view, identity) !== null
          ? createOk([buildTakeover(view, identity)])
          : createError('another entry owns maintenance'),
    });
    if (written.ok) {
      report('maintenance-taken-over', { version: written.value.version });
    }
  }

  #startHostRunners(): void {
    const { health, control, clock, isCurrent, isInForce } = this.#dependencies;
    this.#getView()
      .list(EntityKind.Host)
      .filter((host) => hasPendingStep(host) && !this.#hostRunners.has(host.id))
      .forEach(({ id }) => {
        const runner = new HostMaintenanceRunner(id, {
          getView: () => this.#getView(),
          writer: this.#writer,
          health,
          control,
          clock,
          isInForce,
          canAct: () => this.#isOwner() && isCurrent(),
        });
        this.#hostRunners.set(id, runner);
        void runner.run().then(() => this.#removeHostRunner(id, runner));
      });
  }

  #removeHostRunner(id: string, runner: HostMaintenanceRunner): void {
    if (this.#hostRunners.get(id) === runner) {
      this.#hostRunners.delete(id);
    }
  }

  #stopHostRunners(): void {
    this.#hostRunners.forEach((runner) => runner.stop());
    this.#hostRunners.clear();
  }

  async #runControlLoops(): Promise<void> {
    for (const controlLoop of this.#dependencies.controlLoops) {
      await this.#runControlLoop(controlLoop);
    }
  }

  async #runControlLoop(controlLoop: MaintenanceControlLoop): Promise<void> {
    const planned = controlLoop.decide(this.#buildContext(this.#getView()));
    if (planned === null) {
      await controlLoop.runSideEffects(this.#getView());
      return;
    }
    const written = await this.#writer.write({
      command: planned.command,
      reason: planned.reason,
      build: (view) => {
        const decision = controlLoop.decide(this.#buildContext(view));
        return decision === null
          ? createError('no change is required')
          : createOk(decision.mutations);
      },
    });
    const fields = { duty: controlLoop.name, command: planned.command, reason: planned.reason };
    if (written.ok) {
      this.#dependencies.report('maintenance-step', { ...fields, version: written.value });
    } else {
      this.#dependencies.report('maintenance-step-failed', { ...fields, cause: written.error });
    }
  }

  #buildContext(view: FleetView): ControlLoopContext {
    const { health, clock } = this.#dependencies;
    return {
      view,
      getEvidence: (host) => health.getEvidence(host),
      wallTime: clock.getWallTime(),
      now: clock.getNow(),
    };
  }
}
