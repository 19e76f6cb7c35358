/** Metrics of how soon leases are renewed: that of the owner, and those on hosts. */
import type { Registry } from 'prom-client';

import { Histogram } from 'prom-client';

const LEASE_SECONDS_BUCKETS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Times until leases were renewed. */
export class LeaseMetrics {
  readonly termFirstLeaseSeconds: Histogram;

  readonly renewalSeconds: Histogram;

  constructor(registry: Registry) {
    const options = { buckets: LEASE_SECONDS_BUCKETS, registers: [registry] };
    this.termFirstLeaseSeconds = new Histogram({
      ...options,
      name: 'baobabwell_term_first_lease_seconds',
      help: 'Time from the start of a term until it first renewed a lease on a host.',
    });
    this.renewalSeconds = new Histogram({
      ...options,
      name: 'baobabwell_ownership_renewal_seconds',
      help: 'Time from the sending of a renewal of the ownership until the store confirmed it.',
    });
  }
}
