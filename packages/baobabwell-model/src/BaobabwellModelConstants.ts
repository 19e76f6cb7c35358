/** State of a host within its pool. */
export enum HostState {
  /** Accepts new work. */
  Serving = 'serving',
  /** Accepts no new work; work in flight is completed. */
  Draining = 'draining',
  /** No work is left on the host. */
  Drained = 'drained',
  /** Restarts and then serves again. */
  Rebooting = 'rebooting',
  /** Found unhealthy; accepts no work until it is returned to service. */
  Failed = 'failed',
}

/** State of a target. */
export enum TargetState {
  Serving = 'serving',
  /** Receives no new work; work in flight is completed. */
  Leaving = 'leaving',
  Retired = 'retired',
}

/** Who may call a queue. */
export enum QueueAccess {
  /** Any caller, with or without a key. */
  Open = 'open',
  /** Only the teams that the queue lists. */
  Teams = 'teams',
}

/** When the work of a queue runs. */
export enum QueueMode {
  /** Runs within the call. */
  Immediate = 'immediate',
  /** Stored on acceptance and run while the service window is open. */
  Deferred = 'deferred',
}

/** Permission level of an operator. */
export enum OperatorRole {
  Viewer = 'viewer',
  Operator = 'operator',
  Administrator = 'administrator',
}

/** Kinds of entities in the fleet view. */
export enum EntityKind {
  Pool = 'pool',
  Host = 'host',
  Target = 'target',
  Queue = 'queue',
  Organisation = 'organisation',
  Team = 'team',
  Key = 'key',
  Member = 'member',
  Fence = 'fence',
  Operator = 'operator',
  Wave = 'wave',
  Split = 'split',
  Controller = 'controller',
}

/** Purpose for which a host is taken out of service. */
export enum MaintenanceGoal {
  /** Keeps the host drained until an operator returns it. */
  Drain = 'drain',
  /** Reboots the host and returns it to service. */
  Reboot = 'reboot',
  /** Moves the host to another pool. */
  Move = 'move',
}

/** Which hosts a wave covers. */
export enum WaveScope {
  Pool = 'pool',
  Rack = 'rack',
  Fleet = 'fleet',
}

/** Policy by which a wave selects the next hosts to take out of service. */
export enum WavePolicyName {
  /** As many hosts at once as the budgets of their pools allow. */
  Budget = 'budget',
  /** One host of the whole fleet at a time. */
  OneByOne = 'one-by-one',
}

/** State of a wave. */
export enum WaveState {
  Running = 'running',
  /** Takes out no further hosts; maintenance in progress is completed. */
  Paused = 'paused',
  /** Paused automatically because hosts were unhealthy after maintenance or spare hosts ran short. */
  Stopped = 'stopped',
  Aborted = 'aborted',
  Finished = 'finished',
}

/** State of a split. */
export enum SplitState {
  Planned = 'planned',
  Running = 'running',
  Paused = 'paused',
  /** All steps that can be undone are completed. */
  Ready = 'ready',
  Finished = 'finished',
}

/** The steps of a split, in order; all but the last can be undone. */
export enum SplitStep {
  None = 'none',
  /** The leaving targets receive no new work. */
  TargetsLeaving = 'targets-leaving',
  /** No work is left on the leaving hosts. */
  HostsDrained = 'hosts-drained',
  /** The keys and queues of the leaving part are removed. */
  KeysWithdrawn = 'keys-withdrawn',
  /** The hosts, targets and teams of the leaving part are removed. */
  Removed = 'removed',
}

/** Priority that a caller assigns to its work. */
export enum PriorityClass {
  Urgent = 'urgent',
  Normal = 'normal',
  Batch = 'batch',
}

/** Outcome of the work of a call, as far as it is known when the call ends. */
export enum Outcome {
  Completed = 'completed',
  /** No byte of the work reached a worker. */
  NotRun = 'not-run',
  /** The work may or may not have run. */
  Unknown = 'unknown',
}
