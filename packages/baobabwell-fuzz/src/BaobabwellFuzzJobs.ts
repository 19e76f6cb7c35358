import type { InvariantViolation } from '@baobabwell/job-emulator';
import type { Arbitrary, IAsyncProperty } from 'fast-check';

import { array, asyncProperty, constantFrom, integer, oneof, record } from 'fast-check';

import {
  CAPACITY,
  EmulatedJobFleet,
  formatRoute,
  JobInvariant,
  NO_STORE_FAULTS,
} from '@baobabwell/job-emulator';
import { isEnded } from '@baobabwell/jobs';
import { checkInvariant } from '@baobabwell/utils';

import { FuzzSuite } from './BaobabwellFuzz';

const MAX_STEPS = 25;
const MAX_SEED = 1_000;
const HOSTS = 4;
const DAEMONS = ['a', 'b', 'c'];
const STARTUP_MS = 1_500;

/** Time within which all work ends after the faults: a takeover, a lease period and the work itself. */
const RECOVERY_MS = 40_000;

/** Time without a fault after which bounds in time hold for a process, in ms. */
const CONTACT_MS = 3_000;

const MAX_WAIT_MS = 2_500;
const LATE_SHARE = 0.3;
const LOST_SHARE = 0.3;
const SLOW_MS = 200;

/** Largest factor by which a host's capacity shrinks; a factor of 1 restores it. */
const MAX_SHRINKING = 5;

/** Actions and faults of a history. */
enum JobStepKind {
  Submit = 'submit',
  Cancel = 'cancel',
  Wait = 'wait',
  KillDaemon = 'kill-daemon',
  StartDaemon = 'start-daemon',
  PauseDaemon = 'pause-daemon',
  ResumeDaemon = 'resume-daemon',
  PartitionDaemon = 'cut-daemon',
  PartitionHost = 'cut-host',
  PartitionRoute = 'cut-way',
  HealHosts = 'heal-hosts',
  RestartHost = 'restart-host',
  ToggleLateOrders = 'late-orders',
  StoreDown = 'store-down',
  StoreLossy = 'store-lossy',
  StoreSlow = 'store-slow',
  StoreHealthy = 'store-sound',
  CompactHistory = 'forget-history',
  ResizeHost = 'resize-host',
}

type JobStep = { readonly kind: JobStepKind; readonly value: number };

const PLAIN_KINDS = Object.values(JobStepKind).filter((kind) => kind !== JobStepKind.ResizeHost);

function createStepArbitrary(kinds: readonly JobStepKind[]): Arbitrary<JobStep> {
  return record({
    kind: oneof(
      { weight: 4, arbitrary: constantFrom(JobStepKind.Submit) },
      { weight: 6, arbitrary: constantFrom(JobStepKind.Wait) },
      { weight: 6, arbitrary: constantFrom(...kinds) },
    ),
    value: integer({ min: 0, max: 1_000 }),
  });
}

/** Steps after which, for some time, no bound in time holds for the processes. */
const PROCESS_FAULTS: ReadonlySet<JobStepKind> = new Set([
  JobStepKind.KillDaemon,
  JobStepKind.StartDaemon,
  JobStepKind.PauseDaemon,
  JobStepKind.ResumeDaemon,
  JobStepKind.PartitionDaemon,
]);

type StepHandler = (fleet: EmulatedJobFleet, value: number, jobs: string[]) => void;

function getDaemon(value: number): string {
  return DAEMONS[value % DAEMONS.length] as string;
}

