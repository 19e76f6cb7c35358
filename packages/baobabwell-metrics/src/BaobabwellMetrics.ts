import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const CALL_SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** The metrics of one entry. Label values come from the view, so their number is bounded. */
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
    buckets: CALL_SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly viewVersion = new Gauge({
    name: 'baobabwell_view_version',
    help: 'Number of the newest applied change.',
    registers: [this.registry],
  });

  readonly viewAgeSeconds = new Gauge({
    name: 'baobabwell_view_age_seconds',
    help: 'Time since the view was last confirmed to be complete.',
    registers: [this.registry],
  });
}
