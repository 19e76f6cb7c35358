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
