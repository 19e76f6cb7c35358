export type { EntrySettings, FleetSettings, Settings } from './BaobabwellSettingsSchema';

export { buildFleet } from './BaobabwellSettingsFleet';
export { parseSettings } from './BaobabwellSettingsParser';
export { settingsSchema } from './BaobabwellSettingsSchema';
export { parseDuration } from './BaobabwellSettingsUnits';
