import type { TermContext } from './BaobabwellControllerContext';
import type { EvacuationReport } from './BaobabwellControllerEvacuationReport';
import type { Host } from './BaobabwellControllerHost';
import type { MachineInventory } from './BaobabwellControllerMachineInventory';
import type { Run } from '@baobabwell/jobs';
import type { RelocationHost } from '@baobabwell/placement';
import type { CloudHost } from '@baobabwell/platform';

import { findQueueOfJob } from '@baobabwell/fleet';
import { decideRelocations } from '@baobabwell/placement';
import { CloudHostState } from '@baobabwell/platform';

import { LOAD_LOG_INTERVAL_MS } from './BaobabwellControllerConstants';
import { listEvacuationReports } from './BaobabwellControllerEvacuationReport';
import { countMayMiss, isAvailable, listLongRunning } from './BaobabwellControllerLongRunning';

/** Empties evacuated data centres and reports what is left there. */
export class EvacuationControlLoop {
  readonly #context: TermContext;

  readonly #machines: MachineInventory;

  /** Evacuated zones that the latest report contains. */
  readonly #reportedZones = new Set<string>();

  /** Monotonic time of the latest report, in ms. */
  #reportedAtMs = -Infinity;

  constructor(context: TermContext, machines: MachineInventory) {
    this.#context = context;
    this.#machines = machines;
  }

  /** Has long running tasks start elsewhere, and reports what is left. */
  runRound(): void {
    const { evacuations } = this.#context;
    this.#reportedZones.forEach((zone) => {
      if (!evacuations.isEvacuated(zone)) {
        this.#reportedZones.delete(zone);
        this.#setGauges({ zone, hosts: 0, runs: 0, longRuns: 0 });
      }
    });
    if (evacuations.list().length > 0) {
      this.#relocate();
      this.#recordProgress();
    }
  }

  /**
   * Lists the machines of evacuated data centres on which nothing runs, and which a spare pool can therefore
   * switch off.
   *
   * @param reserved hosts that are drained for other reasons.
   */
  listIdleMachines(reserved: ReadonlyMap<string, string>): readonly CloudHost[] {
    return this.#machines.list().filter((machine) => {
      const host = this.#machines.findHost(machine);
      return (
        host?.isEvacuated === true &&
        host.isIdle &&
        host.listedWorker?.isDraining === false &&
        !reserved.has(host.incarnation.id) &&
        machine.state === CloudHostState.Up &&
        !this.#machines.isPending(machine.machine)
      );
    });
  }

  #relocate(): void {
    const { hosts, clock, stopRun } = this.#context;
    const nowMs = clock.getNow();
    const leaving = new Map<Run, string>();
    const usable = new Map<string, RelocationHost[]>();
    hosts.forEach((host, id) => {
      if (host.isEvacuated) {
        this.#listLeaving(host).forEach((run) => leaving.set(run, host.pool));
      } else if (host.canTakeWork(nowMs)) {
        const poolHosts = usable.get(host.pool) ?? [];
        const labels = host.listedWorker?.labels ?? [];
        poolHosts.push({ id, labels, freeResources: host.getFreeResources() });
        usable.set(host.pool, poolHosts);
      }
    });
    const stopped = new Set(
      decideRelocations({
        leaving: [...leaving].map(([{ task }, pool]) => ({ task, pool })),
        hosts: usable,
        countMayMiss: (step) => countMayMiss(this.#context, step),
      }),
    );
    leaving.forEach((_, run) => {
      if (stopped.has(run.task)) {
        stopRun(run, 'the data centre is evacuated');
      }
    });
  }

  /**
   * Lists the runs that are to leave a host. Members of a gang stay: a stop ends all of them. So do tasks
   * whose hosts an advisor chooses: it may allow no other host with room.
   */
  #listLeaving(host: Host): readonly Run[] {
    const configuration = this.#context.getConfiguration();
    return listLongRunning(host).filter(
      ({ task }) =>
        !task.step.spec.isGang &&
        isAvailable(this.#context, task) &&
        findQueueOfJob(configuration, task.step.job.record)?.advice === null,
    );
  }

  /** Logs what is left in evacuated data centres, at most once a second. */
  #recordProgress(): void {
    const { clock, logger, evacuations } = this.#context;
    const nowMs = clock.getNow();
    const isDue = evacuations.list().some(({ zone }) => !this.#reportedZones.has(zone));
    if (!isDue && nowMs - this.#reportedAtMs < LOAD_LOG_INTERVAL_MS) {
      return;
    }
    this.#reportedAtMs = nowMs;
    listEvacuationReports(this.#context).forEach((report) => {
      this.#reportedZones.add(report.zone);
      this.#setGauges(report);
      logger.recordInfo('evacuation-progress', report);
    });
  }

  #setGauges({ zone, hosts, runs, longRuns }: Omit<EvacuationReport, 'ageMs'>): void {
    const { evacuations } = this.#context.metrics;
    evacuations.set({ zone, left: 'hosts' }, hosts);
    evacuations.set({ zone, left: 'runs' }, runs);
    evacuations.set({ zone, left: 'long-runs' }, longRuns);
  }
}
