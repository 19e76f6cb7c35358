import type { FleetSettings } from './BaobabwellSettingsSchema';
import type { Mutation, Queue } from '@baobabwell/model';

import { createPut, EntityKind, HostState, TargetState } from '@baobabwell/model';

function buildQueue(queue: FleetSettings['queues'][number]): Queue {
  return {
    id: queue.id,
    target: queue.target,
    access: queue.access,
    teams: queue.teams,
    mode: queue.mode,
    deadlineMs: queue.deadline,
    window: queue.window,
  };
}

/** Builds the mutations that create the fleet described in the settings. */
export function buildFleetMutations(fleet: FleetSettings, wallTime: number): readonly Mutation[] {
  const pools = fleet.pools.flatMap(({ hosts, spare, ...pool }) => [
    createPut(EntityKind.Pool, { ...pool, isSpare: spare }),
    ...hosts.map(({ memory, ...host }) =>
      createPut(EntityKind.Host, {
        ...host,
        pool: pool.id,
        memoryGb: memory,
        state: HostState.Serving,
        stateReason: 'settings',
        stateSince: wallTime,
        movingTo: null,
      }),
    ),
  ]);
  return [
    ...fleet.organisations.map((value) => createPut(EntityKind.Organisation, value)),
    ...fleet.teams.map((value) => createPut(EntityKind.Team, value)),
    ...fleet.keys.map((value) =>
      createPut(EntityKind.Key, { ...value, createdAt: wallTime, expiresAt: null }),
    ),
    ...fleet.operators.map((value) => createPut(EntityKind.Operator, value)),
    ...pools,
    ...fleet.targets.map((value) =>
      createPut(EntityKind.Target, { ...value, state: TargetState.Serving }),
    ),
    ...fleet.queues.map((queue) => createPut(EntityKind.Queue, buildQueue(queue))),
  ];
}
