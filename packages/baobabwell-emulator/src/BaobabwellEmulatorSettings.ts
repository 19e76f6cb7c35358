import type { PolicySettings, Settings } from '@baobabwell/settings';

import { createHash } from 'node:crypto';

import { OperatorRole, QueueMode } from '@baobabwell/model';
import { settingsSchema } from '@baobabwell/settings';

const FIRST_CALLER_PORT = 1_000;
const FIRST_OPERATOR_PORT = 2_000;
const FIRST_PEER_PORT = 3_000;
const FIRST_WORKER_PORT = 4_000;
const DATA_CENTRES = ['north', 'east', 'south'];
const ALWAYS_OPEN = { opens: '00:00', closes: '23:59' };
const DEFAULT_WORKERS_PER_RACK = 4;

/** A pool of an emulated deployment. */
export type EmulatedPool = {
  readonly id: string;
  readonly workers: number;
  readonly minimumServing: number;
  readonly slots?: number;
  readonly spare?: boolean;
  readonly workersPerRack?: number;
};

/** A team of an emulated deployment; the secret of its key is `secret-` followed by its id. */
export type EmulatedTeam = {
  readonly id: string;
  readonly share: number;
  readonly limit: number;
};

/** A deferred queue of an emulated deployment. */
export type EmulatedDeferredQueue = {
  readonly id: string;
  /** The pool that runs its work; the target has the same id. */
  readonly pool: string;
  readonly window?: { readonly opens: string; readonly closes: string };
};

/**
 * Shape of an emulated deployment. Each pool that is not spare gets a target and a queue with its
 * id.
 */
export type EmulatedDeployment = {
  readonly entries: number;
  readonly pools: readonly EmulatedPool[];
  readonly teams: readonly EmulatedTeam[];
  readonly deferred?: readonly EmulatedDeferredQueue[];
  /** Policies that differ from the defaults. */
  readonly policies?: Partial<PolicySettings>;
};

/** The secret of the emulated operator. */
export const OPERATOR_SECRET = 'operator-secret';

/** Returns the secret of a team's first key. */
export function getTeamSecret(team: string): string {
  return `secret-${team}`;
}

function buildDigest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function getDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] as string;
}

function buildPools(pools: readonly EmulatedPool[]): unknown[] {
  let port = FIRST_WORKER_PORT;
  return pools.map(({ id, workers, minimumServing, slots = 8, spare = false, workersPerRack }) => ({
    id,
    minimumServing,
    spare,
    hosts: Array.from({ length: workers }, (_, index) => {
      const rack = Math.floor(index / (workersPerRack ?? DEFAULT_WORKERS_PER_RACK));
      port += 1;
      return {
        id: `${id}-${index + 1}`,
        rack: `${id}-rack-${rack + 1}`,
        dataCentre: getDataCentre(rack),
        address: `127.0.0.1:${port}`,
        slots,
        cores: 16,
        memory: '64GB',
      };
    }),
  }));
}

/** Builds the settings of an emulated deployment. */
export function buildEmulatedSettings({
  entries,
  pools,
  teams,
  deferred = [],
  policies = {},
}: EmulatedDeployment): Settings {
  const serving = pools.filter(({ spare }) => spare !== true);
  return settingsSchema.parse({
    name: 'emulated',
    entries: Array.from({ length: entries }, (_, index) => ({
      id: `entry-${index + 1}`,
      dataCentre: getDataCentre(index),
      callers: `127.0.0.1:${FIRST_CALLER_PORT + index}`,
      operators: `127.0.0.1:${FIRST_OPERATOR_PORT + index}`,
      peers: `127.0.0.1:${FIRST_PEER_PORT + index}`,
    })),
    platform: { url: 'http://127.0.0.1:1' },
    peers: { secret: 'emulated-peer-secret' },
    log: { level: 'error' },
    policies,
    fleet: {
      organisations: [{ id: 'organisation', share: 1 }],
      teams: teams.map((team) => ({ ...team, organisation: 'organisation' })),
      keys: teams.map(({ id }) => ({
        id: `key-${id}`,
        team: id,
        digest: buildDigest(getTeamSecret(id)),
      })),
      operators: [
        {
          id: 'operator',
          role: OperatorRole.Administrator,
          digest: buildDigest(OPERATOR_SECRET),
        },
      ],
      pools: buildPools(pools),
      targets: serving.map(({ id }) => ({ id, pool: id })),
      queues: [
        ...serving.map(({ id }) => ({
          id,
          target: id,
          teams: teams.map((team) => team.id),
          deadline: '10s',
        })),
        ...deferred.map(({ id, pool, window = ALWAYS_OPEN }) => ({
          id,
          target: pool,
          teams: teams.map((team) => team.id),
          mode: QueueMode.Deferred,
          deadline: '12h',
          window,
        })),
      ],
    },
  });
}
