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
  FENCE_STAGGER_MS,
  HEARTBEAT_READ_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
  HOST_LIST_READ_INTERVAL_MS,
  MAX_HOST_LIST_LAG_MS,
  MONITOR_INTERVAL_MS,
  REPORT_TTL_MS,
} from './BaobabwellMembershipConstants';
import { FenceEvidence } from './BaobabwellMembershipService';

/** Dependencies of {@link MembershipMonitor}. */
export type MembershipMonitorDependencies = {
  readonly service: MembershipService;
  readonly store: ViewStore;
  readonly quorum: ViewQuorum;
  readonly heartbeats: HeartbeatRows;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly identity: MemberIdentity;
  /** Called at each check, for further checks at the same interval. */
  readonly onCheck: () => void;
};

type ReachabilityReport = {
  readonly from: MemberIncarnation;
  readonly unreachable: readonly string[];
  readonly at: number;
};

type HeartbeatObservation = {
  readonly rowVersion: number;
  /** Monotonic time at which the read that first returned this version was sent. */
  readonly since: number;
};

/**
 * Detects and fences failed members. A member is fenced when a majority cannot reach it and its
 * heartbeat row no longer changes, or when its host is missing from the host list.
 */
export class MembershipMonitor {
  readonly #dependencies: MembershipMonitorDependencies;

  readonly #stopped = new AbortController();

  readonly #reports = new Map<string, ReachabilityReport>();

  readonly #heartbeats = new Map<string, HeartbeatObservation>();

  #heartbeatsReadAt = Number.NEGATIVE_INFINITY;

  #hostListReadAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which each incarnation was first observed among the members. */
  readonly #memberSince = new Map<string, number>();

  constructor(dependencies: MembershipMonitorDependencies) {
    this.#dependencies = dependencies;
  }

  /** Records which members a peer cannot reach. */
  recordReport(from: MemberIncarnation, unreachable: readonly string[]): void {
    this.#reports.set(from.id, { from, unreachable, at: this.#dependencies.clock.getNow() });
  }

  /** Checks the members periodically until {@link stop} is called. */
  async run(): Promise<void> {
    const { clock, onCheck } = this.#dependencies;
    while (!this.#stopped.signal.aborted) {
      onCheck();
      await this.#checkMembers();
      await clock.wait(MONITOR_INTERVAL_MS, this.#stopped.signal);
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }

  /** Lists the members that a majority cannot reach. */
  listSuspected(): readonly Member[] {
    const members = this.#listMembers();
    const majority = getMajority(members.length);
    return members.filter(({ id }) => this.#countReports(id) >= majority);
  }

  async #checkMembers(): Promise<void> {
    this.#updateMemberSince();
    const unreachable = this.#dependencies.quorum.listUnreachable();
    if (unreachable.length === 0) {
      this.#heartbeats.clear();
      return;
    }
    await this.#readHeartbeats();
    const suspected = this.listSuspected().find((member) => this.#hasHeartbeatTimedOut(member));
    if (suspected !== undefined && this.#isSelfMember()) {
      const reason = 'unreachable for a majority';
      await this.#dependencies.service.fence([suspected], reason, FenceEvidence.Suspicion);
    }
    await this.#fenceUnlisted(unreachable);
  }

  async #readHeartbeats(): Promise<void> {
    const { heartbeats, quorum, clock } = this.#dependencies;
    if (clock.getNow() < this.#heartbeatsReadAt + HEARTBEAT_READ_INTERVAL_MS) {
      return;
    }
    this.#heartbeatsReadAt = clock.getNow();
    const sentAt = clock.getNow();
    const rows = await heartbeats.list();
    rows?.forEach((row) => {
      quorum.recordAcknowledgement(row);
      if (this.#heartbeats.get(row.id)?.rowVersion !== row.rowVersion) {
        this.#heartbeats.set(row.id, { rowVersion: row.rowVersion, since: sentAt });
      }
    });
  }

  #hasHeartbeatTimedOut({ id }: Member): boolean {
    const { clock } = this.#dependencies;
    const since = this.#heartbeats.get(id)?.since;
    const fencingOrder = this.#listMembers()
      .filter((member) => !this.#isUnreachable(member))
      .findIndex((member) => member.id === this.#dependencies.identity.id);
    const timeoutMs = HEARTBEAT_TIMEOUT_MS + Math.max(0, fencingOrder) * FENCE_STAGGER_MS;
    return since !== undefined && clock.getNow() >= since + timeoutMs;
  }

  /** Fences, in one change, the unreachable members whose hosts are missing from the host list. */
  async #fenceUnlisted(unreachable: readonly string[]): Promise<void> {
    const { hostList, clock, identity, service } = this.#dependencies;
    if (clock.getNow() < this.#hostListReadAt + HOST_LIST_READ_INTERVAL_MS) {
      return;
    }
    this.#hostListReadAt = clock.getNow();
    const hosts = await hostList.list();
    const listed = new Set(hosts.ok ? hosts.value.map(({ id }) => id) : []);
    // A list without this entry's own host is not a list of entry hosts.
    if (!listed.has(identity.id)) {
      return;
    }
    const unlisted = this.#listMembers().filter(
      (member) =>
        unreachable.includes(member.id) &&
        !listed.has(member.id) &&
        this.#isPastHostListLag(member),
    );
    if (unlisted.length > 0) {
      await service.fence(unlisted, 'host no longer listed', FenceEvidence.External);
    }
  }

  #updateMemberSince(): void {
    const now = this.#dependencies.clock.getNow();
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

  #isPastHostListLag({ id, incarnation }: Member): boolean {
    const since = this.#memberSince.get(`${id}.${incarnation}`);
    return since !== undefined && this.#dependencies.clock.getNow() >= since + MAX_HOST_LIST_LAG_MS;
  }

  #countReports(id: string): number {
    const minReportedAt = this.#dependencies.clock.getNow() - REPORT_TTL_MS;
    const view = this.#dependencies.store.get();
    const reports = [...this.#reports.values()].filter(
      ({ from, at, unreachable }) =>
        at >= minReportedAt && isMember(view, from) && unreachable.includes(id),
    );
    const isUnreachableHere =
      this.#isSelfMember() && this.#dependencies.quorum.listUnreachable().includes(id);
    return reports.length + (isUnreachableHere ? 1 : 0);
  }

  #isUnreachable({ id }: Member): boolean {
    return this.#dependencies.quorum.listUnreachable().includes(id);
  }

  #isSelfMember(): boolean {
    return isMember(this.#dependencies.store.get(), this.#dependencies.identity);
  }

  #listMembers(): readonly Member[] {
    return this.#dependencies.store.get().list(EntityKind.Member);
  }
}
