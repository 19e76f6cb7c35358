import type { LogLevel } from '@baobabwell/logging';
import type { EntrySettings, Settings } from '@baobabwell/settings';
import type { Clock } from '@baobabwell/utils';

import { randomUUID } from 'node:crypto';

import { Kernel } from '@baobabwell/kernel';
import { Logger } from '@baobabwell/logging';
import { EntryMetrics } from '@baobabwell/metrics';

import { callsPlugin } from './BaobabwellEntryCallsPlugin';
import { operatorsPlugin } from './BaobabwellEntryOperatorsPlugin';
import { peerServerPlugin, peersPlugin } from './BaobabwellEntryPeersPlugin';
import { platformPlugin } from './BaobabwellEntryPlatformPlugin';
import { ENTRY_SETTINGS, IDENTITY, LOGGER, METRICS, SETTINGS } from './BaobabwellEntryTokens';
import { viewPlugin } from './BaobabwellEntryViewPlugin';

/** Builds one entry from its settings; `start` and `close` of the kernel run it. */
export function buildEntry(settings: Settings, entry: EntrySettings, clock: Clock): Kernel {
  const kernel = new Kernel(clock);
  const identity = { id: entry.id, incarnation: randomUUID() };
  kernel.registerService(SETTINGS, () => settings);
  kernel.registerService(ENTRY_SETTINGS, () => entry);
  kernel.registerService(IDENTITY, () => identity);
  kernel.registerService(
    LOGGER,
    () => new Logger(settings.log.level as LogLevel, { entry: entry.id }),
  );
  kernel.registerService(METRICS, () => new EntryMetrics());
  [platformPlugin, peersPlugin, viewPlugin, callsPlugin, operatorsPlugin, peerServerPlugin].forEach(
    (plugin) => kernel.use(plugin),
  );
  return kernel;
}
