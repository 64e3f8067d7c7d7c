import { err, ok, type Result } from 'neverthrow'
import type { Problem } from '../model/problem.ts'
import { parseJsonDocument, type JsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonField, type JsonShape } from '../util/json-shape.ts'
import { checkRelations } from './check-relations.ts'
import { SETTINGS_TABLE } from './settings-table.ts'
import type { Settings } from './settings.ts'

/** Larger files are refused before they are parsed. */
export const SETTINGS_FILE_LIMIT_BYTES = 262_144

/** Shape of the whole settings file, built from the table. */
export const SETTINGS_SHAPE: JsonShape = shapeOf(Object.entries(SETTINGS_TABLE).map(([pointer, setting]) => [pointer.slice(1).split('/'), setting]))

/**
 * Checks the text of a settings file. Gives the settings with all defaults, or every problem found.
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
 * Text of a settings file that gives the same settings when checked.
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
  // The table's type has a row for each field of `Settings`, and the shape check has filled every required one.
  const settings = value as Settings
  const relations = checkRelations(settings, file, document)
  return relations.length > 0 ? err(relations) : ok(settings)
}

type Row = readonly [readonly string[], JsonField]

function shapeOf (rows: readonly Row[]): JsonShape {
  const heads = new Set(rows.map(([path]) => path[0]!))
  const fields = [...heads].map((head) => {
    const below = rows.filter(([path]) => path[0] === head)
    const leaf = below.find(([path]) => path.length === 1)
    if (leaf !== undefined) return [head, leaf[1]] as const
    return [head, { shape: shapeOf(below.map(([path, field]) => [path.slice(1), field])) }] as const
  })
  return { type: 'record', fields: Object.fromEntries(fields) }
}
