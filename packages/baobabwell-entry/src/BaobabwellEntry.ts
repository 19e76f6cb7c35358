import type { Plugin } from '@baobabwell/kernel';
import type { LogLevel } from '@baobabwell/logging';
import type { EntrySettings, Settings } from '@baobabwell/settings';
import type { Clock } from '@baobabwell/utils';

import { randomUUID } from 'node:crypto';

import { Kernel } from '@baobabwell/kernel';
import { Logger } from '@baobabwell/logging';
import { MemberIdentity } from '@baobabwell/membership';

import { callServerPlugin } from './BaobabwellEntryCallServerPlugin';
import { callsPlugin } from './BaobabwellEntryCallsPlugin';
import { deferredPlugin } from './BaobabwellEntryDeferredPlugin';
import { idempotencyPlugin } from './BaobabwellEntryIdempotencyPlugin';
import { maintenancePlugin } from './BaobabwellEntryMaintenancePlugin';
import { joinPlugin, membershipPlugin } from './BaobabwellEntryMembershipPlugin';
import { metricsPlugin } from './BaobabwellEntryMetricsPlugin';
import { operatorServerPlugin } from './BaobabwellEntryOperatorServerPlugin';
import { operatorsPlugin } from './BaobabwellEntryOperatorsPlugin';
import { peerServerPlugin, peersPlugin } from './BaobabwellEntryPeersPlugin';
import { permitsPlugin, reservePlugin } from './BaobabwellEntryPermitsPlugin';
import { platformPlugin } from './BaobabwellEntryPlatformPlugin';
import { Readiness } from './BaobabwellEntryReadiness';
import { sharesPlugin } from './BaobabwellEntrySharesPlugin';
import {
  ENTRY_SETTINGS,
  FRESHNESS,
  IDENTITY,
  LOGGER,
  PEER_ROUTERS,
  READINESS,
  SETTINGS,
} from './BaobabwellEntryTokens';
import { viewPlugin } from './BaobabwellEntryViewPlugin';
import { workersPlugin } from './BaobabwellEntryWorkersPlugin';

/** What one entry is built from. */
export type EntryOptions = {
  readonly settings: Settings;
  readonly entry: EntrySettings;
  readonly clock: Clock;
  /** Distinguishes the lives of one entry. */
  readonly incarnation: string;
  readonly logger: Logger;
};

/** How an entry reaches the rest: its platform, its peers, its workers, and its servers. */
export type EntryConnections = {
  /** Registered before the features, which use what these provide. */
  readonly before: readonly Plugin[];
  /** Registered after the features, which they offer to the outside. */
  readonly after: readonly Plugin[];
};

const FEATURES: readonly Plugin[] = [
  metricsPlugin,
  viewPlugin,
  membershipPlugin,
  permitsPlugin,
  sharesPlugin,
  idempotencyPlugin,
  callsPlugin,
  maintenancePlugin,
  operatorsPlugin,
  deferredPlugin,
];

/** Builds an entry with the given connections. */
export function buildConnectedEntry(
  { settings, entry, clock, incarnation, logger }: EntryOptions,
  { before, after }: EntryConnections,
): Kernel {
  const kernel = new Kernel(clock);
  kernel.registerService(SETTINGS, () => settings);
  kernel.registerService(ENTRY_SETTINGS, () => entry);
  kernel.registerService(IDENTITY, () => new MemberIdentity(entry.id, incarnation));
  kernel.registerService(LOGGER, () => logger);
  kernel.registerService(PEER_ROUTERS, () => []);
  kernel.registerService(
    READINESS,
    () => new Readiness(() => kernel.getService(FRESHNESS).isCurrent()),
  );
  [...before, ...FEATURES, ...after, joinPlugin, reservePlugin].forEach((plugin) =>
    kernel.use(plugin),
  );
  return kernel;
}

/** Builds an entry that is connected over HTTP; `start` and `close` of the kernel run it. */
export function buildEntry(settings: Settings, entry: EntrySettings, clock: Clock): Kernel {
  const logger = new Logger(settings.log.level as LogLevel, { entry: entry.id });
  return buildConnectedEntry(
    { settings, entry, clock, incarnation: randomUUID(), logger },
    {
      before: [platformPlugin, peersPlugin, workersPlugin],
      after: [callServerPlugin, operatorServerPlugin, peerServerPlugin],
    },
  );
}
