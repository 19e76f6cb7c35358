import type { EmulatedFleet } from '@baobabwell/emulator';
import type { MemberIncarnation } from '@baobabwell/view';

import { createHash } from 'node:crypto';

import { FENCE_TRACKER, FRESHNESS, IDENTITY, VIEW_STORE } from '@baobabwell/entry';
import { EntityKind } from '@baobabwell/model';
import { checkInvariant } from '@baobabwell/utils';
import { FRESHNESS_BOUND_MS } from '@baobabwell/view';

/** A key and the replies to operators about its grant and withdrawal. */
export type TrackedKey = {
  readonly id: string;
  readonly secret: string;
  /** Time at which the withdrawal was confirmed to the operator; `null` if it was not. */
  withdrawnAt: number | null;
  /** True once a withdrawal was requested, whether or not it was confirmed. */
  isWithdrawalRequested: boolean;
  /** True when the grant was confirmed to the operator. */
  isGrantAccepted: boolean;
};

/**
 * Tracks the replies to operators and the changes that each entry applied. Checks that the version
 * of an entry never decreases, that all entries apply the same change for a version, that a
 * withdrawn key stops working in time, that no accepted change is lost, and that a released
 * incarnation does no work.
 */
export class ViewOracle {
  readonly keys: TrackedKey[] = [];

  readonly #fleet: EmulatedFleet;

  readonly #transactionByVersion = new Map<number, string>();

  readonly #versionByEntry = new Map<string, number>();

  readonly #violations: string[] = [];

  constructor(fleet: EmulatedFleet) {
    this.#fleet = fleet;
  }

  /** Tracks the changes that an entry applies; called at each start of the entry. */
  watch(entry: string): void {
    this.#versionByEntry.set(entry, 0);
    this.#fleet.getService(entry, VIEW_STORE).registerListener(({ change, isSnapshot }) => {
      const known = this.#transactionByVersion.get(change.version);
      if (!isSnapshot && known !== undefined && known !== change.transactionId) {
        this.#violations.push(
          `${entry} applied a different change as version ${change.version} than others`,
        );
      }
      this.#transactionByVersion.set(change.version, change.transactionId);
    });
  }

  /** Checks the invariants that hold at all times. */
  check(): void {
    this.#fleet.listEntries().forEach((entry) => {
      this.#checkVersion(entry);
      this.#checkIncarnation(entry);
      this.#checkKeys(entry);
    });
    checkInvariant(this.#violations.length === 0, this.#violations.join('; '));
  }

  /** Checks the invariants that hold some time after the end of all faults. */
  checkRecovered(): void {
    this.check();
    this.#fleet.listEntries().forEach((entry) => {
      checkInvariant(
        this.#fleet.getService(entry, FRESHNESS).isCurrent(),
        `${entry} is not current although all faults are over`,
      );
      this.keys.forEach((key) => this.#checkRecoveredKey(entry, key));
    });
  }

  #checkVersion(entry: string): void {
    const { version } = this.#fleet.getService(entry, VIEW_STORE).get();
    const known = this.#versionByEntry.get(entry) ?? 0;
    checkInvariant(version >= known, `${entry} went back from version ${known} to ${version}`);
    this.#versionByEntry.set(entry, version);
  }

  #checkIncarnation(entry: string): void {
    const { id, incarnation } = this.#fleet.getService(entry, IDENTITY);
    if (this.#isWorking(entry)) {
      checkInvariant(
        !this.#isReleased({ id, incarnation }),
        `${entry} works in an incarnation whose holdings were released to others`,
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
          `${entry} accepts key ${key.id}, withdrawn ${now - (key.withdrawnAt ?? 0)} ms ago`,
        );
      });
  }

  #checkRecoveredKey(entry: string, key: TrackedKey): void {
    const hasKey = this.#hasKey(entry, key);
    checkInvariant(key.withdrawnAt === null || !hasKey, `${entry} has key ${key.id} again`);
    checkInvariant(
      key.isWithdrawalRequested || !key.isGrantAccepted || hasKey,
      `${entry} lost the accepted key ${key.id}`,
    );
  }

  #isReleased(member: MemberIncarnation): boolean {
    const fenceId = `${member.id}.${member.incarnation}`;
    return this.#fleet
      .listEntries()
      .filter((entry) => entry !== member.id)
      .some((entry) => {
        const tracker = this.#fleet.getService(entry, FENCE_TRACKER);
        const isFenced =
          this.#fleet.getService(entry, VIEW_STORE).get().get(EntityKind.Fence, fenceId) !== null;
        return isFenced && (tracker.getState(member) as string) === 'released';
      });
  }

  #isWorking(entry: string): boolean {
    return !this.#fleet.isPaused(entry) && this.#fleet.getService(entry, FRESHNESS).isCurrent();
  }

  #hasKey(entry: string, { secret }: TrackedKey): boolean {
    const digest = createHash('sha256').update(secret).digest('hex');
    return this.#fleet.getService(entry, VIEW_STORE).get().findKey(digest) !== null;
  }
}
