/** Metrics of predicted durations of runs. */
import type { Registry } from 'prom-client';

import { Counter, Histogram } from 'prom-client';

/** Upper bounds of |log(actual / predicted)|. */
const LOG_RATIO_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3];

/** What predicted the duration of a run. */
export enum DurationSource {
  Caller = 'caller',
  Learned = 'learned',
}

/** What became of a copy of a run. */
export enum CopyEvent {
  Started = 'started',
  /** It ended before the run that it copied. */
  Won = 'won',
  Lost = 'lost',
}

/** Metrics of the owner on durations of runs and on copies of runs. */
export class DurationMetrics {
  readonly errors: Histogram<'queue' | 'source'>;

  readonly copies: Counter<'queue' | 'event'>;

  constructor(registry: Registry) {
    this.errors = new Histogram({
      name: 'baobabwell_duration_error',
      help: 'Absolute natural logarithm of actual / predicted duration of runs, by queue and source.',
      labelNames: ['queue', 'source'] as const,
      buckets: LOG_RATIO_BUCKETS,
      registers: [registry],
    });
    this.copies = new Counter({
      name: 'baobabwell_copies_total',
      help: 'Copies of runs that take long, by queue and event.',
      labelNames: ['queue', 'event'] as const,
      registers: [registry],
    });
  }
}
