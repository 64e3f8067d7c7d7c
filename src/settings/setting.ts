import type { JsonField, JsonShape } from '../util/json-shape.ts'

/** One setting. A setting without a default is required unless it is `optional`. */
export type Setting = {
  readonly shape: JsonShape
  readonly unit?: string
  readonly default?: unknown
  readonly optional?: boolean
  readonly description: string
}

/** Union of the JSON pointers of all leaves of a type. */
export type LeafPointer<Value, Path extends string = ''> = {
  [Name in keyof Value & string]-?: NonNullable<Value[Name]> extends string | number | boolean | readonly unknown[]
    ? `${Path}/${Name}`
    : LeafPointer<NonNullable<Value[Name]>, `${Path}/${Name}`>
}[keyof Value & string]

/** Path of a setting, without the segments of the enclosing records, and its field. */
export type SettingRow = readonly [readonly string[], JsonField]

/**
 * Builds the shape of a settings file from the rows of its table.
 *
 * @example
 * buildShape([[['log', 'level'], { shape: { type: 'choice', options: ['info', 'warn'] }, default: 'info' }]])
 */
export function buildShape (rows: readonly SettingRow[]): JsonShape {
  const names = new Set(rows.map(([path]) => path[0]!))
  const fields = [...names].map((name) => {
    const rowsOfName = rows.filter(([path]) => path[0] === name)
    const leafRow = rowsOfName.find(([path]) => path.length === 1)
    if (leafRow !== undefined) return [name, leafRow[1]] as const
    return [name, { shape: buildShape(rowsOfName.map(([path, field]) => [path.slice(1), field])) }] as const
  })
  return { type: 'record', fields: Object.fromEntries(fields) }
}
