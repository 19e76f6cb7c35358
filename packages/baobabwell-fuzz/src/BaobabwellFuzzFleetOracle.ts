import type { EmulatedFleet } from '@baobabwell/emulator';
import type { Host, Mutation, ViewChange } from '@baobabwell/model';

import { IDENTITY, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, FleetView, HostState } from '@baobabwell/model';
import { LedgerEvent } from '@baobabwell/stand-ins';
import { checkInvariant } from '@baobabwell/utils';

const LOG_TABLE = 'view-log';
/** Time after the reply to an operator within which all entries must act on the change. */
const IN_FORCE_MS = 4_000;
/** Time after which a host that is down has failed enough probes to count as not serving. */
const FAILURE_DETECTION_MS = 6_000;

/** A command whose change was accepted according to the reply to the operator. */
export type AcceptedCommand = {
  readonly version: number;
  readonly text: string;
};

/** Queue and team of a call. */
export type TrackedCall = { readonly queue: string; readonly team: string };

/** Checks a fleet from outside by its change log, its workers' ledgers and the operators' replies. */
export class FleetOracle {
  readonly #fleet: EmulatedFleet;

  /** View replayed from the log, independent of the entries. */
  #view: FleetView = FleetView.EMPTY;

  #rowVersion = 0;

  readonly #changes = new Map<number, ViewChange>();

  readonly #versionByIncarnation = new Map<string, number>();

  readonly #calls = new Map<string, TrackedCall>();

  /** Time at which the withdrawal of a team's only key was confirmed, by team. */
  readonly #withdrawnTeams = new Map<string, number>();

  /** Time at which the retirement of a queue's target was confirmed, by queue. */
  readonly #retiredQueues = new Map<string, number>();

  /** Hosts that an injected fault keeps down, with the start time of the fault. */
  readonly #downSince = new Map<string, number>();

  #checkedLedgerLines = 0;

  constructor(fleet: EmulatedFleet) {
    this.#fleet = fleet;
  }

  /** Returns the view replayed from the log. */
  getView(): FleetView {
    return this.#view;
  }

  /** Records that a call was made. */
  recordCall(id: string, call: TrackedCall): void {
    this.#calls.set(id, call);
  }

  /** Records that a fault takes a host down, or that the fault ends. */
  recordHostDown(host: string, isDown: boolean): void {
    if (!isDown) {
      this.#downSince.delete(host);
    } else if (!this.#downSince.has(host)) {
      this.#downSince.set(host, this.#fleet.time.getNow());
    }
  }

  /** Records that the key of a team was withdrawn. */
  recordWithdrawal(team: string): void {
    this.#withdrawnTeams.set(team, this.#fleet.time.getNow());
  }

  /** Records that the target behind a queue was retired. */
  recordRetirement(queue: string): void {
    this.#retiredQueues.set(queue, this.#fleet.time.getNow());
  }

  /** Checks all invariants. */
  check(): void {
    this.#readLog();
    this.#checkEntries();
    this.#checkLedger();
    this.#checkReboots();
  }

  /** Checks that the log contains a change that was confirmed to an operator, with its command. */
  checkAccepted({ version, text }: AcceptedCommand): void {
    const change = this.#changes.get(version);
    checkInvariant(change !== undefined, `version ${version} (${text}) is not in the log`);
    checkInvariant(change.command === text, `version ${version} is ${change.command}, not ${text}`);
  }

