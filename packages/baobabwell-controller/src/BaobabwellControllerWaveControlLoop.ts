import type { TermContext } from './BaobabwellControllerContext';
import type { MachineInventory } from './BaobabwellControllerMachineInventory';
import type { DueMachine, MaintenanceWave } from '@baobabwell/fleet';
import type { CloudHost } from '@baobabwell/platform';

import { z } from 'zod';

import { decideMaintenance, WaveState } from '@baobabwell/fleet';
import { RunPhase } from '@baobabwell/jobs';
import { CloudHostState } from '@baobabwell/platform';

import { WAVES_TABLE } from './BaobabwellControllerConstants';
import { listLongRunning, stopLongRunning } from './BaobabwellControllerLongRunning';

/** Delay before a failed read of the waves is repeated, in ms. */
const READ_RETRY_DELAY_MS = 300;

/** Time to drain a machine before its maintenance, in ms; added to the duration of the maintenance. */
const PREPARATION_MS = 1_500;

const waveRow = z.object({
  done: z.array(z.string()),
  /** Wall-clock time at which an owner first observed the wave, in ms since 1970. */
  seenAtMs: z.number(),
  isReported: z.boolean(),
});

type WaveRow = {
  readonly done: Set<string>;
  /** Machines with ordered, unfinished maintenance, and whether the order was answered. */
  readonly down: Map<string, boolean>;
  seenAtMs: number;
  isReported: boolean;
  isStarted: boolean;
};

/** Runs maintenance waves with at most as many machines down as the operator allows. */
export class WaveControlLoop {
  readonly #context: TermContext;

  readonly #machines: MachineInventory;

  readonly #recordDeparture: (hostId: string, reason: string) => void;

  readonly #rows = new Map<number, WaveRow>();

  constructor(
    context: TermContext,
    machines: MachineInventory,
    recordDeparture: (hostId: string, reason: string) => void,
  ) {
    this.#context = context;
    this.#machines = machines;
    this.#recordDeparture = recordDeparture;
  }

  /** Reads the progress that earlier owners stored. */
  async load(): Promise<void> {
    const { store, signal, clock, logger } = this.#context;
    while (!signal.aborted) {
      const page = await store.list({ table: WAVES_TABLE });
      if (page.ok) {
        page.value.rows.forEach(({ key, value }) => {
          const row = waveRow.safeParse(value);
          if (row.success) {
            const { done, seenAtMs, isReported } = row.data;
            this.#rows.set(Number(key), {
              done: new Set(done),
              down: new Map(),
              seenAtMs,
              isReported,
              isStarted: true,
            });
          }
        });
        return;
      }
      logger.recordWarning('waves-not-read', { reason: page.error.kind });
      await clock.wait(READ_RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Advances every wave that is not completed.
   *
   * @returns hosts that are drained for maintenance, with the reason.
   */
  async runRound(): Promise<ReadonlyMap<string, string>> {
    const cordons = new Map<string, string>();
    for (const wave of this.#context.waves.values()) {
      const row = this.#getRow(wave);
      if (!row.isReported) {
        if (!row.isStarted) {
          row.isStarted = await this.#writeStatus(wave, row, WaveState.Running);
        }
        await this.#advance(wave, row, cordons);
      }
    }
    return cordons;
  }

  #getRow({ number }: MaintenanceWave): WaveRow {
    const existingRow = this.#rows.get(number);
    if (existingRow !== undefined) {
      return existingRow;
    }
    const row: WaveRow = {
      done: new Set(),
      down: new Map(),
      seenAtMs: this.#context.clock.getWallTime(),
      isReported: false,
      isStarted: false,
    };
    this.#rows.set(number, row);
    return row;
  }

