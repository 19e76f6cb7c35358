import type { TrackedKey } from './BaobabwellFuzzViewOracle';
import type { ViewStep } from './BaobabwellFuzzViewSteps';
import type { OperatorReply } from '@baobabwell/operations';
import type { IAsyncProperty } from 'fast-check';

import { array, asyncProperty, integer } from 'fast-check';

import { buildEmulatedSettings, EmulatedFleet, getTeamSecret } from '@baobabwell/emulator';

import { FuzzSuite } from './BaobabwellFuzz';
import { ViewOracle } from './BaobabwellFuzzViewOracle';
import {
  buildStoreFaults,
  StoreCondition,
  VIEW_ENTRIES,
  viewStepArbitrary,
} from './BaobabwellFuzzViewSteps';

const MAX_STEPS = 40;
const CHECK_INTERVAL_MS = 50;
const SETTLE_MS = 4_000;
const RECOVERY_MS = 45_000;
const MAX_SEED = 1_000_000;

/** Injects a defect into an entry, to show that the oracle detects it. */
export type FaultInjector = (fleet: EmulatedFleet, entry: string) => void;

function isAccepted(reply: OperatorReply | null): boolean {
  return reply?.kind === 'changed' && reply.progress.stage !== 'pending';
}

function parseKey(reply: OperatorReply | null): TrackedKey[] {
  const notes = reply?.kind === 'changed' ? reply.notes : [];
  const find = (name: string): string | undefined =>
    notes.find((note) => note.startsWith(`${name} `))?.slice(name.length + 1);
  const [id, secret] = [find('key'), find('secret')];
  return id === undefined || secret === undefined
    ? []
    : [
        {
          id,
          secret,
          withdrawnAt: null,
          isWithdrawalRequested: false,
          isGrantAccepted: isAccepted(reply),
        },
      ];
}

/** Runs one history on a separate deployment. */
class ViewHistoryRun {
  readonly #fleet: EmulatedFleet;

  readonly #oracle: ViewOracle;

  readonly #injectFault: FaultInjector;

  constructor(seed: number, injectFault: FaultInjector) {
    const settings = buildEmulatedSettings({
      entries: VIEW_ENTRIES,
      pools: [{ id: 'ovens', workers: 1, minimumServing: 0 }],
      teams: [{ id: 'guilds', share: 1, limit: 8 }],
    });
    this.#fleet = new EmulatedFleet(settings, seed);
    this.#oracle = new ViewOracle(this.#fleet);
    this.#injectFault = injectFault;
    this.#oracle.keys.push({
      id: 'key-guilds',
      secret: getTeamSecret('guilds'),
      withdrawnAt: null,
      isWithdrawalRequested: false,
      isGrantAccepted: true,
    });
  }

  async run(steps: readonly ViewStep[]): Promise<void> {
    try {
      for (let entry = 1; entry <= VIEW_ENTRIES; entry += 1) {
        this.#startEntry(this.#getName(entry));
      }
      await this.#advance(SETTLE_MS);
      for (const step of steps) {
        await this.#applyStep(step);
      }
      await this.#recover();
    } finally {
      this.#fleet.close();
    }
  }

  async #applyStep(step: ViewStep): Promise<void> {
    const { network, tables } = this.#fleet;
    switch (step.kind) {
      case 'cut':
        network.partition(this.#getName(step.from), this.#getName(step.to));
        break;
      case 'heal':
        network.healAll();
        break;
      case 'store':
        tables.applyFaults(buildStoreFaults(step.condition));
        break;
      case 'advance':
        await this.#advance(step.durationMs);
        break;
      case 'grant':
        this.#grant(this.#getName(step.entry));
        break;
      case 'withdraw':
        this.#withdraw(this.#getName(step.entry), step.key);
        break;
      default:
        this.#applyToEntry(step.kind, this.#getName(step.entry));
    }
    await this.#advance(CHECK_INTERVAL_MS);
  }

  #applyToEntry(kind: 'pause' | 'resume' | 'kill' | 'start', entry: string): void {
    const isRunning = this.#fleet.listEntries().includes(entry);
    if (kind === 'start' && !isRunning) {
      this.#startEntry(entry);
    }
    if (kind === 'kill' && isRunning) {
      this.#fleet.killEntry(entry);
    }
    if (kind === 'pause' && isRunning) {
      this.#fleet.pauseEntry(entry);
    }
    if (kind === 'resume' && isRunning) {
      this.#fleet.resumeEntry(entry);
    }
  }

  #startEntry(entry: string): void {
    const kernel = this.#fleet.createEntry(entry);
    this.#oracle.watch(entry);
    this.#injectFault(this.#fleet, entry);
    void kernel.start();
  }

  #grant(entry: string): void {
    if (this.#fleet.listEntries().includes(entry)) {
      void this.#fleet.runStatement(entry, 'grant key guilds reason "fuzz"').then((reply) => {
        this.#oracle.keys.push(...parseKey(reply));
      });
    }
  }

  #withdraw(entry: string, index: number): void {
    const { keys } = this.#oracle;
    const key = keys[index % keys.length];
    if (key !== undefined && this.#fleet.listEntries().includes(entry)) {
      key.isWithdrawalRequested = true;
      void this.#fleet.runStatement(entry, `withdraw key ${key.id} reason "fuzz"`).then((reply) => {
        key.withdrawnAt ??= isAccepted(reply) ? this.#fleet.time.getNow() : null;
      });
    }
  }

  async #recover(): Promise<void> {
    this.#fleet.network.healAll();
    this.#fleet.tables.applyFaults(buildStoreFaults(StoreCondition.Healthy));
    for (let entry = 1; entry <= VIEW_ENTRIES; entry += 1) {
      this.#applyToEntry('resume', this.#getName(entry));
      this.#applyToEntry('start', this.#getName(entry));
    }
    await this.#advance(RECOVERY_MS);
    this.#oracle.checkRecovered();
  }

  async #advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += CHECK_INTERVAL_MS) {
      await this.#fleet.advance(Math.min(CHECK_INTERVAL_MS, durationMs - passed));
      this.#oracle.check();
    }
  }

  #getName(index: number): string {
    return index === 0 ? 'platform' : `entry-${index}`;
  }
}

/**
 * Runs one history on a separate deployment.
 *
 * @throws {InvariantError} when the history violates an invariant of the view.
 */
export async function runViewHistory(
  seed: number,
  steps: readonly ViewStep[],
  injectFault: FaultInjector = () => {},
): Promise<void> {
  await new ViewHistoryRun(seed, injectFault).run(steps);
}

/** Checks the invariants of the view under partitions, pauses, kills, store faults and changes. */
export class ViewFuzzSuite extends FuzzSuite {
  override readonly name = 'view';

  override createProperty(): IAsyncProperty<unknown> {
    return asyncProperty(
      integer({ min: 1, max: MAX_SEED }),
      array(viewStepArbitrary, { minLength: 1, maxLength: MAX_STEPS, size: 'max' }),
      async (seed, steps) => runViewHistory(seed, steps),
    ) as IAsyncProperty<unknown>;
  }
}
