import type { EmulatedFleet } from '@baobabwell/emulator';
import type { Host, Mutation, ViewChange } from '@baobabwell/model';

import { IDENTITY, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind, FleetView, HostState } from '@baobabwell/model';
import { LedgerEvent } from '@baobabwell/stand-ins';
import { checkInvariant } from '@baobabwell/utils';

const LOG_TABLE = 'view-log';
/** Time from a reply to an operator until no entry acts against it any more. */
const IN_FORCE_MS = 4_000;
/** Time after which a dead host has failed enough probes to count as out. */
const KNOWN_DEAD_MS = 6_000;

/** Something that an operator was told has been done. */
export type AcceptedCommand = {
  readonly version: number;
  readonly text: string;
};

/** A call as its caller made it. */
export type TrackedCall = { readonly queue: string; readonly team: string };

/** Watches a fleet from outside: its log, its workers' ledgers, and what operators were told. */
export class FleetOracle {
  readonly #fleet: EmulatedFleet;

  /** Replayed from the log, apart from every entry. */
  #view: FleetView = FleetView.EMPTY;

  #rowVersion = 0;

  readonly #changes = new Map<number, ViewChange>();

  readonly #versions = new Map<string, number>();

  readonly #calls = new Map<string, TrackedCall>();

  /** Teams whose only key is withdrawn, and targets that are retired, with the time of the reply. */
  readonly #endedTeams = new Map<string, number>();

  readonly #endedQueues = new Map<string, number>();

  /** Hosts that a fault holds down, and since when. */
  readonly #deadSince = new Map<string, number>();

  #ledgerSeen = 0;

  constructor(fleet: EmulatedFleet) {
    this.#fleet = fleet;
  }

  /** The fleet as the log says. */
  getView(): FleetView {
    return this.#view;
  }

  /** Records that a call was made. */
  recordCall(id: string, call: TrackedCall): void {
    this.#calls.set(id, call);
  }

  /** Records that a fault holds a host down, or lets it go. */
  recordDead(host: string, isDead: boolean): void {
    if (!isDead) {
      this.#deadSince.delete(host);
    } else if (!this.#deadSince.has(host)) {
      this.#deadSince.set(host, this.#fleet.time.getNow());
    }
  }

  /** Records that the key of a team was withdrawn. */
  recordWithdrawal(team: string): void {
    this.#endedTeams.set(team, this.#fleet.time.getNow());
  }

  /** Records that the target behind a queue was retired. */
  recordRetirement(queue: string): void {
    this.#endedQueues.set(queue, this.#fleet.time.getNow());
  }

  /** Checks all invariants. */
  check(): void {
    this.#readLog();
    this.#checkEntries();
    this.#checkLedger();
    this.#checkReboots();
  }

  /** Checks that a change that an operator was told of stands in the log as given. */
  checkAccepted({ version, text }: AcceptedCommand): void {
    const change = this.#changes.get(version);
    checkInvariant(change !== undefined, `version ${version} (${text}) is not in the log`);
    checkInvariant(change.command === text, `version ${version} is ${change.command}, not ${text}`);
  }

  /** Checks that every running entry holds what the log says. */
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
    const what = `version ${version} (${command})`;
    const isTakenOut = before.state === HostState.Serving && host.state === HostState.Draining;
    const isRebooted = before.state !== host.state && host.state === HostState.Rebooting;
    if (isTakenOut || isRebooted) {
      this.#checkBudget(after, before.pool, what);
    }
    if (before.pool !== host.pool) {
      const isOut = before.state === HostState.Drained || before.state === HostState.Failed;
      checkInvariant(isOut, `${what}: ${id} moves while it is ${before.state}`);
      checkInvariant(before.movingTo === host.pool, `${what}: ${id} was not to move there`);
    }
    const isEmptied = before.state === HostState.Draining && host.state === HostState.Drained;
    if (isEmptied || isRebooted) {
      const running = this.#fleet.getWorker(id).getRunningCount();
      checkInvariant(running === 0, `${what}: ${running} tasks run on ${id}`);
    }
  }

  #checkBudget(after: FleetView, poolId: string, what: string): void {
    const pool = after.get(EntityKind.Pool, poolId);
    const now = this.#fleet.time.getNow();
    const serving = after.listHosts(poolId).filter(({ id, state }) => {
      const deadSince = this.#deadSince.get(id) ?? Number.POSITIVE_INFINITY;
      return state === HostState.Serving && now - deadSince < KNOWN_DEAD_MS;
    });
    const needed = pool?.minimumServing ?? 0;
    checkInvariant(
      serving.length >= needed,
      `${what}: pool ${poolId} has ${serving.length} serving hosts and needs ${needed}`,
    );
  }

  #checkEntries(): void {
    this.#fleet.listEntries().forEach((entry) => {
      const { incarnation: life } = this.#fleet.getService(entry, IDENTITY);
      const { version } = this.#fleet.getService(entry, VIEW_STORE).get();
      const before = this.#versions.get(life) ?? 0;
      checkInvariant(version >= before, `${entry} went back from ${before} to ${version}`);
      checkInvariant(
        version <= this.#view.version,
        `${entry} holds version ${version}, the log ${this.#view.version}`,
      );
      this.#versions.set(life, version);
    });
  }

  #checkLedger(): void {
    const lines = this.#fleet.listLedger();
    lines
      .slice(this.#ledgerSeen)
      .filter(({ event }) => event === LedgerEvent.Started)
      .forEach(({ taskId, team, at }) => {
        const call = this.#calls.get(taskId.slice(0, taskId.lastIndexOf('.')));
        const teamEnd = this.#endedTeams.get(team) ?? Number.POSITIVE_INFINITY;
        const queueEnd = this.#endedQueues.get(call?.queue ?? '') ?? Number.POSITIVE_INFINITY;
        checkInvariant(at <= teamEnd + IN_FORCE_MS, `${taskId} ran with a withdrawn key`);
        checkInvariant(at <= queueEnd + IN_FORCE_MS, `${taskId} ran on a retired target`);
      });
    this.#ledgerSeen = lines.length;
  }

  #checkReboots(): void {
    this.#fleet.listWorkers().forEach((worker) => {
      const cut = worker.countInterruptedByReboot();
      checkInvariant(cut === 0, `the reboot of ${worker.id} cut ${cut} tasks`);
    });
  }
}
