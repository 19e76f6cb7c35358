import type { QueryRefusal, QueryRequest, QueryRow } from './BaobabwellOperations';
import type { GetHostEvidence } from '@baobabwell/maintenance';
import type { FleetView, Pool } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { getPoolBudget } from '@baobabwell/maintenance';
import { EntityKind, HostState } from '@baobabwell/model';
import { createOk } from '@baobabwell/utils';

import { QuerySource } from './BaobabwellOperations';
import { EntitySource } from './BaobabwellOperationsSources';

/** A call that is waiting or running at one entry. */
export type CallActivity = {
  readonly id: string;
  readonly entry: string;
  readonly queue: string;
  readonly team: string;
  readonly pool: string;
  /** `null` while the call waits. */
  readonly host: string | null;
  /** Wall-clock time of its arrival, in ms. */
  readonly since: number;
};

/** Lists the calls of all entries and the entries that did not reply. */
export type ListCallActivity = () => Promise<{
  readonly calls: readonly CallActivity[];
  readonly missing: readonly string[];
}>;

/** Dependencies of the sources about the running fleet. */
export type FleetSourceDependencies = {
  readonly getView: () => FleetView;
  readonly getEvidence: GetHostEvidence;
  readonly listCalls: ListCallActivity;
};

function countBy<Item>(
  items: readonly Item[],
  getGroup: (item: Item) => string | null,
): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach((item) => {
    const group = getGroup(item);
    if (group !== null) {
      counts.set(group, (counts.get(group) ?? 0) + 1);
    }
  });
  return counts;
}

/**
 * Lists hosts, whether the host list contains them, whether they answer probes, and the number of
 * calls that run on them.
 */
export class HostsSource extends EntitySource<EntityKind.Host> {
  override readonly columns: readonly string[];

  readonly #dependencies: FleetSourceDependencies;

  constructor(dependencies: FleetSourceDependencies) {
    super(EntityKind.Host, dependencies.getView);
    this.#dependencies = dependencies;
    this.columns = [...super.defaultColumns, 'listed', 'reachable', 'running', 'id'];
  }

  override async listRows(request: QueryRequest): Promise<Result<readonly QueryRow[], never>> {
    const calls = request.columns.has('running')
      ? (await this.#dependencies.listCalls()).calls
      : [];
    const running = countBy(calls, ({ host }) => host);
    const rows = this.listEntityRows().map((row) => {
      const { isListed, isReachable } = this.#dependencies.getEvidence(String(row.name));
      return {
        ...row,
        listed: isListed,
        reachable: isReachable,
        running: running.get(String(row.name)) ?? 0,
      };
    });
    return createOk(rows);
  }
}

/** Lists pools with their maintenance budgets. */
export class PoolsSource extends EntitySource<EntityKind.Pool> {
  override readonly columns: readonly string[];

  readonly #dependencies: FleetSourceDependencies;

  constructor(dependencies: FleetSourceDependencies) {
    super(EntityKind.Pool, dependencies.getView);
    this.#dependencies = dependencies;
    this.columns = [...super.defaultColumns, 'hosts', 'serving', 'out', 'spareBudget', 'id'];
  }

  override get defaultColumns(): readonly string[] {
    return this.columns.filter((column) => column !== 'id');
  }

  override async listRows(_request: QueryRequest): Promise<Result<readonly QueryRow[], never>> {
    const view = this.#dependencies.getView();
    const rows = this.listEntityRows().map((row) => {
      const pool = view.get(EntityKind.Pool, String(row.name)) as Pool;
      const { total, serving, outages } = getPoolBudget(view, pool, this.#dependencies.getEvidence);
      return {
        ...row,
        hosts: total,
        serving,
        out: outages.map(({ host, reason }) => `${host} (${reason})`).join(', '),
        spareBudget: serving - pool.minimumServing,
      };
    });
    return createOk(rows);
  }
}

/** Lists waiting and running calls with their entry, team and host, and why they wait. */
export class CallsSource extends QuerySource {
  override readonly name = 'calls';

  override readonly columns = [
    'id',
    'entry',
    'queue',
    'team',
    'pool',
    'host',
    'state',
    'why',
    'since',
  ];

  readonly #dependencies: FleetSourceDependencies;

  constructor(dependencies: FleetSourceDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override async listRows(
    _request: QueryRequest,
  ): Promise<Result<readonly QueryRow[], QueryRefusal>> {
    const { calls } = await this.#dependencies.listCalls();
    const runningByTeam = countBy(calls, ({ host, team }) => (host === null ? null : team));
    return createOk(
      calls.map((call) => ({
        ...call,
        since: new Date(call.since).toISOString(),
        state: call.host === null ? 'waiting' : 'running',
        why: call.host === null ? this.#findWaitCause(call, runningByTeam) : null,
      })),
    );
  }

  #findWaitCause({ team, pool }: CallActivity, running: ReadonlyMap<string, number>): string {
    const view = this.#dependencies.getView();
    const limit = view.get(EntityKind.Team, team)?.limit;
    if (limit !== undefined && (running.get(team) ?? 0) >= limit) {
      return `team ${team} has reached its limit of ${limit} running calls`;
    }
    const hosts = view.listHosts(pool);
    const serving = hosts.filter(({ state }) => state === HostState.Serving).length;
    return serving === 0
      ? `no host of pool ${pool} is serving`
      : `waiting for a slot in pool ${pool} or a permit of team ${team}`;
  }
}
