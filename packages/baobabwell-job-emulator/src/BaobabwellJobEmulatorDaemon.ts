import type { EmulatedHost } from './BaobabwellJobEmulatorHost';
import type { HostFaults } from './BaobabwellJobEmulatorOrders';
import type { EmulatedPeerReports } from './BaobabwellJobEmulatorPeers';
import type { ProcessorCosts } from './BaobabwellJobEmulatorProcessor';
import type { EmulatedRows } from './BaobabwellJobEmulatorStore';
import type { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import type { FleetConfiguration } from '@baobabwell/fleet';
import type { MemoryLimits } from '@baobabwell/jobs';
import type { CloudControl } from '@baobabwell/platform';
import type { Random } from '@baobabwell/utils';

import { Controller, HOST_LEASE_MS } from '@baobabwell/controller';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { Ownership } from '@baobabwell/ownership';

import { MAX_LEASE_MS } from './BaobabwellJobEmulatorHost';
import { EmulatedHostOrders } from './BaobabwellJobEmulatorOrders';
import {
  EmulatedProcessor,
  EmulatedProcessorTime,
  ProcessorClock,
} from './BaobabwellJobEmulatorProcessor';
import { EmulatedJobStore } from './BaobabwellJobEmulatorStore';
import { BOUNDS, CODEC } from './BaobabwellJobEmulatorTables';

/** One emulated process, a candidate for ownership. */
export type Daemon = {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly processor: EmulatedProcessor;
  readonly ownership: Ownership;
  readonly controller: Controller;
  readonly store: EmulatedJobStore;
};

/** Creates a process on the clock, the store and the hosts of a fleet. */
export function createDaemon(options: {
  readonly name: string;
  readonly incarnation: string;
  readonly time: EmulatedTime;
  readonly random: Random;
  readonly rows: EmulatedRows;
  readonly faults: HostFaults;
  readonly processorCosts: ProcessorCosts;
  readonly cloud: CloudControl | null;
  readonly peerReports: EmulatedPeerReports;
  readonly findHost: (id: string) => EmulatedHost | null;
  readonly getConfiguration: () => FleetConfiguration;
  readonly getMemoryLimits: () => MemoryLimits;
  readonly recordLine: (line: string) => void;
}): Daemon {
  const { name, incarnation, time, random, rows, faults, cloud, peerReports } = options;
  const { findHost, getConfiguration, getMemoryLimits, recordLine } = options;
  const processor = new EmulatedProcessor(time, options.processorCosts);
  const clock = new ProcessorClock(time, processor);
  const store = new EmulatedJobStore(clock, time, random, rows);
  const logger = new Logger(LogLevel.Info, { daemon: name }, (line) =>
    recordLine(`${time.getNow()} ${line}`),
  );
  const ownership = new Ownership({
    store,
    clock,
    logger,
    candidate: { name, incarnation, address: name, fitness: 0.5 },
    listener: {
      prepareTerm: () => controller.prepareTerm(),
      startTerm: (term) => controller.startTerm(term),
      endTerm: () => controller.endTerm(),
    },
    maxLeaseExtensionMs: MAX_LEASE_MS - HOST_LEASE_MS,
  });
  const controller = new Controller({
    holder: name,
    clock,
    logger,
    metrics: new DaemonMetrics().owner,
    processorTime: new EmulatedProcessorTime(processor),
    bounds: BOUNDS,
    codec: CODEC,
    store,
    orders: new EmulatedHostOrders({
      process: name,
      clock,
      processor,
      sharedClock: time,
      random,
      faults,
      findHost,
    }),
    cloud,
    advisor: null,
    ownership,
    peerReports,
    getConfiguration,
    getMemoryLimits,
  });
  return { name, clock, processor, ownership, controller, store };
}
