/** What an owner counts while it plans the fleet's work. Label values come from the configuration and enums. */
import type { Registry } from 'prom-client';

import { Counter, Gauge, Histogram } from 'prom-client';

const JOB_SECONDS_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** Holds the metrics of an owner's terms. */
export class OwnerMetrics {
  readonly #registers: Registry[];

  readonly jobs: Counter<'queue' | 'event'>;

  readonly refusedJobs: Counter<'queue' | 'reason'>;

  readonly objectiveCalls: Counter<'queue' | 'result'>;

  readonly firstStartSeconds: Histogram<'queue'>;

  readonly jobSeconds: Histogram<'queue'>;

  readonly starts: Counter<'pool' | 'answer'>;

  readonly runs: Counter<'pool' | 'end'>;

  readonly waitingJobs: Gauge<'queue'>;

  readonly poolHosts: Gauge<'pool' | 'state'>;

  readonly poolCores: Gauge<'pool' | 'use'>;

  readonly machineOrders: Counter<'order' | 'answer'>;

  readonly waveMachines: Gauge<'wave' | 'state'>;

  readonly terms: Counter<'start'>;

  readonly termLoadSeconds: Histogram;

  constructor(registry: Registry) {
    this.#registers = [registry];
    this.jobs = this.#createCounter(
      'baobabwell_jobs_total',
      'Jobs by queue and what became of them: accepted, completed, failed, cancelled.',
      ['queue', 'event'],
    );
    this.refusedJobs = this.#createCounter(
      'baobabwell_refused_jobs_total',
      'Jobs that were refused before anything of them was stored, by queue and reason.',
      ['queue', 'reason'],
    );
    this.objectiveCalls = this.#createCounter(
      'baobabwell_objective_calls_total',
      'Ended jobs that count against the objective of their queue, by result.',
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
    this.starts = this.#createCounter(
      'baobabwell_starts_total',
      'Orders to start a task, by pool and answer of the host.',
      ['pool', 'answer'],
    );
    this.runs = this.#createCounter('baobabwell_runs_total', 'Runs by pool and how they ended.', [
      'pool',
      'end',
    ]);
    this.waitingJobs = this.#createGauge(
      'baobabwell_waiting_jobs',
      'Accepted jobs of which nothing was started, by queue.',
      ['queue'],
    );
    this.poolHosts = this.#createGauge(
      'baobabwell_pool_hosts',
      'Hosts of a pool: up, arriving, and wanted.',
      ['pool', 'state'],
    );
    this.poolCores = this.#createGauge(
      'baobabwell_pool_cores',
      'Cores of a pool: room for tasks that end, in use by them, and asked for by those that wait.',
      ['pool', 'use'],
    );
    this.machineOrders = this.#createCounter(
      'baobabwell_machine_orders_total',
      'Orders for machines, move or upkeep, by answer.',
      ['order', 'answer'],
    );
    this.waveMachines = this.#createGauge(
      'baobabwell_wave_machines',
      'Machines of a maintenance wave: done, and all of them.',
      ['wave', 'state'],
    );
    this.terms = this.#createCounter(
      'baobabwell_terms_total',
      'Terms of this process as the owner, by how they began: handover or takeover.',
      ['start'],
    );
    this.termLoadSeconds = this.#createHistogram(
      'baobabwell_term_load_seconds',
      'Time from the start of a term until its rows were read.',
      [],
    );
  }

  /** Forgets what described the fleet as the last term saw it. */
  clearGauges(): void {
    [this.waitingJobs, this.poolHosts, this.poolCores, this.waveMachines].forEach((gauge) =>
      gauge.reset(),
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
