/** Metrics of one daemon process. Label values come from the configuration and enums, so their number is bounded. */
import { Counter, Gauge, Histogram } from 'prom-client';

import { OwnerMetrics } from './BaobabwellMetricsOwner';
import { ProcessMetrics, SECONDS_BUCKETS } from './BaobabwellMetricsProcess';

/** Metrics of one daemon process. */
export class DaemonMetrics extends ProcessMetrics {
  readonly owner = new OwnerMetrics(this.registry);

  readonly clientCalls = new Counter({
    name: 'baobabwell_client_calls_total',
    help: 'Answered client calls, by queue, request and answer.',
    labelNames: ['queue', 'request', 'answer'] as const,
    registers: [this.registry],
  });

  readonly clientCallTimings = new Counter({
    name: 'baobabwell_client_call_timings_total',
    help: 'Answered client calls, by request and whether the answer was in time, late or abandoned.',
    labelNames: ['request', 'timing'] as const,
    registers: [this.registry],
  });

  readonly clientCallSeconds = new Histogram({
    name: 'baobabwell_client_call_seconds',
    help: 'Time from receipt to answer of a client call, by request.',
    labelNames: ['request'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly clientLimits = new Gauge({
    name: 'baobabwell_client_limit',
    help: 'Bound of the sum over all clients, by limit.',
    labelNames: ['limit'] as const,
    registers: [this.registry],
  });

  readonly clientUsage = new Gauge({
    name: 'baobabwell_client_usage',
    help: 'Sum over all clients, by limit.',
    labelNames: ['limit'] as const,
    registers: [this.registry],
  });

  readonly clientLimitsReached = new Counter({
    name: 'baobabwell_client_limit_reached_total',
    help: 'Connections closed and calls refused because a limit for clients was reached, by limit.',
    labelNames: ['limit'] as const,
    registers: [this.registry],
  });

  readonly ownerEpoch = new Gauge({
    name: 'baobabwell_owner_epoch',
    help: 'Epoch of the ownership term of this process; 0 while it is not the owner.',
    registers: [this.registry],
  });

  readonly configurationVersion = new Gauge({
    name: 'baobabwell_configuration_version',
    help: 'Version of the configuration that this process applies.',
    registers: [this.registry],
  });

  /** Uses the name of the default metric of prom-client, so that reports read both in the same way. */
  readonly startTime = new Gauge({
    name: 'process_start_time_seconds',
    help: 'Start of the process, in seconds since 1970.',
    registers: [this.registry],
  });

  readonly configurationAgeSeconds = new Gauge({
    name: 'baobabwell_configuration_age_seconds',
    help: 'Time since the store confirmed the applied configuration; -1 before the first.',
    registers: [this.registry],
  });

  readonly storeCalls = new Counter({
    name: 'baobabwell_store_calls_total',
    help: 'Calls of this process to the store, by call and answer.',
    labelNames: ['call', 'answer'] as const,
    registers: [this.registry],
  });

  readonly storeCallSeconds = new Histogram({
    name: 'baobabwell_store_call_seconds',
    help: 'Time from request to answer of a call to the store, by call; excludes watches.',
    labelNames: ['call'] as const,
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly processorSeconds = new Counter({
    name: 'baobabwell_processor_seconds_total',
    help: 'Time for which this process ran code, by activity; `all` covers the activities and the rest.',
    labelNames: ['activity'] as const,
    registers: [this.registry],
  });

  readonly eventLoopDelaySeconds = new Histogram({
    name: 'baobabwell_event_loop_delay_seconds',
    help: 'Time by which timers of this process were late, measured ten times a second.',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
}
