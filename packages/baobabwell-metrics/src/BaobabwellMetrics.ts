/** The metrics of one entry. Label values come from settings and view, so their number is bounded. */
import type { MetricObjectWithValues, MetricValue } from 'prom-client';

import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** How a call counts against the service-level objective of its queue. */
export enum ObjectiveResult {
  /** Completed within the latency. */
  Met = 'met',
  /** Completed, but later. */
  Slow = 'slow',
  /** Not completed, for a reason that is not the caller's. */
  Failed = 'failed',
}

/** Brings gauges up to date before they are read. */
export type CollectGauges = () => void;

/** Holds and renders the metrics of one entry. */
export class EntryMetrics {
  readonly registry = new Registry();

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

  readonly #collectors = new Set<CollectGauges>();

  /** Adds the metrics of the process: memory, processor time, event loop, garbage collection. */
  startProcessMetrics(): void {
    collectDefaultMetrics({ register: this.registry });
  }

  /** Calls `collect` before each rendering; returns the undo. */
  registerCollector(collect: CollectGauges): () => void {
    this.#collectors.add(collect);
    return () => {
      this.#collectors.delete(collect);
    };
  }

  /** Renders all metrics in the text format of Prometheus. */
  async format(): Promise<string> {
    this.#collectors.forEach((collect) => collect());
    return this.registry.metrics();
  }

  /** Lists all metrics with their values. */
  async list(): Promise<readonly MetricObjectWithValues<MetricValue<string>>[]> {
    this.#collectors.forEach((collect) => collect());
    return this.registry.getMetricsAsJSON();
  }
}
