import type { TermContext } from './BaobabwellControllerContext';
import type { ReadPage, TermTables } from './BaobabwellControllerTermTables';
import type { Row } from '@baobabwell/platform';
import type { ClockReading } from '@baobabwell/utils';

import { FORMER_OWNER_GRACE_MS, OWNER_GRACE_MS } from '@baobabwell/ownership';
import { getElapsedMs } from '@baobabwell/utils';

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

/** Renews the leases on hosts in a term before it is loaded and after its release. */
export class TermLeases {
  readonly #context: LeaseContext;

  /** Hosts that were stored when the term began; empty unless leases are renewed before it is loaded. */
  readonly #formerHosts = new Map<string, Host>();

  #keeper: LeaseKeeper | null = null;

  #isLoaded = false;

  constructor(context: LeaseContext) {
    this.#context = context;
  }

  /** Reads the stored hosts, and renews the leases on them until the term is loaded. */
  async loadHosts(tables: TermTables, startedAt: ClockReading): Promise<ReadPage | null> {
    const { term, signal } = this.#context;
    const [page = null] = await tables.readAll([{ table: HOSTS_TABLE }], term.startVersion);
    if (page !== null && !signal.aborted) {
      void this.#keepUntilLoaded(page.rows, startedAt);
    }
    return page;
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
  createHost(id: string, row: { readonly address: string; readonly pool: string }): Host {
    return (
      this.#formerHosts.get(id) ??
      new Host({ id, address: row.address }, row.pool, null, this.#context.clock.getNow())
    );
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

  /** Renews the leases on the stored hosts, unless the term is loaded soon. */
  async #keepUntilLoaded(rows: readonly Row[], startedAt: ClockReading): Promise<void> {
    const { clock, ownership, signal, term } = this.#context;
    const delayMs = term.wasReleased === true ? RELEASED_LEASE_KEEP_DELAY_MS : LEASE_KEEP_DELAY_MS;
    await clock.wait(Math.max(0, delayMs - getElapsedMs(clock, startedAt)), signal);
    if (signal.aborted || this.#isLoaded) {
      return;
    }
    rows.forEach(({ key, value }) => {
      const row = parseHostRow(value);
      if (row !== null) {
        this.#formerHosts.set(key, this.createHost(key, row));
      }
    });
    this.#keeper = this.#createKeeper(
      () =>
        !signal.aborted &&
        getElapsedMs(clock, startedAt) < MAX_LEASE_KEEP_MS &&
        ownership.getLeaseAgeMs() < OWNER_GRACE_MS,
    );
    await this.#keep(this.#keeper, [...this.#formerHosts.values()]);
  }

  #createKeeper(canRenew: () => boolean): LeaseKeeper {
    return new LeaseKeeper({ ...this.#context, epoch: this.#context.term.epoch, canRenew });
  }

  async #keep(keeper: LeaseKeeper, hosts: readonly Host[]): Promise<void> {
    await Promise.all(hosts.map(async (host) => keeper.run(host)));
  }
}
