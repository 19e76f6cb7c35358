import type { TermContext } from './BaobabwellControllerContext';
import type { Evacuation } from './BaobabwellControllerEvacuations';
import type { Host } from './BaobabwellControllerHost';
import type { MachineInventory } from './BaobabwellControllerMachineInventory';
import type { Run } from '@baobabwell/jobs';
import type { RelocationHost } from '@baobabwell/placement';
import type { CloudHost } from '@baobabwell/platform';

import { decideRelocations } from '@baobabwell/placement';
import { CloudHostState } from '@baobabwell/platform';

import { LOAD_LOG_INTERVAL_MS } from './BaobabwellControllerConstants';
import { countMayMiss, isAvailable, listLongRunning } from './BaobabwellControllerLongRunning';

/** What is left in an evacuated data centre. */
type Remainder = {
  readonly hosts: number;
  readonly runs: number;
  readonly longRunning: number;
};

/** Empties evacuated data centres and reports what is left there. */
export class EvacuationControlLoop {
  readonly #context: TermContext;

  readonly #machines: MachineInventory;

  /** Monotonic time of the latest log line on each evacuated zone, in ms. */
  readonly #loggedAtMs = new Map<string, number>();

  constructor(context: TermContext, machines: MachineInventory) {
    this.#context = context;
    this.#machines = machines;
  }

  /** Has long running tasks start elsewhere, and reports what is left. */
  runRound(): void {
    const evacuations = this.#context.evacuations.list();
    if (evacuations.length > 0) {
      this.#relocate();
    }
    this.#loggedAtMs.forEach((_, zone) => {
      if (!this.#context.evacuations.isEvacuated(zone)) {
        this.#loggedAtMs.delete(zone);
        this.#setGauges(zone, { hosts: 0, runs: 0, longRunning: 0 });
      }
    });
    evacuations.forEach((evacuation) => this.#recordProgress(evacuation));
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
    const queues = this.#context.getConfiguration()?.queues ?? [];
    return listLongRunning(host).filter(
      ({ task }) =>
        !task.step.spec.isGang &&
        isAvailable(this.#context, task) &&
        queues.some(({ name, advice }) => name === task.step.job.record.queue && advice === null),
    );
  }

  /** Logs what is left in an evacuated data centre, at most once a second. */
  #recordProgress({ zone, seenAtMs }: Evacuation): void {
    const nowMs = this.#context.clock.getNow();
    if (nowMs - (this.#loggedAtMs.get(zone) ?? -Infinity) < LOAD_LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs.set(zone, nowMs);
    const remainder = this.#getRemainder(zone);
    this.#setGauges(zone, remainder);
    this.#context.logger.recordInfo('evacuation-progress', {
      zone,
      ageMs: Math.round(nowMs - seenAtMs),
      ...remainder,
    });
  }

  #getRemainder(zone: string): Remainder {
    let hosts = 0;
    let runs = 0;
    let longRunning = 0;
    this.#context.hosts.forEach((host) => {
      if (host.listedWorker?.zone === zone) {
        hosts += 1;
        runs += host.runs.size;
        longRunning += host.longRunningCount;
      }
    });
    return { hosts, runs, longRunning };
  }

  #setGauges(zone: string, { hosts, runs, longRunning }: Remainder): void {
    const { evacuations } = this.#context.metrics;
    evacuations.set({ zone, left: 'hosts' }, hosts);
    evacuations.set({ zone, left: 'runs' }, runs);
    evacuations.set({ zone, left: 'long-runs' }, longRunning);
  }
}
