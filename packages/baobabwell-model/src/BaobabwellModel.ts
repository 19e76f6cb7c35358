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
  /** Fewest hosts that must be serving at any moment. */
  readonly minimumServing: number;
  /** True for the pool that lends hosts to others. */
  readonly isSpare: boolean;
  /** Whether failed hosts are replaced without an operator. */
  readonly selfRepair: boolean;
};

/** Why a host is out of service by plan, and what comes next. */
export type HostMaintenance = {
  readonly goal: MaintenanceGoal;
  /** The wave that took the host out, or `null`. */
  readonly wave: string | null;
  /** The split that took the host out, or `null`. */
  readonly split: string | null;
  /** Version of the view at which the host was taken out; later orders carry higher ones. */
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
  /** Why the host is in its state. */
  readonly stateReason: string;
  /** Wall-clock milliseconds at which the state began. */
  readonly stateSince: number;
  /** The pool that the host joins once it is drained, or `null`. */
  readonly movingTo: string | null;
  /** Present while the host is out of service by plan. */
  readonly maintenance?: HostMaintenance | null;
};

/** A back end's service, which runs on the hosts of one pool. */
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

/** Where callers send work. */
export type Queue = {
  readonly id: string;
  readonly target: string;
  readonly access: QueueAccess;
  /** Teams that may call it when the access is by team. */
  readonly teams: readonly string[];
  readonly mode: QueueMode;
  /** Time a call may take when its caller names none. */
  readonly deadlineMs: number;
  readonly window: ServiceWindow | null;
};

/** A company or department that owns teams. */
export type Organisation = {
  readonly id: string;
  /** Weight against other organisations when all is full. */
  readonly share: number;
};

/** Callers that share keys, a share and an upper limit. */
export type Team = {
  readonly id: string;
  readonly organisation: string;
  /** Weight within its organisation when all is full. */
  readonly share: number;
  /** Most work that may run at once across the fleet. */
  readonly limit: number;
};

/** A key of a team, known only by its digest. */
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

/** An entry process that belongs to the fleet. */
export type Member = {
  readonly id: string;
  /** Distinguishes the lives of one entry. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** `host:port` for other entries. */
  readonly peerAddress: string;
};

/** A life of an entry that was taken out of the members, or left them. */
export type Fence = {
  /** The entry and its incarnation, joined by a dot. */
  readonly id: string;
  readonly member: string;
  readonly incarnation: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  /** True when the life gave back all its permits before it left. */
  readonly holdsNothing: boolean;
};

/** A person or program that may give commands. */
export type Operator = {
  readonly id: string;
  readonly role: OperatorRole;
  /** SHA-256 of the operator's secret, in hexadecimal. */
  readonly digest: string;
};

/** Maintenance of several hosts in steps that keep to the budgets. */
export type Wave = {
  readonly id: string;
  readonly scope: WaveScope;
  /** Identifier of the pool or rack; empty for the fleet. */
  readonly scopeId: string;
  readonly policy: WavePolicyName;
  readonly state: WaveState;
  readonly stateReason: string;
  /** Hosts not yet taken out. */
  readonly waiting: readonly string[];
  /** Hosts that are out now. */
  readonly working: readonly string[];
  readonly done: readonly string[];
  /** Hosts that came back bad or could not be taken out. */
  readonly failed: readonly string[];
  /** Hosts that may come back bad before the wave stops itself. */
  readonly maximumFailures: number;
  /** Wall-clock milliseconds. */
  readonly startedAt: number;
  /** Wall-clock milliseconds, or `null` while it is not over. */
  readonly endedAt: number | null;
};

/** The plan by which a part of the fleet leaves. */
export type Split = {
  readonly id: string;
  readonly targets: readonly string[];
  readonly hosts: readonly string[];
  readonly teams: readonly string[];
  /** Wall-clock milliseconds before which it does not start, or `null`. */
  readonly notBefore: number | null;
  readonly state: SplitState;
  readonly stateReason: string;
  /** The last step that is done. */
  readonly step: SplitStep;
  /** What the steps replaced, newest first, for the undo. */
  readonly saved: readonly Mutation[];
};

/** The entry that carries out maintenance; a higher token replaces a lower one. */
export type Controller = {
  readonly id: string;
  /** Identifier of the member that owns the work. */
  readonly owner: string;
  readonly incarnation: string;
  /** Fencing token, raised at each change of owner. */
  readonly token: number;
};

/** The type of each kind of entity. */
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

/** One accepted change of the fleet, as it stands in the log. */
export type ViewChange = {
  readonly version: number;
  readonly transactionId: string;
  /** Who made the change: an operator, or an entry acting by itself. */
  readonly author: string;
  /** The command as given. */
  readonly command: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  readonly mutations: readonly Mutation[];
};

/** Builds a mutation that puts an entity. */
export function createPut<Kind extends EntityKind>(kind: Kind, value: EntityTypes[Kind]): Mutation {
  return { kind, id: value.id, value } as Mutation;
}

/** Builds a mutation that removes an entity. */
export function createRemoval(kind: EntityKind, id: string): Mutation {
  return { kind, id, value: null };
}
