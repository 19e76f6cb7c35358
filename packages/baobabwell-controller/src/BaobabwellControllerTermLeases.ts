import type { TermContext } from './BaobabwellControllerContext';
import type { TermOptions } from './BaobabwellControllerTermOptions';
import type { ReadPage, TermTables } from './BaobabwellControllerTermTables';
import type { Row } from '@baobabwell/platform';
import type { ClockReading } from '@baobabwell/utils';

import { FORMER_OWNER_GRACE_MS, OWNER_GRACE_MS } from '@baobabwell/ownership';
import { getElapsedMs, readClocks } from '@baobabwell/utils';

import {
  HOSTS_TABLE,
  LEASE_KEEP_DELAY_MS,
  MAX_LEASE_KEEP_MS,
  RELEASED_LEASE_KEEP_DELAY_MS,
} from './BaobabwellControllerConstants';
import { Host } from './BaobabwellControllerHost';
import { LeaseKeeper } from './BaobabwellControllerLeaseKeeper';
import { parseHostRow } from './BaobabwellControllerRows';

type LeaseContext = Pick<
  TermContext,
  'clock' | 'hosts' | 'leaseLog' | 'orders' | 'ownership' | 'signal' | 'term'
>;

/** Hosts that are read before a term starts; a former owner may store others since. */
export type EarlyHosts = {
  readonly requestedAt: ClockReading;
  /** Settles with no rows if the store does not answer. */
  readonly rows: Promise<readonly Row[]>;
};

/** Reads the stored hosts once. */
export function readEarlyHosts({
  store,
  clock,
  logger,
}: Pick<TermOptions, 'store' | 'clock' | 'logger'>): EarlyHosts {
  const readRows = async (): Promise<readonly Row[]> => {
    const page = await store.list({ table: HOSTS_TABLE });
    if (!page.ok) {
      logger.recordWarning('store-read-failed', { table: HOSTS_TABLE, reason: page.error.kind });
    }
    return page.ok ? page.value.rows : [];
  };
  return { requestedAt: readClocks(clock), rows: readRows() };
}

/** Renews the leases on hosts in a term before it is loaded and after its release. */
export class TermLeases {
  readonly #context: LeaseContext;

  /** Hosts whose leases are renewed before the term is loaded. */
  readonly #formerHosts = new Map<string, Host>();

  #keeper: LeaseKeeper | null = null;

  #isLoaded = false;

  constructor(context: LeaseContext) {
    this.#context = context;
  }

  /**
   * Reads the stored hosts, and renews the leases on them until the term is loaded; on those that were read
   * before it started, from its start on.
   */
  async loadHosts(
    tables: TermTables,
    startedAt: ClockReading,
    earlyHosts: EarlyHosts | null,
  ): Promise<ReadPage | null> {
    const { term, signal } = this.#context;
    void this.#keepEarlyHosts(startedAt, earlyHosts);
    const [page = null] = await tables.readAll([{ table: HOSTS_TABLE }], term.startVersion);
    if (page !== null && !signal.aborted) {
      void this.#keepUntilLoaded(page.rows, startedAt, startedAt);
    }
    return page;
  }

  async #keepEarlyHosts(startedAt: ClockReading, earlyHosts: EarlyHosts | null): Promise<void> {
    const rows = (await earlyHosts?.rows) ?? [];
    if (earlyHosts !== null && rows.length > 0) {
      const { wasReleased } = this.#context.term;
      const delayedFrom = wasReleased === true ? startedAt : earlyHosts.requestedAt;
      await this.#keepUntilLoaded(rows, startedAt, delayedFrom);
    }
  }

  /** Ends the renewals before the term is loaded; the sessions of the hosts renew from now on. */
  finishLoad(): void {
    this.#isLoaded = true;
    this.stop();
  }

  /** Ends the renewals of a term that is not loaded. */
  stop(): void {
    this.#keeper?.stop();
  }

  /** Creates a stored host, or returns the one whose leases were renewed. */
  createHost(
    id: string,
    { address, pool }: { readonly address: string; readonly pool: string },
  ): Host {
    const kept = this.#formerHosts.get(id);
    if (kept?.incarnation.address === address && kept.pool === pool) {
      return kept;
    }
    const host = new Host({ id, address }, pool, null, this.#context.clock.getNow());
    host.state.recordOtherLeases(kept?.state.getExpiredAtMs() ?? -Infinity);
    return host;
  }

  /**
   * Renews the leases on hosts after the term has ended by a release, until each host refuses it for a
   * successor. A successor counts the leases of former owners from its own start, which follows the sending of
   * the release; where the release is not stored, from the end of the owner's lease. Both allow for renewals
   * during `FORMER_OWNER_GRACE_MS`.
   *
   * @param releasedAt time at which the release was sent, or before.
   */
  async keepAfterRelease(releasedAt: ClockReading): Promise<void> {
    const { clock, ownership, hosts } = this.#context;
    const keeper = this.#createKeeper(
      () =>
        getElapsedMs(clock, releasedAt) < FORMER_OWNER_GRACE_MS &&
        ownership.getLeaseAgeMs() < OWNER_GRACE_MS,
    );
    const mayRunSomething = ({ runs, state, isReconciled }: Host): boolean =>
      runs.size > 0 || state.hasUnacknowledgedEnds() || !isReconciled;
    const loadedHosts = [...hosts.values()].filter(mayRunSomething);
    await this.#keep(keeper, this.#isLoaded ? loadedHosts : [...this.#formerHosts.values()]);
  }

  /**
   * Renews the leases on stored hosts that are not kept yet, unless the term is loaded soon.
   *
   * @param delayedFrom time from which the renewals are delayed.
   */
  async #keepUntilLoaded(
    rows: readonly Row[],
    startedAt: ClockReading,
    delayedFrom: ClockReading,
  ): Promise<void> {
    const { clock, ownership, signal, term } = this.#context;
    const delayMs = term.wasReleased === true ? RELEASED_LEASE_KEEP_DELAY_MS : LEASE_KEEP_DELAY_MS;
    await clock.wait(Math.max(0, delayMs - getElapsedMs(clock, delayedFrom)), signal);
    if (signal.aborted || this.#isLoaded) {
      return;
    }
    const added: Host[] = [];
    rows.forEach(({ key, value }) => {
      const row = parseHostRow(value);
      if (row !== null && !this.#formerHosts.has(key)) {
        const host = this.createHost(key, row);
        this.#formerHosts.set(key, host);
        added.push(host);
      }
    });
    this.#keeper ??= this.#createKeeper(
      () =>
        !signal.aborted &&
        getElapsedMs(clock, startedAt) < MAX_LEASE_KEEP_MS &&
        ownership.getLeaseAgeMs() < OWNER_GRACE_MS,
    );
    await this.#keep(this.#keeper, added);
  }

  #createKeeper(canRenew: () => boolean): LeaseKeeper {
    return new LeaseKeeper({ ...this.#context, epoch: this.#context.term.epoch, canRenew });
  }

  async #keep(keeper: LeaseKeeper, hosts: readonly Host[]): Promise<void> {
    await Promise.all(hosts.map(async (host) => keeper.run(host)));
  }
}
