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
import { permitReservePlugin, permitsPlugin } from './BaobabwellEntryPermitsPlugin';
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

/** Settings and services from which an entry is built. */
export type EntryOptions = {
  readonly settings: Settings;
  readonly entry: EntrySettings;
  readonly clock: Clock;
  /** Identifier of the first incarnation of this process; it differs from all earlier ones. */
  readonly incarnation: string;
  readonly logger: Logger;
};

/** Plug-ins that connect an entry to its platform, its peers, its workers and its callers. */
export type EntryConnections = {
  /** Plug-ins registered before the features, which use the services that they provide. */
  readonly pluginsBeforeFeatures: readonly Plugin[];
  /** Plug-ins registered after the features: the servers that expose them. */
  readonly pluginsAfterFeatures: readonly Plugin[];
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

/** Builds an entry from its feature plug-ins and the given connections. */
export function buildConnectedEntry(
  { settings, entry, clock, incarnation, logger }: EntryOptions,
  { pluginsBeforeFeatures, pluginsAfterFeatures }: EntryConnections,
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
  [
    ...pluginsBeforeFeatures,
    ...FEATURES,
    ...pluginsAfterFeatures,
    joinPlugin,
    permitReservePlugin,
  ].forEach((plugin) => kernel.use(plugin));
  return kernel;
}

/**
 * Builds an entry that is connected over HTTP; the caller starts and closes the returned kernel.
 */
export function buildEntry(settings: Settings, entry: EntrySettings, clock: Clock): Kernel {
  const logger = new Logger(settings.log.level as LogLevel, { entry: entry.id });
  return buildConnectedEntry(
    { settings, entry, clock, incarnation: randomUUID(), logger },
    {
      pluginsBeforeFeatures: [platformPlugin, peersPlugin, workersPlugin],
      pluginsAfterFeatures: [callServerPlugin, operatorServerPlugin, peerServerPlugin],
    },
  );
}
