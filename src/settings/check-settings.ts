import { err, ok, type Result } from 'neverthrow'
import type { Problem } from '../model/problem.ts'
import { parseJsonDocument, type JsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonShape } from '../util/json-shape.ts'
import { checkConstraints } from './check-constraints.ts'
import { buildShape } from './setting.ts'
import { SETTINGS_TABLE } from './settings-table.ts'
import type { Settings } from './settings.ts'

/** Maximum size of a settings file; larger files are refused before they are parsed. */
export const SETTINGS_FILE_LIMIT_BYTES = 262_144

/** Shape of a settings file, built from the table. */
export const SETTINGS_SHAPE: JsonShape = buildShape(Object.entries(SETTINGS_TABLE).map(([pointer, setting]) => [pointer.slice(1).split('/'), setting]))

/**
 * Checks the text of a settings file. Returns the settings with all defaults, or all problems.
 *
 * @example
 * checkSettings(readFileSync('settings.json', 'utf8'), 'settings.json')
 */
export function checkSettings (text: string, file: string): Result<Settings, readonly Problem[]> {
  if (Buffer.byteLength(text) > SETTINGS_FILE_LIMIT_BYTES) {
    return err([{ code: 'too-large', file, pointer: '', found: `${Buffer.byteLength(text)} bytes`, allowed: `at most ${SETTINGS_FILE_LIMIT_BYTES} bytes` }])
  }
  return parseJsonDocument(text).match(
    (document) => checkDocument(document, file),
    ({ line, found, allowed }) => err([{ code: 'broken-json', file, pointer: '', line, found, allowed }])
  )
}

/**
 * Formats settings as the text of a settings file; `checkSettings` returns the same settings for this text.
 *
 * @example
 * checkSettings(formatSettings(settings), 'copy.json')
 */
export function formatSettings (settings: Settings): string {
  return `${JSON.stringify(settings, null, 2)}\n`
}

function checkDocument (document: JsonDocument, file: string): Result<Settings, readonly Problem[]> {
  const { value, problems } = checkShape(document, file, SETTINGS_SHAPE)
  if (problems.length > 0) return err(problems)
  // The cast is safe: the type of the table requires a row for each field of `Settings`, and every required field is present after the check.
  const settings = value as Settings
  const constraintProblems = checkConstraints(settings, file, document)
  return constraintProblems.length > 0 ? err(constraintProblems) : ok(settings)
}
