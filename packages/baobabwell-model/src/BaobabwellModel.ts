import type {
  EntityKind,
  HostState,
  MaintenanceGoal,
  OperatorRole,
  QueueAccess,
  QueueMode,
  SplitState,
  SplitStep,
  TargetState,
  WavePolicyName,
  WaveScope,
  WaveState,
} from './BaobabwellModelConstants';

/** A group of hosts that share an availability budget. */
export type Pool = {
  readonly id: string;
  /** Availability budget: minimum number of hosts that must be serving at any time. */
  readonly minimumServing: number;
  /** Whether this is a spare pool, which lends hosts to other pools. */
  readonly isSpare: boolean;
  /** Whether failed hosts are replaced automatically, without an operator. */
  readonly selfRepair: boolean;
};

/** Planned maintenance of a host: what takes it out of service and what follows. */
export type HostMaintenance = {
  readonly goal: MaintenanceGoal;
  /** The wave that took the host out of service, or `null`. */
  readonly wave: string | null;
  /** The split that took the host out of service, or `null`. */
  readonly split: string | null;
  /** Fencing token: version of the view at which the host was taken out. Later orders carry a higher token. */
  readonly token: number;
};

/** A worker host; it belongs to exactly one pool. */
export type Host = {
  readonly id: string;
  readonly pool: string;
  readonly rack: string;
  readonly dataCentre: string;
  /** `host:port` at which its worker listens. */
  readonly address: string;
  readonly slots: number;
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  readonly state: HostState;
  /** Reason for the state. */
  readonly stateReason: string;
  /** Wall-clock time in milliseconds at which the state began. */
  readonly stateSince: number;
  /** The pool that the host joins once it is drained, or `null`. */
  readonly movingTo: string | null;
  /** Set while the host is out of service for planned maintenance. */
  readonly maintenance?: HostMaintenance | null;
};

/** A back-end service that runs on the hosts of one pool. */
export type Target = {
  readonly id: string;
  readonly pool: string;
  readonly state: TargetState;
};

/** Times of day between which deferred work starts, as `HH:MM` in UTC. */
export type ServiceWindow = {
  readonly opens: string;
  readonly closes: string;
};

/** A named queue to which callers send work for one target. */
export type Queue = {
  readonly id: string;
  readonly target: string;
  readonly access: QueueAccess;
  /** Teams that may call the queue if access is restricted to teams. */
  readonly teams: readonly string[];
  readonly mode: QueueMode;
  /** Deadline of calls whose caller does not set one. */
  readonly deadlineMs: number;
  readonly window: ServiceWindow | null;
};

/** A company or department that owns teams. */
export type Organisation = {
  readonly id: string;
  /** Weight relative to other organisations when no capacity is free. */
  readonly share: number;
};

/** Callers that have keys, a share and a concurrency limit in common. */
export type Team = {
  readonly id: string;
  readonly organisation: string;
  /** Weight within its organisation when no capacity is free. */
  readonly share: number;
  /** Maximum amount of work of the team that may run at the same time across the fleet. */
  readonly limit: number;
};

/** A key of a team; only its digest is stored. */
export type Key = {
  readonly id: string;
  readonly team: string;
  /** SHA-256 of the secret, in hexadecimal. */
  readonly digest: string;
  /** Wall-clock milliseconds. */
  readonly createdAt: number;
  /** Wall-clock milliseconds, or `null` for a key that does not expire. */
  readonly expiresAt: number | null;
};

/** An entry that is a member of the fleet. */
export type Member = {
  readonly id: string;
  /** Distinguishes the incarnations (process starts) of one entry. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** `host:port` at which other entries reach this one. */
  readonly peerAddress: string;
};

/** A fenced incarnation of an entry: it left the members or was removed from them. */
export type Fence = {
  /** Entry and incarnation, joined by a dot. */
  readonly id: string;
  readonly member: string;
  readonly incarnation: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  /** Whether the incarnation returned all its permits before it left. */
  readonly holdsNothing: boolean;
};

