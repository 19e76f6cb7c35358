/** Condition of a host within its pool. */
export enum HostState {
  /** Takes new work. */
  Serving = 'serving',
  /** Takes no new work; work in flight ends. */
  Draining = 'draining',
  /** Nothing runs on it any more. */
  Drained = 'drained',
  /** Restarting; it comes back as serving. */
  Rebooting = 'rebooting',
  /** Found bad; takes no work until it is returned. */
  Failed = 'failed',
}

/** Condition of a target. */
export enum TargetState {
  Serving = 'serving',
  /** Gets no new work; what runs may end. */
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
  /** Within the call. */
  Immediate = 'immediate',
  /** Stored on acceptance and run when the window is open. */
  Deferred = 'deferred',
}

/** What an operator may do. */
export enum OperatorRole {
  Viewer = 'viewer',
  Operator = 'operator',
  Administrator = 'administrator',
}

/** Kinds of entity in the fleet view. */
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

/** What becomes of a host that is taken out of service. */
export enum MaintenanceGoal {
  /** Stays drained until an operator returns it. */
  Drain = 'drain',
  /** Is rebooted and returned. */
  Reboot = 'reboot',
  /** Joins another pool. */
  Move = 'move',
}

/** Which hosts a wave covers. */
export enum WaveScope {
  Pool = 'pool',
  Rack = 'rack',
  Fleet = 'fleet',
}

/** How a wave chooses the hosts to take out next. */
export enum WavePolicyName {
  /** As many hosts at once as the budgets of their pools allow. */
  Budget = 'budget',
  /** One host of the whole fleet at a time. */
  OneByOne = 'one-by-one',
}

/** Condition of a wave. */
export enum WaveState {
  Running = 'running',
  /** Starts no further host; hosts in work are finished. */
  Paused = 'paused',
  /** Paused by itself, because hosts came back bad or spare ran short. */
  Stopped = 'stopped',
  Aborted = 'aborted',
  Finished = 'finished',
}

/** Condition of a split. */
export enum SplitState {
  Planned = 'planned',
  Running = 'running',
  Paused = 'paused',
  /** Every step that can be undone is done. */
  Ready = 'ready',
  Finished = 'finished',
}

/** The steps of a split, in order; all but the last can be undone. */
export enum SplitStep {
  None = 'none',
  /** The leaving targets get no new work. */
  TargetsLeaving = 'targets-leaving',
  /** Nothing runs on the leaving hosts. */
  HostsDrained = 'hosts-drained',
  /** The keys and queues of the leaving half are gone. */
  KeysWithdrawn = 'keys-withdrawn',
  /** Hosts, targets and teams of the leaving half are gone. */
  Removed = 'removed',
}

/** Urgency that a caller gives to its work. */
export enum PriorityClass {
  Urgent = 'urgent',
  Normal = 'normal',
  Batch = 'batch',
}

/** What is known of the work when a call ends. */
export enum Outcome {
  Completed = 'completed',
  /** No byte of the work reached a worker. */
  NotRun = 'not-run',
  /** The work may or may not have run. */
  Unknown = 'unknown',
}
