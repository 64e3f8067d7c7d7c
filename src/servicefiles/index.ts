/** Checks and merges service files, and computes the changes from the configuration in force. */
export { computeChanges, describeChanges, computeRollbackChanges, getValueInForce, type ChangeOptions } from './changes.ts'
export { checkChanges, MAX_CHANGES } from './check-changes.ts'
export { checkServiceFile, formatServiceFile, SERVICE_FILE_LIMIT_BYTES } from './check-service-file.ts'
export { collectServiceFiles, type TextFile } from './collect.ts'
export { formatConfigurationReport, type ConfigurationReport, type ConfigurationWarning } from './configuration-report.ts'
export { configurationFromJson, configurationToJson, type ConfigurationJson } from './configuration-json.ts'
export { EMPTY_SERVICE_FILE, SERVICE_FILE_SUFFIX, type QueueEntry, type ServiceFile } from './service-file.ts'
