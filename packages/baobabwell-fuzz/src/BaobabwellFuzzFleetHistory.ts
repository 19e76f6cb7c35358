import type { AcceptedCommand } from './BaobabwellFuzzFleetOracle';
import type { FleetStep } from './BaobabwellFuzzFleetSteps';
import type { OperatorService } from '@baobabwell/operations';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';
import { OPERATOR_SERVICE } from '@baobabwell/entry';
import { NO_PLATFORM_FAULTS, NO_WORKER_FAULTS } from '@baobabwell/stand-ins';
import { ChangeStage } from '@baobabwell/view';

import { FleetOracle } from './BaobabwellFuzzFleetOracle';
import { FLEET_ENTRIES, FLEET_HOSTS, FLEET_POOLS, FleetStepKind } from './BaobabwellFuzzFleetSteps';

const TEAMS = ['guilds', 'crews'] as const;
const QUEUES = ['ovens', 'doors'] as const;
const MINIMUM_SERVING = 3;
const LIMIT = 20;
const BOOT_MS = 3_000;
const CALLS_PER_STEP = 4;
const MAX_RUN_MS = 2_500;
const CALL_TIMEOUT_MS = 20_000;
const CHECK_INTERVAL_MS = 500;
const SLOW_MS = 400;
const LOST_ANSWER_FRACTION = 0.5;
const RECOVERY_MS = 40_000;
const PLATFORM = 'platform';

/** Gives each team a single queue, which a split requires, and plans the split. */
const SETUP_COMMANDS = [
  'change queue ovens teams = (guilds)',
  'change queue doors teams = (crews)',
  'plan split day targets = (doors), pools = (doors), teams = (crews)',
];

/** Modifies the operator service of an entry; for tests that inject a defect. */
export type OperatorServiceHook = (service: OperatorService) => void;

/** Runs one history on a small fleet. */
export class FleetHistory {
  readonly #fleet: EmulatedFleet;

  readonly #oracle: FleetOracle;

  readonly #entries: readonly string[];

  readonly #prepare: OperatorServiceHook;

  #accepted: AcceptedCommand[] = [];

  #waves = 0;

  #calls = 0;

  constructor(seed: number, prepare: OperatorServiceHook) {
    const settings = buildEmulatedSettings({
      entries: FLEET_ENTRIES,
      pools: FLEET_POOLS.map((id) => ({
        id,
        workers: FLEET_HOSTS,
        minimumServing: id === 'spare' ? 0 : MINIMUM_SERVING,
        spare: id === 'spare',
        workersPerRack: 1,
      })),
      teams: TEAMS.map((id) => ({ id, share: 1, limit: LIMIT })),
    });
    this.#fleet = new EmulatedFleet(settings, seed);
    this.#oracle = new FleetOracle(this.#fleet);
    this.#entries = settings.entries.map(({ id }) => id);
    this.#prepare = prepare;
  }

  /** Starts all entries. */
  async start(): Promise<void> {
    this.#fleet.listWorkers().forEach((worker) => worker.setBootTime(BOOT_MS));
    await this.#fleet.startAll();
    this.#entries.forEach((entry) => this.#prepareEntry(entry));
    for (const text of SETUP_COMMANDS) {
      await this.#fleet.settleStatement('entry-1', text);
    }
    await this.#fleet.advance(2_000);
  }

  /** Applies a step, advances time, and checks all invariants at regular intervals. */
  async run(step: FleetStep): Promise<void> {
    this.#sendCalls();
    this.#applyStep(step);
    await this.#advance(step.waitAfterMs);
  }

