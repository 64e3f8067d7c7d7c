/** Settings of one member: the table, the checks and the texts that are generated from the table. */
export { checkSettings, formatSettings, SETTINGS_FILE_LIMIT_BYTES, SETTINGS_SHAPE } from './check-settings.ts'
export { checkCellSettings, type SettingsFile } from './check-together.ts'
export { settingsHelp, settingsPage } from './describe-settings.ts'
export { checkFeatureSettings, DEFAULT_FEATURES, FEATURE_TABLE, type FeatureSettings, type SchedulingFeatures } from './feature-settings.ts'
export type { Setting } from './setting.ts'
export { NAME_PATTERN, SETTINGS_TABLE, type SettingPointer } from './settings-table.ts'
export type { Limits, SeedPeer, Settings, Timings, Tls } from './settings.ts'
