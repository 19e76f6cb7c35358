import type { Mutation } from '@baobabwell/model';

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import {
  createPut,
  EntityKind,
  FleetView,
  HostState,
  QueueAccess,
  QueueMode,
} from '@baobabwell/model';

/**
 * Entities kept in memory at once, in as many views as necessary, so that other heap use is
 * negligible.
 */
const MEASURED_ENTITIES = 23_000;
const CHANGES = 300;
const MICROSECONDS_PER_MS = 1_000;
/** A prime, so that successive changes affect hosts across the whole view. */
const HOST_STRIDE = 7_919;
const HOSTS_PER_RACK = 40;
const RACKS_PER_DATA_CENTRE = 40;
const POOLS = 31;
const TEAMS = 410;

let collectGarbage: (() => void) | null = null;

function runCollection(): void {
  if (collectGarbage === null) {
    setFlagsFromString('--expose-gc');
    collectGarbage = runInNewContext('gc') as () => void;
  }
  collectGarbage();
}

function buildHost(index: number, stateReason = 'settings'): Mutation {
  const rack = Math.floor(index / HOSTS_PER_RACK);
  return createPut(EntityKind.Host, {
    id: `host-${index}`,
    pool: `pool-${index % POOLS}`,
    rack: `rack-${rack}`,
    dataCentre: `data-centre-${Math.floor(rack / RACKS_PER_DATA_CENTRE)}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8500`,
    slots: 8,
    cores: 64,
    memoryGb: 128,
    accelerators: 1,
    state: HostState.Serving,
    stateReason,
    stateSince: 1_767_600_000_000 + index,
    movingTo: null,
  });
}

function buildTeam(index: number): Mutation {
  return createPut(EntityKind.Team, {
    id: `team-${index}`,
    organisation: `organisation-${index % 40}`,
    share: 1 + (index % 7),
    limit: 10 + index,
  });
}

function buildKey(index: number): Mutation {
  return createPut(EntityKind.Key, {
    id: `key-${index}`,
    team: `team-${index % TEAMS}`,
    digest: index.toString(16).padStart(64, '0'),
    createdAt: 1_767_600_000_000 + index,
    expiresAt: null,
  });
}

function buildQueue(index: number): Mutation {
  return createPut(EntityKind.Queue, {
    id: `queue-${index}`,
    target: `target-${index}`,
    access: QueueAccess.Teams,
    teams: [`team-${index % TEAMS}`, `team-${(index + 1) % TEAMS}`],
    mode: QueueMode.Immediate,
    deadlineMs: 2_000 + index,
    window: null,
  });
}

function listEntities(size: number, build: (index: number) => Mutation): readonly Mutation[] {
  return Array.from({ length: size }, (_, index) => build(index));
}

/** Measures the heap bytes of a view per entity of one kind. */
function measureBytes(size: number, build: (index: number) => Mutation): number {
  // Values are parsed from text, as those of the log are, so that entities do not share strings.
  const text = JSON.stringify(listEntities(size, build));
  const copies = Math.ceil(MEASURED_ENTITIES / size);
  const createView = (): FleetView => FleetView.create(1, JSON.parse(text) as readonly Mutation[]);
  createView();
  runCollection();
  const before = process.memoryUsage().heapUsed;
  const views = Array.from({ length: copies }, createView);
  runCollection();
  const bytes = process.memoryUsage().heapUsed - before;
  return bytes / views.length / size;
}

/** Measures the heap bytes per host. */
export function measureHostBytes(hosts: number): number {
  return measureBytes(hosts, buildHost);
}

/** Measures the heap bytes per team. */
export function measureTeamBytes(teams: number): number {
  return measureBytes(teams, buildTeam);
}

/** Measures the heap bytes per key. */
export function measureKeyBytes(keys: number): number {
  return measureBytes(keys, buildKey);
}

/** Measures the heap bytes per queue. */
export function measureQueueBytes(queues: number): number {
  return measureBytes(queues, buildQueue);
}

function applyChanges(first: FleetView, hosts: number): FleetView {
  let view = first;
  for (let change = 0; change < CHANGES; change += 1) {
    view = view.apply({
      version: view.version + 1,
      transactionId: `transaction-${change}`,
      author: 'measure',
      command: 'drain host',
      reason: 'measure',
      at: 0,
      mutations: [buildHost((change * HOST_STRIDE) % hosts, 'measure')],
    });
  }
  return view;
}

/** Measures the microseconds to apply a change of one host to a view with `hosts` hosts. */
export function measureApply(hosts: number): number {
  let view = FleetView.create(1, listEntities(hosts, buildHost));
  view = applyChanges(view, hosts);
  const startedAt = performance.now();
  applyChanges(view, hosts);
  return ((performance.now() - startedAt) * MICROSECONDS_PER_MS) / CHANGES;
}

/** Measures the baseline: the microseconds to change a host by copying a map of all hosts. */
export function measureCopyApply(hosts: number): number {
  let map = new Map(listEntities(hosts, buildHost).map(({ id, value }) => [id, value]));
  const startedAt = performance.now();
  for (let change = 0; change < CHANGES; change += 1) {
    const { id, value } = buildHost((change * HOST_STRIDE) % hosts, 'measure');
    map = new Map(map).set(id, value);
  }
  return ((performance.now() - startedAt) * MICROSECONDS_PER_MS) / CHANGES;
}
