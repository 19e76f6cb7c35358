/** Metrics of one entry. Label values come from the settings and the view, so their number is bounded. */
import { collectDefaultMetrics, Counter, Gauge, Histogram } from 'prom-client';

import { ProcessMetrics, SECONDS_BUCKETS } from './BaobabwellMetricsProcess';

/** Result of a call with regard to the service-level objective of its queue. */
export enum ObjectiveResult {
  /** Completed within the target latency. */
  Met = 'met',
  /** Completed after the target latency. */
  Slow = 'slow',
  /** Not completed, and not because of the caller. */
  Failed = 'failed',
}

/** Metrics of one entry. */
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
    help: 'Ended calls that count towards the objective of their queue, by result.',
    labelNames: ['queue', 'result'] as const,
    registers: [this.registry],
  });

  readonly slotWaitSeconds = new Histogram({
    name: 'baobabwell_turn_wait_seconds',
    help: 'Time that calls waited for a slot, by pool and priority.',
    labelNames: ['pool', 'priority'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: 'baobabwell_attempts_total',
    help: 'Attempts on workers, by queue and result.',
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
    help: 'Worker slots that this entry leases, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly usedSlots = new Gauge({
    name: 'baobabwell_used_slots',
    help: 'Worker slots that calls of this entry use, by pool.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly heldPermits = new Gauge({
    name: 'baobabwell_held_permits',
    help: 'Permits that this entry holds within the limit of a team, by team.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });

  readonly usedPermits = new Gauge({
    name: 'baobabwell_used_permits',
    help: 'Permits that calls of this entry use, by team.',
    labelNames: ['team'] as const,
    registers: [this.registry],
  });

  readonly callsWaitingForPermit = new Gauge({
    name: 'baobabwell_team_waiting_calls',
    help: 'Calls that wait for a permit at this entry, by team.',
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
    help: 'Serving hosts above the availability budget, by pool; negative below it.',
    labelNames: ['pool'] as const,
    registers: [this.registry],
  });

  readonly suspectWorkers = new Gauge({
    name: 'baobabwell_suspect_workers',
    help: 'Workers that fail their calls and receive only probes, by pool.',
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
    help: 'Workers that became suspect, trusted again or unresponsive, by pool.',
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
    help: 'Fenced incarnations of entries.',
    registers: [this.registry],
  });

  readonly viewVersion = new Gauge({
    name: 'baobabwell_view_version',
    help: 'Version of the newest applied change.',
    registers: [this.registry],
  });

  readonly viewAcceptedVersion = new Gauge({
    name: 'baobabwell_view_accepted_version',
    help: 'Version of the newest change that a majority of the members has accepted.',
    registers: [this.registry],
  });

  readonly viewInForceVersion = new Gauge({
    name: 'baobabwell_view_in_force_version',
    help: 'Version of the newest change that every entry must have applied before it starts work.',
    registers: [this.registry],
  });

  readonly unreachableMembers = new Gauge({
    name: 'baobabwell_unreachable_members',
    help: 'Members that have not answered this entry recently.',
    registers: [this.registry],
  });

  readonly viewAgeSeconds = new Gauge({
    name: 'baobabwell_view_age_seconds',
    help: 'Time since the view was last confirmed to be complete.',
    registers: [this.registry],
  });

  /** Adds the process metrics: memory, CPU time, event loop, garbage collection. */
  startProcessMetrics(): void {
    collectDefaultMetrics({ register: this.registry });
  }
}
