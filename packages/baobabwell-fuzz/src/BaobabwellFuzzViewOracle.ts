import type { EmulatedFleet } from '@baobabwell/emulator';
import type { MemberIncarnation } from '@baobabwell/view';

import { createHash } from 'node:crypto';

import { FENCE_TRACKER, FRESHNESS, IDENTITY, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind } from '@baobabwell/model';
import { checkInvariant } from '@baobabwell/utils';
import { FRESHNESS_BOUND_MS } from '@baobabwell/view';

/** A key as the oracle knows it. */
export type KnownKey = {
  readonly id: string;
  readonly secret: string;
  /** When the operator was told that the withdrawal is accepted, or `null`. */
  withdrawnAt: number | null;
  /** True from the moment at which a withdrawal was asked for. */
  isDoomed: boolean;
  /** True when the operator was told that the grant is accepted. */
  isAccepted: boolean;
};

/**
 * Knows what operators were told and what each entry applied, and checks that no entry's version
 * falls, that no version holds two changes, that a withdrawn key dies in time, that nothing
 * accepted is lost, and that a released life does nothing.
 */
export class ViewOracle {
  readonly keys: KnownKey[] = [];

  readonly #fleet: EmulatedFleet;

  readonly #changes = new Map<number, string>();

  readonly #versions = new Map<string, number>();

  readonly #violations: string[] = [];

  constructor(fleet: EmulatedFleet) {
    this.#fleet = fleet;
  }

  /** Watches the changes that an entry applies, from its start on. */
  watch(entry: string): void {
    this.#versions.set(entry, 0);
    this.#fleet.getService(entry, VIEW_STORE).registerListener(({ change, isSnapshot }) => {
      const known = this.#changes.get(change.version);
      if (!isSnapshot && known !== undefined && known !== change.transactionId) {
        this.#violations.push(`${entry} applied another change ${change.version} than others`);
      }
      this.#changes.set(change.version, change.transactionId);
    });
  }

  /** Checks what must hold at every moment. */
  check(): void {
    this.#fleet.listEntries().forEach((entry) => {
      this.#checkVersion(entry);
      this.#checkLife(entry);
      this.#checkKeys(entry);
    });
    checkInvariant(this.#violations.length === 0, this.#violations.join('; '));
  }

  /** Checks what must hold once every fault has been over for some time. */
  checkRecovered(): void {
    this.check();
    this.#fleet.listEntries().forEach((entry) => {
      checkInvariant(
        this.#fleet.getService(entry, FRESHNESS).isCurrent(),
        `${entry} is not current although all faults are over`,
      );
      this.keys.forEach((key) => this.#checkKept(entry, key));
    });
  }

  #checkVersion(entry: string): void {
    const { version } = this.#fleet.getService(entry, VIEW_STORE).get();
    const known = this.#versions.get(entry) ?? 0;
    checkInvariant(version >= known, `${entry} fell from version ${known} to ${version}`);
    this.#versions.set(entry, version);
  }

  #checkLife(entry: string): void {
    const { id, incarnation } = this.#fleet.getService(entry, IDENTITY);
    if (this.#isWorking(entry)) {
      checkInvariant(
        !this.#isReleased({ id, incarnation }),
        `${entry} works in a life whose holdings were given to others`,
      );
    }
  }

  #checkKeys(entry: string): void {
    const now = this.#fleet.time.getNow();
    this.keys
      .filter(({ withdrawnAt }) => withdrawnAt !== null && now > withdrawnAt + FRESHNESS_BOUND_MS)
      .forEach((key) => {
        checkInvariant(
          !this.#isWorking(entry) || !this.#hasKey(entry, key),
          `${entry} takes key ${key.id}, withdrawn ${now - (key.withdrawnAt ?? 0)} ms ago`,
        );
      });
  }

  #checkKept(entry: string, key: KnownKey): void {
    const hasKey = this.#hasKey(entry, key);
    checkInvariant(key.withdrawnAt === null || !hasKey, `${entry} has key ${key.id} again`);
    checkInvariant(
      key.isDoomed || !key.isAccepted || hasKey,
      `${entry} lost the accepted key ${key.id}`,
    );
  }

  #isReleased(life: MemberIncarnation): boolean {
    const fenceId = `${life.id}.${life.incarnation}`;
    return this.#fleet
      .listEntries()
      .filter((entry) => entry !== life.id)
      .some((entry) => {
        const tracker = this.#fleet.getService(entry, FENCE_TRACKER);
        const isFenced =
          this.#fleet.getService(entry, VIEW_STORE).get().get(EntityKind.Fence, fenceId) !== null;
        return isFenced && (tracker.getState(life) as string) === 'released';
      });
  }

  #isWorking(entry: string): boolean {
    return !this.#fleet.isPaused(entry) && this.#fleet.getService(entry, FRESHNESS).isCurrent();
  }

  #hasKey(entry: string, { secret }: KnownKey): boolean {
    const digest = createHash('sha256').update(secret).digest('hex');
    return this.#fleet.getService(entry, VIEW_STORE).get().findKey(digest) !== null;
  }
}