  /** Ends all faults and checks that the view of every entry equals the log. */
  async finish(): Promise<void> {
    this.#fleet.network.healAll();
    this.#fleet.tables.applyFaults(NO_PLATFORM_FAULTS);
    this.#fleet.listWorkers().forEach((worker) => this.#applyHostDown(worker.id, false));
    this.#entries.forEach((entry) => {
      if (this.#fleet.isPaused(entry)) {
        this.#fleet.resumeEntry(entry);
      }
    });
    await this.#advance(RECOVERY_MS);
    this.#check();
    this.#oracle.checkConverged();
  }

  /** Closes the emulated fleet. */
  close(): void {
    this.#fleet.close();
  }

  async #advance(durationMs: number): Promise<void> {
    const endsAt = this.#fleet.time.getNow() + durationMs;
    while (this.#fleet.time.getNow() < endsAt) {
      const leftMs = endsAt - this.#fleet.time.getNow();
      await this.#fleet.advance(Math.min(CHECK_INTERVAL_MS, leftMs));
      this.#check();
    }
  }

  #check(): void {
    this.#oracle.check();
    const accepted = this.#accepted;
    this.#accepted = [];
    accepted.forEach((command) => this.#oracle.checkAccepted(command));
  }

  #applyStep(step: FleetStep): void {
    this.#applyCommand(step);
    this.#applyHostFault(step);
    this.#applyStoreFault(step);
    this.#applyEntryFault(step);
  }

  #applyCommand(step: FleetStep): void {
    const host = this.#getHost(step);
    const pool = FLEET_POOLS[step.pool] as string;
    const otherPool = FLEET_POOLS[(step.pool + 1) % FLEET_POOLS.length] as string;
    const queue = QUEUES[step.pool % QUEUES.length] as string;
    const team = TEAMS[step.pool % TEAMS.length] as string;
    const wave = `wave-${this.#waves}`;
    switch (step.kind) {
      case FleetStepKind.Drain:
      case FleetStepKind.Reboot:
      case FleetStepKind.Return:
        this.#operate(step.entry, `${step.kind} host ${host}`);
        break;
      case FleetStepKind.Move:
        this.#operate(step.entry, `move host ${host} to ${otherPool}`);
        break;
      case FleetStepKind.Race:
        this.#operate(step.entry, `move host ${host} to ${otherPool}`);
        this.#operate(step.otherEntry, `reboot host ${host}`);
        break;
      case FleetStepKind.StartWave:
        this.#waves += 1;
        this.#operate(step.entry, `start wave wave-${this.#waves} pool = ${pool}`);
        break;
      case FleetStepKind.PauseWave:
        this.#operate(step.entry, `pause wave ${wave}`);
        break;
      case FleetStepKind.ResumeWave:
        this.#operate(step.entry, `resume wave ${wave}`);
        break;
      case FleetStepKind.AbortWave:
        this.#operate(step.entry, `abort wave ${wave}`);
        break;
      case FleetStepKind.StartSplit:
        this.#operate(step.entry, 'start split day');
        break;
      case FleetStepKind.PauseSplit:
        this.#operate(step.entry, 'pause split day');
        break;
      case FleetStepKind.UndoSplit:
        this.#operate(step.entry, 'undo split day');
        break;
      case FleetStepKind.FinishSplit:
        this.#operate(step.entry, 'finish split day');
        break;
      case FleetStepKind.WithdrawKey:
        this.#operate(step.entry, `withdraw key key-${team}`, () =>
          this.#oracle.recordWithdrawal(team),
        );
        break;
      case FleetStepKind.RetireTarget:
        this.#operate(step.entry, `retire target ${queue}`, () =>
          this.#oracle.recordRetirement(queue),
        );
        break;
      default:
    }
  }

  #applyHostFault(step: FleetStep): void {
    if (step.kind === FleetStepKind.HostDown || step.kind === FleetStepKind.HostUp) {
      this.#applyHostDown(this.#getHost(step), step.kind === FleetStepKind.HostDown);
    }
  }

  #applyStoreFault({ kind }: FleetStep): void {
    const { tables } = this.#fleet;
    switch (kind) {
      case FleetStepKind.StoreDown:
        tables.applyFaults({ ...NO_PLATFORM_FAULTS, down: true });
        break;
      case FleetStepKind.StoreSlow:
        tables.applyFaults({ ...NO_PLATFORM_FAULTS, slowMs: SLOW_MS });
        break;
      case FleetStepKind.LoseAnswers:
        tables.applyFaults({ ...NO_PLATFORM_FAULTS, loseAnswers: LOST_ANSWER_FRACTION });
        break;
      case FleetStepKind.StoreHealthy:
        tables.applyFaults(NO_PLATFORM_FAULTS);
        break;
      default:
    }
  }

  #applyEntryFault({ kind, entry: index }: FleetStep): void {
    const entry = this.#entries[index] as string;
    const others = [PLATFORM, ...this.#entries.filter((other) => other !== entry)];
    const isRunning = this.#fleet.listEntries().includes(entry);
    switch (kind) {
      case FleetStepKind.Partition:
        this.#fleet.network.partitionBetween([entry], others);
        break;
      case FleetStepKind.Heal:
        this.#fleet.network.healAll();
        break;
      case FleetStepKind.Start:
        if (!isRunning) {
          void this.#fleet.createEntry(entry).start();
          this.#prepareEntry(entry);
        }
        break;
      case FleetStepKind.Kill:
      case FleetStepKind.Pause:
      case FleetStepKind.Resume:
        if (isRunning) {
          this.#applyToProcess(kind, entry);
        }
        break;
      default:
    }
  }

  #applyToProcess(kind: FleetStepKind, entry: string): void {
    if (kind === FleetStepKind.Kill) {
      this.#fleet.killEntry(entry);
    } else if (kind === FleetStepKind.Pause) {
      this.#fleet.pauseEntry(entry);
    } else if (this.#fleet.isPaused(entry)) {
      this.#fleet.resumeEntry(entry);
    }
  }

  #prepareEntry(entry: string): void {
    this.#prepare(this.#fleet.getService(entry, OPERATOR_SERVICE));
  }

  #applyHostDown(host: string, isDown: boolean): void {
    this.#fleet.getWorker(host).applyFaults({ ...NO_WORKER_FAULTS, down: isDown });
    this.#oracle.recordHostDown(host, isDown);
  }

  #getHost({ host, pool }: FleetStep): string {
    return `${FLEET_POOLS[pool]}-${host + 1}`;
  }

  #operate(index: number, text: string, onAccepted: () => void = () => {}): void {
    const entry = this.#entries[index] as string;
    if (!this.#fleet.listEntries().includes(entry)) {
      return;
    }
    void this.#fleet.runStatement(entry, text).then((reply) => {
      if (reply?.kind === 'changed') {
        this.#accepted.push({ version: reply.version, text });
      }
      // A pending change is not in force yet, so the entries need not act on it.
      if (reply?.kind === 'changed' && reply.progress.stage !== ChangeStage.Pending) {
        onAccepted();
      }
    });
  }

  #sendCalls(): void {
    const { random } = this.#fleet;
    const entries = this.#fleet.listEntries();
    for (let index = 0; index < CALLS_PER_STEP && entries.length > 0; index += 1) {
      const chosen = random.getInteger(QUEUES.length);
      const queue = QUEUES[chosen] as string;
      const team = TEAMS[chosen] as string;
      this.#calls += 1;
      const id = `fuzz-${this.#calls}`;
      this.#oracle.recordCall(id, { queue, team });
      const body = Buffer.from(JSON.stringify({ runMs: random.getInteger(MAX_RUN_MS) }));
      const secret = getTeamSecret(team);
      const call = { id, queue, secret, body, timeoutMs: CALL_TIMEOUT_MS };
      void this.#fleet.call(random.getOneOf(entries), call);
    }
  }
}
