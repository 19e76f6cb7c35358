/** What is wrong with a host. */
export enum HostFault {
  /** Runs fail there that do not fail elsewhere. */
  Failing = 'failing',
  /** Runs take a multiple of their usual time there. */
  Slow = 'slow',
}

/** A host of a pool, with the groups that it shares with others: its rack and its data centre. */
export type HealthHost = {
  readonly id: string;
  readonly groups: readonly string[];
};

/** Evidence against a host, from what was observed lately. */
export type HostEvidence = {
  /** Failures, each weighed by how likely the host is its cause, 0 to 1. */
  readonly blame: number;
  /** Jobs of which a task failed on the host. */
  readonly failedJobs: number;
  /** Share of the ended runs that failed. */
  readonly failedShare: number;
  /** Median of the durations of runs over their expected ones; `null` without enough runs. */
  readonly slowness: number | null;
};

/** Hosts of one pool and the evidence against them. */
export type PoolHealth = {
  readonly hosts: readonly HealthHost[];
  /** Evidence by host; hosts without observations have none. */
  readonly evidence: ReadonlyMap<string, HostEvidence>;
  /** Usual duration of runs in the pool over the expected one. */
  readonly usualSlowness: number;
  /** Faults of the hosts that are ejected already. */
  readonly ejected: ReadonlyMap<string, Ejection>;
};

/** Why a host receives no work. */
export type Ejection = {
  readonly fault: HostFault;
  /** Rack or data centre that was found bad as a whole; `null` for a single host. */
  readonly group: string | null;
};
