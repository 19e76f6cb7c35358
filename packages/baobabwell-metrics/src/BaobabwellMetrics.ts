/** The metrics of one entry. Label values come from settings and view, so their number is bounded. */
import { collectDefaultMetrics, Counter, Gauge, Histogram } from 'prom-client';

import { ProcessMetrics, SECONDS_BUCKETS } from './BaobabwellMetricsProcess';

/** How a call counts against the service-level objective of its queue. */
export enum ObjectiveResult {
  /** Completed within the latency. */
  Met = 'met',
  /** Completed, but later. */
  Slow = 'slow',
  /** Not completed, for a reason that is not the caller's. */
  Failed = 'failed',
}

/** Holds and renders the metrics of one entry. */
export class EntryMetrics extends ProcessMetrics {
  readonly calls = new Counter({
    name: 'baobabwell_calls_total',
    help: 'Ended calls by queue, outcome and reason.',
    labelNames: ['queue', 'outcome', 'reason'] as const,
    registers: [this.registry],
  });

  readonly callSeconds = new Histogram({
    name: 'baobabwell_call_seconds',
    help: 'Time from receipt to result of a call.',
    labelNames: ['queue'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly objectiveCalls = new Counter({
    name: 'baobabwell_objective_calls_total',
    help: 'Ended calls that count against the objective of their queue, by result.',
    labelNames: ['queue', 'result'] as const,
    registers: [this.registry],
  });

  readonly turnWaitSeconds = new Histogram({
    name: 'baobabwell_turn_wait_seconds',
    help: 'Time that calls waited for a slot, by pool and priority.',
    labelNames: ['pool', 'priority'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: 'baobabwell_attempts_total',
    help: 'Attempts on workers, by queue and how they ended.',
    labelNames: ['queue', 'result'] as const,
    registers: [this.registry],
  });

  readonly waitingCalls = new Gauge({
    name: 'baobabwell_waiting_calls',
    help: 'Calls that wait for a slot, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly leasedSlots = new Gauge({
    name: 'baobabwell_leased_slots',
    help: 'Worker slots that this entry holds a lease on, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly usedSlots = new Gauge({
    name: 'baobabwell_used_slots',
    help: 'Worker slots in which work of this entry runs, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly heldPermits = new Gauge({
    name: 'baobabwell_held_permits',
    help: 'Permits of a team that this entry holds within the upper limit, by team.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });

  readonly usedPermits = new Gauge({
    name: 'baobabwell_used_permits',
    help: 'Permits with which work of this entry runs, by team.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });

  readonly waitingForPermit = new Gauge({
    name: 'baobabwell_team_waiting_calls',
    help: 'Calls that wait for their turn at this entry, by team.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });

  readonly slotTargets = new Gauge({
    name: 'baobabwell_slot_target',
    help: 'Slots that a team may use at this entry while the pool is full, by pool and team.',
    labelNames: ['pool', 'team'] as const,
    registers: [this.registry],
  });

  readonly hosts = new Gauge({
    name: 'baobabwell_hosts',
    help: 'Hosts by pool and state.',
    labelNames: ['pool', 'state'] as const,
    registers: [this.registry],
  });

  readonly budgetLeft = new Gauge({
    name: 'baobabwell_budget_left_hosts',
    help: 'Hosts that serve above the availability budget, by pool; negative below it.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly suspectWorkers = new Gauge({
    name: 'baobabwell_suspect_workers',
    help: 'Workers that fail what they are given and get probes only, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly waves = new Gauge({
    name: 'baobabwell_waves',
    help: 'Waves by state.',
    labelNames: ['state'] as const,
    registers: [this.registry],
  });

  readonly workerEvents = new Counter({
    name: 'baobabwell_worker_events_total',
    help: 'Workers found suspect, trusted again or silent, by pool.',
    labelNames: ['pool', 'event'] as const,
    registers: [this.registry],
  });

  readonly unstoredOutcomes = new Gauge({
    name: 'baobabwell_unstored_outcomes',
    help: 'Outcomes of calls with an idempotency key that are not stored yet.',
    registers: [this.registry],
  });

  readonly members = new Gauge({
    name: 'baobabwell_members',
    help: 'Entries that belong to the fleet.',
    registers: [this.registry],
  });

  readonly fences = new Gauge({
    name: 'baobabwell_fences',
    help: 'Lives of entries that were cut off from the fleet.',
    registers: [this.registry],
  });

  readonly viewVersion = new Gauge({
    name: 'baobabwell_view_version',
    help: 'Number of the newest applied change.',
    registers: [this.registry],
  });

  readonly viewAcceptedVersion = new Gauge({
    name: 'baobabwell_view_accepted_version',
    help: 'Number of the newest change that a majority of the members holds.',
    registers: [this.registry],
  });

  readonly viewInForceVersion = new Gauge({
    name: 'baobabwell_view_in_force_version',
    help: 'Number of the newest change without which no entry starts work.',
    registers: [this.registry],
  });

  readonly unreachableMembers = new Gauge({
    name: 'baobabwell_unreachable_members',
    help: 'Members that have not answered this entry for some time.',
    registers: [this.registry],
  });

  readonly viewAgeSeconds = new Gauge({
    name: 'baobabwell_view_age_seconds',
    help: 'Time since the view was last confirmed to be complete.',
    registers: [this.registry],
  });

  /** Adds the metrics of the process: memory, processor time, event loop, garbage collection. */
  startProcessMetrics(): void {
    collectDefaultMetrics({ register: this.registry });
  }
}
