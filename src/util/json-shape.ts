import type { Problem, ProblemCode } from '../model/problem.ts'
import { assertNever } from './assert-never.ts'
import { childPointer, type JsonDocument } from './json-document.ts'
import { findNearestName } from './nearest-name.ts'

/** Schema of a JSON value. */
export type JsonShape =
  /** `format` describes the pattern in messages, for example `host:port`. */
  | { readonly type: 'text', readonly format: string, readonly pattern: RegExp }
  | { readonly type: 'number', readonly integer: boolean, readonly min: number, readonly max: number }
  | { readonly type: 'boolean' }
  | { readonly type: 'choice', readonly options: readonly string[] }
  | { readonly type: 'list', readonly item: JsonShape, readonly max: number }
  | { readonly type: 'record', readonly fields: Readonly<Record<string, JsonField>> }
  | { readonly type: 'any' }

/** A field of a record. A field without a default is required unless it is `optional`. */
export type JsonField = { readonly shape: JsonShape, readonly default?: unknown, readonly optional?: boolean }

/**
 * Describes in words which values a shape allows.
 *
 * @example
 * describeShape({ type: 'number', integer: true, min: 1, max: 9 }) // 'whole number from 1 to 9'
 */
export function describeShape (shape: JsonShape): string {
  switch (shape.type) {
    case 'text': return shape.format
    case 'number': return `${shape.integer ? 'whole number' : 'number'} from ${shape.min} to ${shape.max}`
    case 'boolean': return 'true or false'
    case 'choice': return shape.options.map((option) => `"${option}"`).join(' or ')
    case 'list': return `list of at most ${shape.max}: ${describeShape(shape.item)}`
    case 'record': return `object with the fields ${Object.keys(shape.fields).join(', ')}`
    case 'any': return 'any JSON value'
    default: return assertNever(shape)
  }
}

/**
 * Checks a document against a shape. Returns the value with defaults for absent fields, and all problems.
 *
 * @example
 * checkShape(document, 'a.json', { type: 'record', fields: { groups: { shape: GROUPS, default: 8 } } }).problems
 */
export function checkShape (document: JsonDocument, file: string, shape: JsonShape): { readonly value: unknown, readonly problems: readonly Problem[] } {
  const checker = new ShapeChecker(document, file)
  const value = checker.checkValue(document.value, shape, '')
  return { value, problems: [...checker.findDuplicateKeys(), ...checker.problems] }
}

/**
 * Describes a value in messages; long texts are truncated.
 *
 * @example
 * describeValue([1, 2]) // 'list of 2'
 */
export function describeValue (value: unknown): string {
  if (Array.isArray(value)) return `list of ${value.length}`
  if (typeof value === 'object' && value !== null) return 'object'
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > 60 ? `${text.slice(0, 57)}...` : text
}

class ShapeChecker {
  readonly problems: Problem[] = []

  constructor (private readonly document: JsonDocument, private readonly file: string) {}

  findDuplicateKeys (): readonly Problem[] {
    return this.document.duplicates.map(({ pointer, line, firstLine }) => (
      { code: 'duplicate-key', file: this.file, pointer, line, found: `a field that is already on line ${firstLine}`, allowed: 'each field once' }
    ))
  }

  checkValue (found: unknown, shape: JsonShape, pointer: string): unknown {
    switch (shape.type) {
      case 'text': return this.checkText(found, shape, pointer)
      case 'number': return this.checkNumber(found, shape, pointer)
      case 'boolean': return typeof found === 'boolean' ? found : this.addProblem('wrong-type', pointer, found, shape)
      case 'choice': return this.checkChoice(found, shape, pointer)
      case 'list': return this.checkList(found, shape, pointer)
      case 'record': return this.checkRecord(found, shape, pointer)
      case 'any': return found
      default: return assertNever(shape)
    }
  }

  private checkText (found: unknown, shape: JsonShape & { type: 'text' }, pointer: string): unknown {
    if (typeof found !== 'string') return this.addProblem('wrong-type', pointer, found, shape)
    return shape.pattern.test(found) ? found : this.addProblem('not-allowed', pointer, found, shape)
  }

  private checkNumber (found: unknown, shape: JsonShape & { type: 'number' }, pointer: string): unknown {
    if (typeof found !== 'number') return this.addProblem('wrong-type', pointer, found, shape)
    const inRange = found >= shape.min && found <= shape.max && (!shape.integer || Number.isInteger(found))
    return inRange ? found : this.addProblem('out-of-range', pointer, found, shape)
  }

  private checkChoice (found: unknown, shape: JsonShape & { type: 'choice' }, pointer: string): unknown {
    if (typeof found !== 'string') return this.addProblem('wrong-type', pointer, found, shape)
    return shape.options.includes(found) ? found : this.addProblem('not-allowed', pointer, found, shape, findNearestName(found, shape.options))
  }

  private checkList (found: unknown, shape: JsonShape & { type: 'list' }, pointer: string): unknown {
    if (!Array.isArray(found)) return this.addProblem('wrong-type', pointer, found, shape)
    if (found.length > shape.max) return this.addProblem('out-of-range', pointer, found, shape)
    return found.map((item, index) => this.checkValue(item, shape.item, childPointer(pointer, index)))
  }

  private checkRecord (found: unknown, shape: JsonShape & { type: 'record' }, pointer: string): unknown {
    if (typeof found !== 'object' || found === null || Array.isArray(found)) return this.addProblem('wrong-type', pointer, found, shape)
    const entries = new Map<string, unknown>(Object.entries(found))
    for (const name of entries.keys()) this.checkFieldName(name, shape, pointer, entries)
    const fields = Object.entries(shape.fields).map(([name, field]) => [name, this.checkField(entries, name, field, pointer)] as const)
    return Object.fromEntries(fields.filter(([, value]) => value !== undefined))
  }

  private checkField (entries: ReadonlyMap<string, unknown>, name: string, field: JsonField, pointer: string): unknown {
    const child = childPointer(pointer, name)
    if (entries.has(name)) return this.checkValue(entries.get(name), field.shape, child)
    if (field.default !== undefined) return field.default
    if (field.optional === true) return undefined
    // An absent record is checked as an empty record, so that each of its missing fields is reported.
    if (field.shape.type === 'record') return this.checkValue({}, field.shape, child)
    const line = this.document.lines.get(pointer)
    this.problems.push({ code: 'missing-field', file: this.file, pointer: child, line, found: 'nothing', allowed: describeShape(field.shape) })
    return undefined
  }

  private checkFieldName (name: string, shape: JsonShape & { type: 'record' }, pointer: string, present: ReadonlyMap<string, unknown>): void {
    if (Object.hasOwn(shape.fields, name)) return
    const names = Object.keys(shape.fields)
    const nearest = findNearestName(name, names.filter((valid) => !present.has(valid)))
    const child = childPointer(pointer, name)
    const line = this.document.lines.get(child)
    this.problems.push({ code: 'unknown-field', file: this.file, pointer: child, line, found: 'an unknown field', allowed: `the fields ${names.join(', ')}`, nearest })
  }

  private addProblem (code: ProblemCode, pointer: string, found: unknown, shape: JsonShape, nearest?: string): undefined {
    const line = this.document.lines.get(pointer)
    this.problems.push({ code, file: this.file, pointer, line, found: describeValue(found), allowed: describeShape(shape), nearest })
    return undefined
  }
}
