import type { MemberIdentity } from './BaobabwellMembershipIdentity';
import type { MembershipService } from './BaobabwellMembershipService';
import type { Member } from '@baobabwell/model';
import type { HostList } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';
import type { HeartbeatRows, MemberIncarnation, ViewQuorum, ViewStore } from '@baobabwell/view';

import { EntityKind } from '@baobabwell/model';
import { getMajority } from '@baobabwell/view';

import { isMember } from './BaobabwellMembershipChanges';
import {
  FENCE_TURN_MS,
  HOST_LIST_INTERVAL_MS,
  HOST_LIST_LAG_MS,
  ROW_READ_INTERVAL_MS,
  MONITOR_INTERVAL_MS,
  REPORT_KEPT_MS,
  ROW_SILENCE_MS,
} from './BaobabwellMembershipConstants';
import { FenceEvidence } from './BaobabwellMembershipService';

/** What the monitor works with. */
export type MembershipMonitorParts = {
  readonly service: MembershipService;
  readonly store: ViewStore;
  readonly quorum: ViewQuorum;
  readonly heartbeats: HeartbeatRows;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly identity: MemberIdentity;
  /** Runs at each look, for what else has to be watched. */
  readonly onLook: () => void;
};

type Report = {
  readonly from: MemberIncarnation;
  readonly unreachable: readonly string[];
  readonly at: number;
};

type RowWatch = {
  readonly rowVersion: number;
  readonly since: number;
};

/**
 * Finds members that are gone. Several peers have to agree that a member is unreachable, and its
 * heartbeat row has to stand still; or the host list shows its host no more.
 */
export class MembershipMonitor {
  readonly #parts: MembershipMonitorParts;

  readonly #stopped = new AbortController();

  readonly #reports = new Map<string, Report>();

  readonly #rows = new Map<string, RowWatch>();

  #rowsReadAt = Number.NEGATIVE_INFINITY;

  #hostListReadAt = Number.NEGATIVE_INFINITY;

  /** When each life was first seen among the members. */
  readonly #memberSince = new Map<string, number>();

  constructor(parts: MembershipMonitorParts) {
    this.#parts = parts;
  }

  /** Records which members a peer cannot reach. */
  recordReport(from: MemberIncarnation, unreachable: readonly string[]): void {
    this.#reports.set(from.id, { from, unreachable, at: this.#parts.clock.getNow() });
  }

  /** Looks until stopped. */
  async run(): Promise<void> {
    const { clock, onLook } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      onLook();
      await this.#look();
      await clock.wait(MONITOR_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  /** Lists the members that a majority cannot reach. */
  listSuspected(): readonly Member[] {
    const members = this.#listMembers();
    const majority = getMajority(members.length);
    return members.filter(({ id }) => this.#countReports(id) >= majority);
  }

  async #look(): Promise<void> {
    this.#updateMemberSince();
    const unreachable = this.#parts.quorum.listUnreachable();
    if (unreachable.length === 0) {
      this.#rows.clear();
      return;
    }
    await this.#readRows();
    const silent = this.listSuspected().find((member) => this.#isSilent(member));
    if (silent !== undefined && this.#isOwnMember()) {
      const reason = 'silent to a majority';
      await this.#parts.service.fence([silent], reason, FenceEvidence.Suspicion);
    }
    await this.#fenceGone(unreachable);
  }

  async #readRows(): Promise<void> {
    const { heartbeats, quorum, clock } = this.#parts;
    if (clock.getNow() < this.#rowsReadAt + ROW_READ_INTERVAL_MS) {
      return;
    }
    this.#rowsReadAt = clock.getNow();
    const sentAt = clock.getNow();
    const rows = await heartbeats.list();
    rows?.forEach((row) => {
      quorum.recordAcknowledgement(row);
      if (this.#rows.get(row.id)?.rowVersion !== row.rowVersion) {
        this.#rows.set(row.id, { rowVersion: row.rowVersion, since: sentAt });
      }
    });
  }

  #isSilent({ id }: Member): boolean {
    const { clock } = this.#parts;
    const since = this.#rows.get(id)?.since;
    const turn = this.#listMembers()
      .filter((member) => !this.#isUnreachable(member))
      .findIndex((member) => member.id === this.#parts.identity.id);
    const wait = ROW_SILENCE_MS + Math.max(0, turn) * FENCE_TURN_MS;
    return since !== undefined && clock.getNow() >= since + wait;
  }

  /** Fences, all at once, the silent members whose hosts the platform shows no more. */
  async #fenceGone(unreachable: readonly string[]): Promise<void> {
    const { hostList, clock, identity, service } = this.#parts;
    if (clock.getNow() < this.#hostListReadAt + HOST_LIST_INTERVAL_MS) {
      return;
    }
    this.#hostListReadAt = clock.getNow();
    const hosts = await hostList.list();
    const listed = new Set(hosts.ok ? hosts.value.map(({ id }) => id) : []);
    // A list that does not show this entry's own host is no list of entry hosts.
    if (!listed.has(identity.id)) {
      return;
    }
    const gone = this.#listMembers().filter(
      (member) =>
        unreachable.includes(member.id) && !listed.has(member.id) && this.#isLongKnown(member),
    );
    if (gone.length > 0) {
      await service.fence(gone, 'host no longer listed', FenceEvidence.Outside);
    }
  }

  #updateMemberSince(): void {
    const now = this.#parts.clock.getNow();
    const keys = new Set(this.#listMembers().map(({ id, incarnation }) => `${id}.${incarnation}`));
    keys.forEach((key) => {
      this.#memberSince.set(key, this.#memberSince.get(key) ?? now);
    });
    this.#memberSince.forEach((_since, key) => {
      if (!keys.has(key)) {
        this.#memberSince.delete(key);
      }
    });
  }

  #isLongKnown({ id, incarnation }: Member): boolean {
    const since = this.#memberSince.get(`${id}.${incarnation}`);
    return since !== undefined && this.#parts.clock.getNow() >= since + HOST_LIST_LAG_MS;
  }

  #countReports(id: string): number {
    const oldest = this.#parts.clock.getNow() - REPORT_KEPT_MS;
    const view = this.#parts.store.get();
    const reports = [...this.#reports.values()].filter(
      ({ from, at, unreachable }) =>
        at >= oldest && isMember(view, from) && unreachable.includes(id),
    );
    const isUnreachableHere =
      this.#isOwnMember() && this.#parts.quorum.listUnreachable().includes(id);
    return reports.length + (isUnreachableHere ? 1 : 0);
  }

  #isUnreachable({ id }: Member): boolean {
    return this.#parts.quorum.listUnreachable().includes(id);
  }

  #isOwnMember(): boolean {
    return isMember(this.#parts.store.get(), this.#parts.identity);
  }

  #listMembers(): readonly Member[] {
    return this.#parts.store.get().list(EntityKind.Member);
  }
}
