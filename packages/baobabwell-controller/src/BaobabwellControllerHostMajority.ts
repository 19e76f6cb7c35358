/**
 * Load pattern: 246 hosts, each held about once a second by a process on one slow core. An answer is
 * recorded in constant time; hosts are counted at most every 100 ms, and only past the owner's lease.
 *
 * A host that has answered a successor refuses the former owner. An owner that cannot renew its own lease
 * therefore renews those on hosts only while two thirds of its hosts answer, and a successor that more
 * than half of the same hosts answered knows that one of them refused the former owner.
 */
import type { Host } from './BaobabwellControllerHost';
import type { Ownership, Term } from '@baobabwell/ownership';
import type { Clock } from '@baobabwell/utils';

import {
  FORMER_OWNER_GRACE_MS,
  MIN_TAKEOVER_MS,
  OWNER_GRACE_MS,
  OWNER_LEASE_MS,
} from '@baobabwell/ownership';

import {
  ANSWER_COUNT_INTERVAL_MS,
  EXPIRY_MARGIN_MS,
  HOST_LEASE_MS,
  KEEP_ALIVE_MS,
  MAX_ANSWER_AGE_MS,
  MAX_CLOCK_DRIFT,
} from './BaobabwellControllerConstants';

/** Longest time from the renewal of a lease on a host until its expiry is certain, in ms. */
const HOST_EXPIRY_MS = HOST_LEASE_MS / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_MS;

/** Time after a takeover by which leases of a former owner that renews none past its grace expired, in ms. */
export const FORMER_LEASE_MS = FORMER_OWNER_GRACE_MS + HOST_EXPIRY_MS;

/** Time after a takeover by which all leases of former owners have expired, in ms. */
export const MAX_FORMER_LEASE_MS =
  OWNER_LEASE_MS + KEEP_ALIVE_MS - MIN_TAKEOVER_MS + HOST_EXPIRY_MS;

/** Time after the answer of a majority by which leases of former owners have expired, in ms. */
const FENCED_LEASE_MS =
  (MAX_ANSWER_AGE_MS + ANSWER_COUNT_INTERVAL_MS) / (1 - MAX_CLOCK_DRIFT) + HOST_EXPIRY_MS;

/** Lease age from which idle hosts are held too, so that their answers count once the grace ends, in ms. */
const HOLD_ALL_LEASE_AGE_MS = OWNER_GRACE_MS - MAX_ANSWER_AGE_MS;

/**
 * Computes the monotonic time by which leases of former owners on hosts that have not answered expired, in
 * ms.
 *
 * @param startedAtMs monotonic time after the takeover from which hosts are called.
 * @param majorityAtMs monotonic time at which more than half of the hosts had answered, or `null`.
 * @param extensionMs time by which these leases may be longer than usual, in ms.
 */
export function computeFormerLeasesEndMs(
  startedAtMs: number,
  majorityAtMs: number | null,
  extensionMs: number,
): number {
  const latestMs = startedAtMs + MAX_FORMER_LEASE_MS;
  const endMs =
    majorityAtMs === null
      ? latestMs
      : Math.min(latestMs, Math.max(startedAtMs + FORMER_LEASE_MS, majorityAtMs + FENCED_LEASE_MS));
  return endMs + extensionMs / (1 - MAX_CLOCK_DRIFT);
}

/** Returns true when the answered hosts are a majority: more than half. */
export function isMajority(answeredCount: number, hostCount: number): boolean {
  return 2 * answeredCount > hostCount;
}

/** Returns true when the answered hosts share a host with every majority: at least two thirds. */
export function isRenewalQuorum(answeredCount: number, hostCount: number): boolean {
  return 3 * answeredCount >= 2 * hostCount;
}

/**
 * Returns true when a host answered a hold call sent after `sinceMs`. Answers of an incarnation that began
 * since the owner's last renewal do not count: the one before it may have answered a successor.
 */
export function hasAnsweredSince(
  { answeredHoldSentAtMs, history }: Pick<Host, 'answeredHoldSentAtMs' | 'history'>,
  sinceMs: number,
  renewedAtMs: number,
): boolean {
  const { restartedAtMs } = history;
  return answeredHoldSentAtMs > sinceMs && (restartedAtMs === null || restartedAtMs < renewedAtMs);
}

