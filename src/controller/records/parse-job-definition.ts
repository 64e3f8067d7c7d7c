import type { JobDefinition } from '../../workflow/job.ts'
import { isJobDefinition, isJobSettings } from './record-guards.ts'
import { parseRecord } from './stored-record.ts'

/**
 * Parses the stored definition of a job; undefined if it is unreadable. Unreadable settings are left out and reported: those of
 * its queue may be known otherwise.
 *
 * @example
 * parseJobDefinition(entry.value, () => reporter.log('error', 'settings-unreadable', { key: entry.key }))
 */
export function parseJobDefinition (value: string, reportSettings: () => void): JobDefinition | undefined {
  const definition = parseRecord(value, isJobDefinition)
  if (definition?.settings === undefined || isJobSettings(definition.settings)) return definition
  reportSettings()
  return { ...definition, settings: undefined }
}