  /** Checks that the view of every running entry equals the view replayed from the log. */
  checkConverged(): void {
    this.#fleet.listEntries().forEach((entry) => {
      const view = this.#fleet.getService(entry, VIEW_STORE).get();
      checkInvariant(
        JSON.stringify(view.listMutations()) === JSON.stringify(this.#view.listMutations()),
        `${entry} at version ${view.version} differs from the log at ${this.#view.version}`,
      );
    });
  }

  #readLog(): void {
    this.#fleet.tables
      .listRows(LOG_TABLE, this.#rowVersion)
      .filter(({ value }) => value !== null)
      .forEach(({ value, version }) => {
        const change = value as unknown as ViewChange;
        this.#rowVersion = version;
        checkInvariant(
          change.version === this.#view.version + 1,
          `version ${change.version} follows ${this.#view.version} in the log`,
        );
        this.#checkChange(change);
        this.#view = this.#view.apply(change);
        this.#changes.set(change.version, change);
      });
  }

  #checkChange(change: ViewChange): void {
    const after = this.#view.apply(change);
    change.mutations.forEach((mutation) => {
      if (mutation.kind === EntityKind.Host) {
        this.#checkHost(mutation, after, change);
      }
    });
  }

  #checkHost({ id, value }: Mutation, after: FleetView, { version, command }: ViewChange): void {
    const before = this.#view.get(EntityKind.Host, id);
    const host = value as Host | null;
    if (before === null || host === null) {
      return;
    }
    const label = `version ${version} (${command})`;
    const isDrainStarted = before.state === HostState.Serving && host.state === HostState.Draining;
    const isRebootStarted = before.state !== host.state && host.state === HostState.Rebooting;
    if (isDrainStarted || isRebootStarted) {
      this.#checkBudget(after, before.pool, label);
    }
    if (before.pool !== host.pool) {
      const isOut = before.state === HostState.Drained || before.state === HostState.Failed;
      checkInvariant(isOut, `${label}: ${id} moves while it is ${before.state}`);
      checkInvariant(
        before.movingTo === host.pool,
        `${label}: ${id} moved to a pool that is not its destination`,
      );
    }
    const isDrainFinished = before.state === HostState.Draining && host.state === HostState.Drained;
    if (isDrainFinished || isRebootStarted) {
      const running = this.#fleet.getWorker(id).getRunningCount();
      checkInvariant(running === 0, `${label}: ${running} tasks run on ${id}`);
    }
  }

  #checkBudget(after: FleetView, poolId: string, label: string): void {
    const pool = after.get(EntityKind.Pool, poolId);
    const now = this.#fleet.time.getNow();
    const serving = after.listHosts(poolId).filter(({ id, state }) => {
      const downSince = this.#downSince.get(id) ?? Number.POSITIVE_INFINITY;
      return state === HostState.Serving && now - downSince < FAILURE_DETECTION_MS;
    });
    const required = pool?.minimumServing ?? 0;
    checkInvariant(
      serving.length >= required,
      `${label}: pool ${poolId} has ${serving.length} serving hosts and needs ${required}`,
    );
  }

  #checkEntries(): void {
    this.#fleet.listEntries().forEach((entry) => {
      const { incarnation } = this.#fleet.getService(entry, IDENTITY);
      const { version } = this.#fleet.getService(entry, VIEW_STORE).get();
      const before = this.#versionByIncarnation.get(incarnation) ?? 0;
      checkInvariant(
        version >= before,
        `the view of ${entry} went back from version ${before} to ${version}`,
      );
      checkInvariant(
        version <= this.#view.version,
        `${entry} has version ${version}, but the log ends at ${this.#view.version}`,
      );
      this.#versionByIncarnation.set(incarnation, version);
    });
  }

  #checkLedger(): void {
    const lines = this.#fleet.listLedger();
    lines
      .slice(this.#checkedLedgerLines)
      .filter(({ event }) => event === LedgerEvent.Started)
      .forEach(({ taskId, team, at }) => {
        const call = this.#calls.get(taskId.slice(0, taskId.lastIndexOf('.')));
        const keyWithdrawnAt = this.#withdrawnTeams.get(team) ?? Number.POSITIVE_INFINITY;
        const targetRetiredAt =
          this.#retiredQueues.get(call?.queue ?? '') ?? Number.POSITIVE_INFINITY;
        checkInvariant(at <= keyWithdrawnAt + IN_FORCE_MS, `${taskId} ran with a withdrawn key`);
        checkInvariant(at <= targetRetiredAt + IN_FORCE_MS, `${taskId} ran on a retired target`);
      });
    this.#checkedLedgerLines = lines.length;
  }

  #checkReboots(): void {
    this.#fleet.listWorkers().forEach((worker) => {
      const interrupted = worker.countInterruptedByReboot();
      checkInvariant(
        interrupted === 0,
        `the reboot of ${worker.id} interrupted ${interrupted} tasks`,
      );
    });
  }
}
