import type { FleetConfiguration } from '@baobabwell/fleet';
import type { Resources, StepSpec } from '@baobabwell/jobs';

export const POOL = 'ovens';
export const SPARE_POOL = 'storeroom';
export const QUEUE = 'bakes';

/** Maximum attempts of a task. */
export const MAX_ATTEMPTS = 3;

/** CPU cap of an organisation. */
export const CAP_CPU_MILLIS = 40_000;

/** Capacity with which a host starts. */
export const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** A step of four short tasks without placement constraints; tests override single fields. */
export const PLAIN_STEP: StepSpec = {
  taskCount: 4,
  need: { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 },
  estimateMs: 500,
  after: [],
  keepsCheckpoints: false,
  isGang: false,
  prefersOneRack: false,
  hostLabel: null,
  dataRack: null,
  maxPerHost: 0,
  isSpeculative: false,
  isLasting: false,
  image: '',
  tailTargetMs: 0,
  isFilling: false,
  maxAway: 0,
};

/** The operator's configuration of an emulated fleet. */
export const CONFIGURATION: FleetConfiguration = {
  version: 1,
  queues: [
    {
      name: QUEUE,
      httpHost: 'bakery.example',
      pathPrefix: '/bakes/',
      pool: POOL,
      priority: 0,
      maxAttempts: MAX_ATTEMPTS,
      stretch: 1.6,
      targetLatencyMs: 600,
      isOpen: false,
      advice: null,
    },
  ],
  pools: [
    { name: POOL, isSpare: false, checksRoom: true },
    { name: SPARE_POOL, isSpare: true, checksRoom: true },
  ],
  organisations: [
    {
      name: 'guild',
      keys: ['guild-key'],
      weight: 1,
      cap: { cpuMillis: CAP_CPU_MILLIS, memoryMb: 0, gpus: 0 },
    },
  ],
  maxBodyBytes: 65_536,
};