  async #advance(wave: MaintenanceWave, row: WaveRow, cordons: Map<string, string>): Promise<void> {
    const { clock, bounds } = this.#context;
    const changed = row;
    const byName = new Map(this.#machines.list().map((machine) => [machine.machine, machine]));
    this.#recordReturns(row, byName);
    const due = wave.machines
      .filter((name) => !row.done.has(name) && byName.has(name))
      .map((name) => byName.get(name) as CloudHost);
    const downCount = this.#countDown(wave, row, byName);
    if (due.length === 0 && downCount === 0) {
      changed.isReported = await this.#writeStatus(wave, row, WaveState.Completed);
      return;
    }
    const { maintenanceStarts, drains, stops } = decideMaintenance({
      remainingMs: wave.durationMs - (clock.getWallTime() - row.seenAtMs),
      maxDown: wave.maxDown,
      downCount,
      due: due.map((machine) => this.#createDueMachine(machine)),
      maintenanceMs: bounds.maintenanceMs + PREPARATION_MS,
    });
    drains.forEach((name) => this.#drain(wave, byName.get(name) as CloudHost, cordons));
    stops.forEach((name) => this.#stopRuns(wave, byName.get(name) as CloudHost));
    // Not awaited: a missing answer must not delay the next round.
    maintenanceStarts.forEach((name) => {
      void this.#startMaintenance(wave, row, byName.get(name) as CloudHost);
    });
  }

  /** Removes machines that are up again after their maintenance from those that are down. */
  #recordReturns({ down, done }: WaveRow, byName: ReadonlyMap<string, CloudHost>): void {
    [...down].forEach(([name, isAnswered]) => {
      const isBack = byName.get(name)?.state === CloudHostState.Up || !byName.has(name);
      if (isBack && !this.#machines.isPending(name)) {
        down.delete(name);
        // Without an answer the maintenance is ordered again, which has no effect if it was carried out.
        if (isAnswered) {
          done.add(name);
        }
      }
    });
  }

  #countDown(
    { machines }: MaintenanceWave,
    { down }: WaveRow,
    byName: ReadonlyMap<string, CloudHost>,
  ): number {
    return machines.filter(
      (name) => down.has(name) || byName.get(name)?.state === CloudHostState.Maintenance,
    ).length;
  }

  #createDueMachine(machine: CloudHost): DueMachine {
    const host = this.#machines.findHost(machine);
    const isSpare = this.#machines.isSpare(machine);
    return {
      machine: machine.machine,
      isSpare,
      isUp: this.#machines.isAvailable(machine) && (isSpare || host?.isReconciled === true),
      isIdle: host?.isIdle === true,
      hasLongRunning: host !== null && listLongRunning(host).length > 0,
      usedCpuMillis: host?.getUsedResources().cpuMillis ?? 0,
      isDraining: host?.isCordoned === true,
    };
  }

  #drain({ number }: MaintenanceWave, machine: CloudHost, cordons: Map<string, string>): void {
    const host = this.#machines.findHost(machine);
    if (host !== null) {
      cordons.set(host.incarnation.id, `maintenance in wave ${number}`);
      if (host.isCordoned) {
        stopLongRunning(this.#context, host, `maintenance in wave ${number}`);
      }
    }
  }

  /** Stops the runs that keep a drained machine from its maintenance; their tasks start elsewhere. */
  #stopRuns({ number }: MaintenanceWave, machine: CloudHost): void {
    const host = this.#machines.findHost(machine);
    if (host?.isCordoned === true) {
      [...host.runs.values()]
        .filter(({ phase, task }) => phase === RunPhase.Running && !task.step.spec.isLasting)
        .forEach((run) => this.#context.stopRun(run, `wave ${number} would be late`));
    }
  }

  async #startMaintenance(wave: MaintenanceWave, row: WaveRow, machine: CloudHost): Promise<void> {
    const host = this.#machines.findHost(machine);
    if (host !== null) {
      if (!host.isIdle) {
        return;
      }
      host.isCordoned = true;
    }
    row.down.set(machine.machine, false);
    const isDone = await this.#machines.startMaintenance(machine, wave.number);
    if (!isDone && !this.#machines.isPending(machine.machine)) {
      row.down.delete(machine.machine);
      return;
    }
    if (isDone) {
      row.down.set(machine.machine, true);
      if (host !== null) {
        this.#recordDeparture(host.incarnation.id, 'went down for maintenance');
      }
      await this.#writeStatus(wave, row, null);
    }
  }

  /** Stores the progress of a wave and, when it changes, the state shown to the operator. */
  async #writeStatus(
    { number, machines }: MaintenanceWave,
    row: WaveRow,
    state: WaveState | null,
  ): Promise<boolean> {
    const { ownership, term, codec, logger, metrics } = this.#context;
    const done = machines.filter((name) => row.done.has(name) || row.down.get(name) === true);
    const isReported = state === WaveState.Completed;
    const reply = await ownership.commit(
      term,
      [],
      [
        {
          table: WAVES_TABLE,
          key: String(number),
          value: { done, seenAtMs: row.seenAtMs, isReported },
        },
        ...(state === null
          ? []
          : [
              {
                table: codec.statusTable,
                key: codec.getWaveStatusKey(number),
                value: codec.encodeWaveStatus(state),
              },
            ]),
      ],
    );
    metrics.waveMachines.set({ wave: number, state: 'done' }, done.length);
    metrics.waveMachines.set({ wave: number, state: 'all' }, machines.length);
    logger.recordInfo('wave-progress', {
      wave: number,
      state,
      done: done.length,
      of: machines.length,
      isStored: reply.ok,
    });
    return reply.ok;
  }
}
