import type { GetHostEvidence } from './BaobabwellMaintenance';
import type { FleetView, Mutation } from '@baobabwell/model';

/** What a duty decides on. */
export type DutyContext = {
  readonly view: FleetView;
  readonly getEvidence: GetHostEvidence;
  /** Wall-clock milliseconds. */
  readonly wallTime: number;
  /** Monotonic milliseconds of this entry. */
  readonly now: number;
};

/** A change that a duty wants, and why. */
export type DutyDecision = {
  readonly command: string;
  readonly reason: string;
  readonly mutations: readonly Mutation[];
};

/** Work that the controller does by itself, decided again on each newest view. */
export abstract class MaintenanceDuty {
  abstract readonly name: string;

  /** Decides the next change, or `null` when there is nothing to do. */
  abstract decide(context: DutyContext): DutyDecision | null;

  /** Does what no change of the view can do, after the last decision; may take time. */
  async act(_view: FleetView): Promise<void> {
    // Most duties only change the view.
  }
}
