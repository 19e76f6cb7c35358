/** Metrics of the owner, which schedules jobs on the fleet. Label values come from the configuration and enums. */
import type { Registry } from 'prom-client';

import { Counter, Gauge, Histogram } from 'prom-client';

import { DurationMetrics } from './BaobabwellMetricsDurations';
import { HostHealthMetrics } from './BaobabwellMetricsHostHealth';
import { LeaseMetrics } from './BaobabwellMetricsLeases';

const JOB_SECONDS_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** Metrics of a process during its terms as the owner. */
export class OwnerMetrics {
  readonly #registers: Registry[];

  readonly jobs: Counter<'queue' | 'event'>;

  readonly refusedJobs: Counter<'queue' | 'reason'>;

  readonly objectiveCalls: Counter<'queue' | 'result'>;

  readonly firstStartSeconds: Histogram<'queue'>;

  readonly jobSeconds: Histogram<'queue'>;

  readonly durations: DurationMetrics;

  readonly starts: Counter<'pool' | 'answer'>;

  readonly runs: Counter<'pool' | 'end'>;

  readonly lostRuns: Counter<'pool' | 'ground'>;

  readonly hostHealth: HostHealthMetrics;

  readonly waitingJobs: Gauge<'queue'>;

  readonly poolHosts: Gauge<'pool' | 'state'>;

  readonly poolCores: Gauge<'pool' | 'use'>;

  readonly machineOrders: Counter<'order' | 'answer'>;

  readonly waveMachines: Gauge<'wave' | 'state'>;

  readonly evacuations: Gauge<'zone' | 'left'>;

  readonly terms: Counter<'start'>;

  readonly termLoadSeconds: Histogram;

  readonly leases: LeaseMetrics;

  constructor(registry: Registry) {
    this.#registers = [registry];
    this.jobs = this.#createCounter(
      'baobabwell_jobs_total',
      'Jobs by queue and event: accepted, completed, failed, cancelled.',
      ['queue', 'event'],
    );
    this.refusedJobs = this.#createCounter(
      'baobabwell_refused_jobs_total',
      'Jobs that were refused before they were stored, by queue and reason.',
      ['queue', 'reason'],
    );
    this.objectiveCalls = this.#createCounter(
      'baobabwell_objective_calls_total',
      'Ended jobs that count towards the objective of their queue, by result.',
      ['queue', 'result'],
    );
    this.firstStartSeconds = this.#createHistogram(
      'baobabwell_job_first_start_seconds',
      'Time from the acceptance of a job to its first start, by queue.',
      ['queue'],
    );
    this.jobSeconds = this.#createHistogram(
      'baobabwell_job_seconds',
      'Time from the acceptance of a job to its end, by queue.',
      ['queue'],
    );
    this.durations = new DurationMetrics(registry);
    this.starts = this.#createCounter(
      'baobabwell_starts_total',
      'Orders to start a task, by pool and answer of the host.',
      ['pool', 'answer'],
    );
    this.runs = this.#createCounter('baobabwell_runs_total', 'Ended runs, by pool and end.', [
      'pool',
      'end',
    ]);
    this.lostRuns = this.#createCounter(
      'baobabwell_runs_lost_total',
      'Runs given up without a reported end, by pool and ground.',
      ['pool', 'ground'],
    );
    this.hostHealth = new HostHealthMetrics(registry);
    this.waitingJobs = this.#createGauge(
      'baobabwell_waiting_jobs',
      'Accepted jobs without a started task, by queue.',
      ['queue'],
    );
    this.poolHosts = this.#createGauge(
      'baobabwell_pool_hosts',
      'Hosts of a pool: up, arriving, desired (wanted) and predicted beyond its base at the start of a burst.',
      ['pool', 'state'],
    );
    this.poolCores = this.#createGauge(
      'baobabwell_pool_cores',
      'Cores of a pool for tasks that run to completion: available (room), in use (running), requested (waiting).',
      ['pool', 'use'],
    );
    this.machineOrders = this.#createCounter(
      'baobabwell_machine_orders_total',
      'Orders to move or maintain machines, by order and answer.',
      ['order', 'answer'],
    );
    this.waveMachines = this.#createWaveGauge();
    this.evacuations = this.#createEvacuationGauge();
    this.terms = this.#createCounter(
      'baobabwell_terms_total',
      'Terms of this process as the owner, by start: handover or takeover.',
      ['start'],
    );
    this.termLoadSeconds = this.#createHistogram(
      'baobabwell_term_load_seconds',
      'Time from the start of a term until all rows are loaded.',
      [],
    );
    this.leases = new LeaseMetrics(registry);
  }

  /** Resets the gauges that describe the fleet during the last term. */
  resetGauges(): void {
    [this.waitingJobs, this.poolHosts, this.poolCores, this.waveMachines, this.evacuations].forEach(
      (gauge) => gauge.reset(),
    );
  }

  #createWaveGauge() {
    return this.#createGauge(
      'baobabwell_wave_machines',
      'Machines of a maintenance wave: done and total.',
      ['wave', 'state'],
    );
  }

  #createEvacuationGauge() {
    return this.#createGauge(
      'baobabwell_evacuations',
      'Hosts, runs and long running tasks (long-runs) left in each evacuated data centre.',
      ['zone', 'left'],
    );
  }

  #createCounter<Label extends string>(name: string, help: string, labelNames: Label[]) {
    return new Counter<Label>({ name, help, labelNames, registers: this.#registers });
  }

  #createGauge<Label extends string>(name: string, help: string, labelNames: Label[]) {
    return new Gauge<Label>({ name, help, labelNames, registers: this.#registers });
  }

  #createHistogram<Label extends string>(name: string, help: string, labelNames: Label[]) {
    const buckets = JOB_SECONDS_BUCKETS;
    return new Histogram<Label>({ name, help, labelNames, buckets, registers: this.#registers });
  }
}
