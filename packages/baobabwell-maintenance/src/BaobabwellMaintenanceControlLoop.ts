import type { GetHostEvidence } from './BaobabwellMaintenance';
import type { FleetView, Mutation } from '@baobabwell/model';

/** Input of the decisions of a control loop. */
export type ControlLoopContext = {
  readonly view: FleetView;
  readonly getEvidence: GetHostEvidence;
  /** Wall-clock milliseconds. */
  readonly wallTime: number;
  /** Monotonic milliseconds of this entry. */
  readonly now: number;
};

/** A change that a control loop requests, and its reason. */
export type ControlLoopDecision = {
  readonly command: string;
  readonly reason: string;
  readonly mutations: readonly Mutation[];
};

/** Work that the controller does automatically. Each decision is made on the newest view. */
export abstract class MaintenanceControlLoop {
  abstract readonly name: string;

  /** Decides the next change; returns `null` if none is required. */
  abstract decide(context: ControlLoopContext): ControlLoopDecision | null;

  /**
   * Performs effects outside the view, for example writes to a store. The controller calls it and
   * waits for it when {@link decide} requires no change.
   */
  async runSideEffects(_view: FleetView): Promise<void> {
    // Most control loops only change the view.
  }
}
