export type { PolicySettings } from './BaobabwellSettingsPolicies';
export type { EntrySettings, FleetSettings, Settings } from './BaobabwellSettingsSchema';

export { buildFleet } from './BaobabwellSettingsFleet';
export { parseSettings } from './BaobabwellSettingsParser';
export {
  AdmissionPolicy,
  PermitPolicy,
  policiesSchema,
  SharePolicy,
} from './BaobabwellSettingsPolicies';
export { settingsSchema } from './BaobabwellSettingsSchema';
export { parseDuration } from './BaobabwellSettingsUnits';
