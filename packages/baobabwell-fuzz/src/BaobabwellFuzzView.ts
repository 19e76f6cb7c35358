import type { KnownKey } from './BaobabwellFuzzViewOracle';
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
  viewStep,
} from './BaobabwellFuzzViewSteps';

const MAX_STEPS = 40;
const SLICE_MS = 50;
const SETTLE_MS = 4_000;
const RECOVERY_MS = 45_000;
const MAX_SEED = 1_000_000;

/** Changes a started entry, to show that the oracle notices. */
export type Sabotage = (fleet: EmulatedFleet, entry: string) => void;

function isAccepted(reply: OperatorReply | null): boolean {
  return reply?.kind === 'changed' && reply.progress.stage !== 'pending';
}

function parseKey(reply: OperatorReply | null): KnownKey[] {
  const notes = reply?.kind === 'changed' ? reply.notes : [];
  const find = (name: string): string | undefined =>
    notes.find((note) => note.startsWith(`${name} `))?.slice(name.length + 1);
  const [id, secret] = [find('key'), find('secret')];
  return id === undefined || secret === undefined
    ? []
    : [{ id, secret, withdrawnAt: null, isDoomed: false, isAccepted: isAccepted(reply) }];
}

/** One history on a deployment of its own. */
class ViewHistoryRun {
  readonly #fleet: EmulatedFleet;

  readonly #oracle: ViewOracle;

  readonly #sabotage: Sabotage;

  constructor(seed: number, sabotage: Sabotage) {
    const settings = buildEmulatedSettings({
      entries: VIEW_ENTRIES,
      pools: [{ id: 'ovens', workers: 1, minimumServing: 0 }],
      teams: [{ id: 'guilds', share: 1, limit: 8 }],
    });
    this.#fleet = new EmulatedFleet(settings, seed);
    this.#oracle = new ViewOracle(this.#fleet);
    this.#sabotage = sabotage;
    this.#oracle.keys.push({
      id: 'key-guilds',
      secret: getTeamSecret('guilds'),
      withdrawnAt: null,
      isDoomed: false,
      isAccepted: true,
    });
  }

  async run(steps: readonly ViewStep[]): Promise<void> {
    try {
      for (let entry = 1; entry <= VIEW_ENTRIES; entry += 1) {
        this.#startEntry(this.#getName(entry));
      }
      await this.#advance(SETTLE_MS);
      for (const step of steps) {
        await this.#apply(step);
      }
      await this.#recover();
    } finally {
      this.#fleet.close();
    }
  }

  async #apply(step: ViewStep): Promise<void> {
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
    await this.#advance(SLICE_MS);
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
    this.#sabotage(this.#fleet, entry);
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
      key.isDoomed = true;
      void this.#fleet.runStatement(entry, `withdraw key ${key.id} reason "fuzz"`).then((reply) => {
        key.withdrawnAt ??= isAccepted(reply) ? this.#fleet.time.getNow() : null;
      });
    }
  }

  async #recover(): Promise<void> {
    this.#fleet.network.healAll();
    this.#fleet.tables.applyFaults(buildStoreFaults(StoreCondition.Sound));
    for (let entry = 1; entry <= VIEW_ENTRIES; entry += 1) {
      this.#applyToEntry('resume', this.#getName(entry));
      this.#applyToEntry('start', this.#getName(entry));
    }
    await this.#advance(RECOVERY_MS);
    this.#oracle.checkRecovered();
  }

  async #advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += SLICE_MS) {
      await this.#fleet.advance(Math.min(SLICE_MS, durationMs - passed));
      this.#oracle.check();
    }
  }

  #getName(index: number): string {
    return index === 0 ? 'platform' : `entry-${index}`;
  }
}

/**
 * Runs one history on a deployment of its own.
 *
 * @throws {InvariantError} when the history breaks a promise of the view.
 */
export async function runViewHistory(
  seed: number,
  steps: readonly ViewStep[],
  sabotage: Sabotage = () => {},
): Promise<void> {
  await new ViewHistoryRun(seed, sabotage).run(steps);
}

/** Cuts, pauses, kills, store faults and changes against the promises of the view. */
export class ViewFuzzSuite extends FuzzSuite {
  override readonly name = 'view';

  override createProperty(): IAsyncProperty<unknown> {
    return asyncProperty(
      integer({ min: 1, max: MAX_SEED }),
      array(viewStep, { minLength: 1, maxLength: MAX_STEPS, size: 'max' }),
      async (seed, steps) => runViewHistory(seed, steps),
    ) as IAsyncProperty<unknown>;
  }
}