/** Counts the hosts that answer an owner, as a former owner and as a successor of one. */
export class HostMajority {
  readonly #clock: Clock;

  readonly #ownership: Ownership;

  readonly #hosts: ReadonlyMap<string, Host>;

  /** Time by which leases of former owners may be longer than usual, in ms. */
  readonly #formerExtensionMs: number;

  /** Hosts stored when the term began that have not answered yet. */
  readonly #silentFormerHosts = new Set<Host>();

  #formerHostCount = 0;

  #majorityAtMs: number | null = null;

  /** Most hosts that may have been stored at once since the owner's lease expired. */
  #hostCount = 0;

  #countedAtMs = -Infinity;

  #hasQuorum = false;

  constructor(options: {
    readonly clock: Clock;
    readonly ownership: Ownership;
    readonly hosts: ReadonlyMap<string, Host>;
    readonly term: Term;
  }) {
    this.#clock = options.clock;
    this.#ownership = options.ownership;
    this.#hosts = options.hosts;
    this.#formerExtensionMs = options.term.formerExtensionMs ?? 0;
  }

  /** Adds a host that was stored when the term began. */
  addFormerHost(host: Host): void {
    this.#silentFormerHosts.add(host);
    this.#formerHostCount += 1;
  }

  /** Records an answer to a hold call; the host refused this owner at no time before it was sent. */
  recordAnswer(answering: Host, sentAtMs: number): void {
    const host = answering;
    host.answeredHoldSentAtMs = sentAtMs;
    if (this.#silentFormerHosts.delete(host) && this.#majorityAtMs === null) {
      const answeredCount = this.#formerHostCount - this.#silentFormerHosts.size;
      this.#majorityAtMs = isMajority(answeredCount, this.#formerHostCount)
        ? this.#clock.getNow()
        : null;
    }
  }

  /** Returns the monotonic time by which leases of former owners on a silent host expired, in ms. */
  getFormerLeasesEndMs({ trackedSinceMs }: Host): number {
    return computeFormerLeasesEndMs(trackedSinceMs, this.#majorityAtMs, this.#formerExtensionMs);
  }

  /** Returns true while hosts on which nothing runs are held too, because the owner cannot renew. */
  shouldHoldAll(): boolean {
    const leaseAgeMs = this.#ownership.getLeaseAgeMs();
    return leaseAgeMs > HOLD_ALL_LEASE_AGE_MS && leaseAgeMs <= OWNER_LEASE_MS + KEEP_ALIVE_MS;
  }

  /** Returns true while this owner may renew leases on hosts. */
  canRenewLeases(): boolean {
    const leaseAgeMs = this.#ownership.getLeaseAgeMs();
    if (leaseAgeMs <= OWNER_GRACE_MS) {
      return true;
    }
    this.updateCounts();
    return this.#hasQuorum && leaseAgeMs <= OWNER_LEASE_MS + KEEP_ALIVE_MS;
  }

  /** Counts the hosts and those that answered, unless it was done just before. */
  updateCounts(): void {
    const nowMs = this.#clock.getNow();
    const leaseAgeMs = this.#ownership.getLeaseAgeMs();
    if (leaseAgeMs <= OWNER_LEASE_MS) {
      this.#hostCount = 0;
      return;
    }
    if (nowMs - this.#countedAtMs < ANSWER_COUNT_INTERVAL_MS) {
      return;
    }
    this.#countedAtMs = nowMs;
    let hostCount = 0;
    let answeredCount = 0;
    this.#hosts.forEach((host) => {
      if (host.mayBeStored) {
        hostCount += 1;
        answeredCount += hasAnsweredSince(host, nowMs - MAX_ANSWER_AGE_MS, nowMs - leaseAgeMs)
          ? 1
          : 0;
      }
    });
    // A host that left since may have answered a successor before.
    this.#hostCount = Math.max(this.#hostCount, hostCount);
    this.#hasQuorum = isRenewalQuorum(answeredCount, this.#hostCount);
  }
}
