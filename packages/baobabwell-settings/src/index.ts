export type { PolicySettings } from './BaobabwellSettingsPolicies';
export type { Objective } from './BaobabwellSettingsQueues';
export type { EntrySettings, FleetSettings, Settings } from './BaobabwellSettingsSchema';
export type { CertificateFiles, TlsSettings } from './BaobabwellSettingsTls';

export { buildFleetMutations } from './BaobabwellSettingsFleet';
export { parseSettings, readSettings } from './BaobabwellSettingsParser';
export {
  AdmissionPolicy,
  PermitPolicy,
  policiesSchema,
  SharePolicy,
} from './BaobabwellSettingsPolicies';
export { settingsSchema } from './BaobabwellSettingsSchema';
export { parseDuration, parseMemory, parsePercentage } from './BaobabwellSettingsUnits';