const HANDLERS: Readonly<Record<JobStepKind, StepHandler>> = {
  [JobStepKind.Submit]: (fleet, value, jobs) => {
    const first = { taskCount: 1 + (value % 7), estimateMs: 100 + value };
    jobs.push(fleet.submit(value % 2 === 0 ? [first] : [first, { after: [0] }]));
  },
  [JobStepKind.Cancel]: (fleet, value, jobs) => {
    const job = jobs[value % Math.max(1, jobs.length)];
    if (job !== undefined) {
      fleet.cancel(job);
    }
  },
  [JobStepKind.Wait]: () => undefined,
  [JobStepKind.KillDaemon]: (fleet, value) => fleet.killDaemon(getDaemon(value)),
  [JobStepKind.StartDaemon]: (fleet, value) => {
    fleet.killDaemon(getDaemon(value));
    fleet.startDaemon(getDaemon(value));
  },
  [JobStepKind.PauseDaemon]: (fleet, value) => fleet.pauseDaemon(getDaemon(value)),
  [JobStepKind.ResumeDaemon]: (fleet, value) => fleet.resumeDaemon(getDaemon(value)),
  [JobStepKind.PartitionDaemon]: (fleet, value) =>
    fleet.partitionDaemon(getDaemon(value), value % 2 === 0),
  [JobStepKind.PartitionHost]: (fleet, value) =>
    fleet.faults.partitionedHosts.add(`host-${value % HOSTS}`),
  [JobStepKind.PartitionRoute]: (fleet, value) =>
    fleet.faults.partitionedRoutes.add(formatRoute(getDaemon(value), `host-${value % HOSTS}`)),
  [JobStepKind.HealHosts]: ({ faults }) => {
    faults.partitionedHosts.clear();
    faults.partitionedRoutes.clear();
  },
  [JobStepKind.RestartHost]: (fleet, value) => fleet.startHost(`host-${value % HOSTS}`),
  [JobStepKind.ResizeHost]: (fleet, value) =>
    fleet.setCapacity(`host-${value % HOSTS}`, {
      ...CAPACITY,
      cpuMillis: CAPACITY.cpuMillis / (1 + (value % MAX_SHRINKING)),
    }),
  [JobStepKind.ToggleLateOrders]: (fleet, value) => {
    const { faults } = fleet;
    faults.delayedFraction = value % 2 === 0 ? LATE_SHARE : 0;
  },
  [JobStepKind.StoreDown]: ({ rows }) => {
    const stored = rows;
    stored.faults = { ...NO_STORE_FAULTS, isDown: true };
  },
  [JobStepKind.StoreLossy]: ({ rows }) => {
    const stored = rows;
    stored.faults = { ...NO_STORE_FAULTS, lostFraction: LOST_SHARE };
  },
  [JobStepKind.StoreSlow]: ({ rows }) => {
    const stored = rows;
    stored.faults = { ...NO_STORE_FAULTS, slowMs: SLOW_MS };
  },
  [JobStepKind.CompactHistory]: ({ rows }) => rows.compactHistory(),
  [JobStepKind.StoreHealthy]: ({ rows }) => {
    const stored = rows;
    stored.faults = NO_STORE_FAULTS;
  },
};

/** Decides for which violations a bound in time held: the processes and the store were free of faults. */
class CalmPeriods {
  readonly #fleet: EmulatedJobFleet;

  #lastFaultMs = 0;

  readonly #exempt = new Set<InvariantViolation>();

  constructor(fleet: EmulatedJobFleet) {
    this.#fleet = fleet;
  }

  /** Records that a step begins, during which no fault begins or ends. */
  recordStep(isProcessFault: boolean): void {
    if (isProcessFault || this.#fleet.hasStoreOrProcessFault()) {
      this.#lastFaultMs = this.#fleet.time.getNow();
    }
  }

