import type { Resources, Step, Task } from '@baobabwell/jobs';

/** What a host offers that is ejected from its pool. */
export type EjectedHostOffer = {
  /** Resources for tasks that may run elsewhere, and the number of such tasks. */
  readonly probeResources: Resources;
  readonly probeCount: number;
  /** Number of tasks that no host may run that is not ejected. */
  readonly soleCount: number;
};

/** A host on which tasks may be placed. */
export type PlacementHost = {
  readonly id: string;
  readonly pool: string;
  readonly labels: readonly string[];
  /** Resources that no run has reserved. */
  readonly freeResources: Resources;
  /** Resources that long running tasks have not reserved. */
  readonly shortTaskResources: Resources;
  /** What the host offers while it is ejected; `null` for a host that offers all that is free. */
  readonly ejectedOffer: EjectedHostOffer | null;
  /** Number of serving tasks on the host; best-effort tasks prefer hosts with fewer of them. */
  readonly servingCount: number;
  readonly bestEffortCount: number;
  /** Time for which the host still runs tasks more slowly after its start, in ms. */
  readonly coldLeftMs: number;
  /** Long running tasks keep the host in its pool. */
  readonly hasLongRunning: boolean;
  readonly runCount: number;
  /** Runs whose start the host may not survive. */
  readonly startingCount: number;
  /** One of these runs is of a task that may crash its hosts. */
  readonly isStartingSuspect: boolean;
};

/** Resources that an organisation may still reserve. */
export type Allowance = {
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
};

/** Set of the hosts on which a step may run. */
export type AllowedHosts = { readonly has: (hostId: string) => boolean };

/** Input of `decidePlacements`. */
export type PlacementSnapshot = {
  readonly nowMs: number;
  /** Hosts by pool. */
  readonly hosts: ReadonlyMap<string, readonly PlacementHost[]>;
  /** Number of tasks that may be placed now, and when no start is pending. No limit if it is missing. */
  readonly startBudget?: { readonly left: number; readonly total: number };
  /** False when no task may crash its hosts. */
  readonly hasSuspects?: boolean;
  /** Steps in the order in which their tasks are placed, with their pool. */
  readonly steps: readonly { readonly step: Step; readonly pool: string }[];
  /** Allowances by organisation; an organisation without an entry has no limit. */
  readonly allowances: ReadonlyMap<string, Allowance>;
  /** Finds the hosts that the advisor allows for a step; `null` if the step needs no advice. */
  readonly findAllowedHosts: (step: Step) => AllowedHosts | null;
};

/** A task and the host on which it is to start. */
export type Placement = { readonly task: Task; readonly hostId: string };
