import type { Registry } from 'prom-client';

import { Counter } from 'prom-client';

/** Metrics of the owner on hosts that crash, or that receive no work because of how their runs fared. */
export class HostHealthMetrics {
  readonly crashes: Counter<'pool'>;

  readonly ejections: Counter<'pool' | 'fault'>;

  readonly admissions: Counter<'pool'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.crashes = new Counter({
      name: 'baobabwell_host_crashes_total',
      help: 'Crashed hosts.',
      labelNames: ['pool'],
      registers,
    });
    this.ejections = new Counter({
      name: 'baobabwell_host_ejections_total',
      help: 'Hosts that were ejected because of their runs, by pool and fault: failing or slow.',
      labelNames: ['pool', 'fault'],
      registers,
    });
    this.admissions = new Counter({
      name: 'baobabwell_host_admissions_total',
      help: 'Ejected hosts that were admitted again, by pool.',
      labelNames: ['pool'],
      registers,
    });
  }
}