  /** Records the end of a step, in which the violations after the given position were found. */
  recordStepEnd(violationCount: number): void {
    const { oracle, time } = this.#fleet;
    if (this.#fleet.hasStoreOrProcessFault()) {
      this.#lastFaultMs = time.getNow();
    }
    oracle.violations
      .slice(violationCount)
      .filter(({ promise, atMs }) => {
        const isBoundInTime = promise === JobInvariant.StartsNoCancelledJob;
        return isBoundInTime && atMs - this.#lastFaultMs < CONTACT_MS;
      })
      .forEach((violation) => this.#exempt.add(violation));
  }

  /** Lists the violations of all invariants that applied. */
  listViolations(): readonly InvariantViolation[] {
    return this.#fleet.oracle.violations.filter((violation) => !this.#exempt.has(violation));
  }
}

async function healFleet(fleet: EmulatedJobFleet): Promise<void> {
  const { rows, faults } = fleet;
  rows.faults = NO_STORE_FAULTS;
  faults.delayedFraction = 0;
  faults.partitionedHosts.clear();
  faults.partitionedRoutes.clear();
  DAEMONS.forEach((name) => {
    fleet.killDaemon(name);
    fleet.startDaemon(name);
  });
  await fleet.time.advance(RECOVERY_MS);
}

/** Runs jobs while owners, hosts, orders and the store fail. Checks the events seen by the hosts. */
export class JobsFuzzSuite extends FuzzSuite {
  override readonly name: string = 'jobs';

  readonly #prepare: (fleet: EmulatedJobFleet) => void;

  readonly #kinds: readonly JobStepKind[];

  /** @param prepare modifies the fleet before it starts; for tests that inject a defect. */
  constructor(
    prepare: (fleet: EmulatedJobFleet) => void = () => undefined,
    kinds: readonly JobStepKind[] = PLAIN_KINDS,
  ) {
    super();
    this.#prepare = prepare;
    this.#kinds = kinds;
  }

  override createProperty(): IAsyncProperty<unknown> {
    const history = record({
      seed: integer({ min: 0, max: MAX_SEED }),
      steps: array(createStepArbitrary(this.#kinds), { minLength: 3, maxLength: MAX_STEPS }),
    });
    return asyncProperty(history, async ({ seed, steps }) => this.#runHistory(seed, steps));
  }

  async #runHistory(seed: number, steps: readonly JobStep[]): Promise<void> {
    const fleet = new EmulatedJobFleet(seed, HOSTS);
    const jobs: string[] = [];
    const calmPeriods = new CalmPeriods(fleet);
    try {
      this.#prepare(fleet);
      DAEMONS.forEach((name) => fleet.startDaemon(name));
      await fleet.time.advance(STARTUP_MS);
      for (const { kind, value } of steps) {
        const violationCount = fleet.oracle.violations.length;
        HANDLERS[kind](fleet, value, jobs);
        calmPeriods.recordStep(PROCESS_FAULTS.has(kind));
        const isWait = kind === JobStepKind.Wait;
        await fleet.time.advance(isWait ? (value * MAX_WAIT_MS) / 1_000 : value % 50);
        calmPeriods.recordStepEnd(violationCount);
      }
      const violationCount = fleet.oracle.violations.length;
      calmPeriods.recordStep(true);
      await healFleet(fleet);
      calmPeriods.recordStepEnd(violationCount);
      const states = await Promise.all(jobs.map(async (job) => fleet.findState(job)));
      const unendedJobs = jobs.filter((_, index) => {
        const state = states[index] ?? null;
        return state === null || !isEnded(state);
      });
      const violations = calmPeriods.listViolations();
      checkInvariant(violations.length === 0, JSON.stringify(violations.slice(0, 3)));
      checkInvariant(unendedJobs.length === 0, `jobs never ended: ${unendedJobs.join()}`);
    } finally {
      fleet.close();
    }
  }
}

/** Runs jobs while, in addition, the capacity of hosts changes that accept what does not fit them. */
export class CapacityFuzzSuite extends JobsFuzzSuite {
  override readonly name = 'capacity';

  constructor() {
    super(
      (fleet) =>
        fleet.listHosts().forEach((listed) => {
          const host = listed;
          host.checksCapacity = false;
        }),
      Object.values(JobStepKind),
    );
  }
}
