/** Settings of one member: the table, the checks and the texts that are generated from the table. */
export { checkSettings, formatSettings, SETTINGS_FILE_LIMIT_BYTES, SETTINGS_SHAPE } from './check-settings.ts'
export { checkCellSettings, type SettingsFile } from './check-together.ts'
export { settingsHelp, settingsPage } from './describe-settings.ts'
export { NAME_PATTERN, SETTINGS_TABLE, type Setting, type SettingPointer } from './settings-table.ts'
export type { Limits, SeedPeer, Settings, Timings, Tls } from './settings.ts'
