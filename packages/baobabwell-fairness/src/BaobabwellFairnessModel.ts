import type { Resources } from '@baobabwell/jobs';

/** Work that is ready to start in a pool. */
export type ReadyWork = {
  readonly pool: string;
  /** Organisation that pays for the work; '' for the work of queues that need no key. */
  readonly organisation: string;
  /** Priority and lateness: work of another class is placed before or after all of this one. */
  readonly workClass: string;
  /** Resources that the waiting tasks require. */
  readonly need: Resources;
  /** The organisation sent the job beyond its weight in jobs a second. */
  readonly isBeyondRate: boolean;
  /** The work takes no part in the sharing, such as long running tasks, and keeps its place. */
  readonly isExempt: boolean;
};

/** Resources of a pool that are shared, and what each organisation uses of them. */
export type PoolUsage = {
  readonly capacity: Resources;
  readonly used: ReadonlyMap<string, Resources>;
};

/** What an organisation uses and waits for in a pool. */
export type OrganisationDemand = { readonly weight: number; readonly demand: Resources };

/** Input of `decideFairOrder`. */
export type FairOrderSnapshot<Work extends ReadyWork> = {
  /** Ready work, sorted by class and by urgency within the class. */
  readonly work: readonly Work[];
  readonly pools: ReadonlyMap<string, PoolUsage>;
  /** Weights of the organisations; one without an entry has the mean of the others. */
  readonly weights: ReadonlyMap<string, number>;
};