/** A person or program that may run operator commands. */
export type Operator = {
  readonly id: string;
  readonly role: OperatorRole;
  /** SHA-256 of the operator's secret, in hexadecimal. */
  readonly digest: string;
};

/** Maintenance of several hosts in steps that respect the availability budgets. */
export type Wave = {
  readonly id: string;
  readonly scope: WaveScope;
  /** Identifier of the pool or rack; empty for the fleet. */
  readonly scopeId: string;
  readonly policy: WavePolicyName;
  readonly state: WaveState;
  readonly stateReason: string;
  /** Hosts that have not been taken out of service yet. */
  readonly waiting: readonly string[];
  /** Hosts that are out of service now. */
  readonly working: readonly string[];
  readonly done: readonly string[];
  /** Hosts that were unhealthy after maintenance or could not be taken out of service. */
  readonly failed: readonly string[];
  /** Number of failed hosts that the wave tolerates; it stops when more hosts fail. */
  readonly maximumFailures: number;
  /** Wall-clock milliseconds. */
  readonly startedAt: number;
  /** Wall-clock milliseconds, or `null` until the wave ends. */
  readonly endedAt: number | null;
};

/** A plan that separates a part of the fleet from the rest in steps. */
export type Split = {
  readonly id: string;
  readonly targets: readonly string[];
  readonly hosts: readonly string[];
  readonly teams: readonly string[];
  /** Earliest start in wall-clock milliseconds, or `null`. */
  readonly notBefore: number | null;
  readonly state: SplitState;
  readonly stateReason: string;
  /** The last completed step. */
  readonly step: SplitStep;
  /** Mutations that restore what the steps replaced, newest first. */
  readonly saved: readonly Mutation[];
};

/** The entry that carries out maintenance; a higher token supersedes a lower one. */
export type Controller = {
  readonly id: string;
  /** Identifier of the member that owns the maintenance work. */
  readonly owner: string;
  readonly incarnation: string;
  /** Fencing token, incremented at each change of owner. */
  readonly token: number;
};

/** Maps each entity kind to its type. */
export type EntityTypes = {
  readonly [EntityKind.Pool]: Pool;
  readonly [EntityKind.Host]: Host;
  readonly [EntityKind.Target]: Target;
  readonly [EntityKind.Queue]: Queue;
  readonly [EntityKind.Organisation]: Organisation;
  readonly [EntityKind.Team]: Team;
  readonly [EntityKind.Key]: Key;
  readonly [EntityKind.Member]: Member;
  readonly [EntityKind.Fence]: Fence;
  readonly [EntityKind.Operator]: Operator;
  readonly [EntityKind.Wave]: Wave;
  readonly [EntityKind.Split]: Split;
  readonly [EntityKind.Controller]: Controller;
};

/** Any entity of the fleet view. */
export type Entity = EntityTypes[EntityKind];

/** Puts one entity, or removes it when `value` is `null`. */
export type Mutation = {
  [Kind in EntityKind]: {
    readonly kind: Kind;
    readonly id: string;
    readonly value: EntityTypes[Kind] | null;
  };
}[EntityKind];

/** One accepted change of the fleet, as stored in the log. */
export type ViewChange = {
  readonly version: number;
  readonly transactionId: string;
  /** The operator that made the change, or the entry that made it automatically. */
  readonly author: string;
  /** The command as the author entered it. */
  readonly command: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  readonly mutations: readonly Mutation[];
};

/** Creates a mutation that puts an entity. */
export function createPut<Kind extends EntityKind>(kind: Kind, value: EntityTypes[Kind]): Mutation {
  return { kind, id: value.id, value } as Mutation;
}

/** Creates a mutation that removes an entity. */
export function createRemoval(kind: EntityKind, id: string): Mutation {
  return { kind, id, value: null };
}
