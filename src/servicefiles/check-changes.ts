import { err, ok, type Result } from 'neverthrow'
import { applyRevision } from '../model/apply-revision.ts'
import type { Change, Configuration } from '../model/configuration.ts'
import type { Problem } from '../model/problem.ts'
import { childPointer, type JsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonShape } from '../util/json-shape.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { ENTRY_SHAPES, NAME, PROFILE_SHAPE } from './service-file.ts'

const HEX: JsonShape = { type: 'text', format: 'hexadecimal digits', pattern: /^(?:[0-9a-f]{2}){8,64}$/ }
const KEY_ID: JsonShape = { type: 'text', format: '4 to 32 lower-case letters and digits', pattern: /^[a-z0-9]{4,32}$/ }
const HOST: JsonShape = { type: 'text', format: 'host id of up to 253 letters, digits, dots, hyphens and underscores', pattern: /^[\w.-]{1,253}$/ }

/** Shapes of the values of changes; most are those of service files. */
const VALUE_SHAPES: Readonly<Record<Change['kind'], JsonShape>> = {
  organisation: ENTRY_SHAPES.organisation,
  team: ENTRY_SHAPES.team,
  queue: {
    type: 'record',
    fields: {
      name: { shape: NAME },
      access: { shape: { type: 'record', fields: { type: { shape: { type: 'choice', options: ['open', 'team'] } }, team: { shape: NAME } } } }
    }
  },
  key: { type: 'record', fields: { id: { shape: KEY_ID }, team: { shape: NAME }, salt: { shape: HEX }, hash: { shape: HEX } } },
  failureDomain: ENTRY_SHAPES.failureDomain,
  drain: { type: 'record', fields: { host: { shape: HOST } } },
  profile: { type: 'record', fields: { name: { shape: { type: 'choice', options: ['profile'] } }, weighs: { shape: PROFILE_SHAPE } } },
  service: ENTRY_SHAPES.service
}

const CHANGE_SHAPE: JsonShape = {
  type: 'record',
  fields: { kind: { shape: { type: 'choice', options: Object.keys(VALUE_SHAPES) } }, name: { shape: HOST }, value: { shape: { type: 'any' } } }
}

/** Most changes of one revision; its text must fit into one value of the store (1 MB). */
export const CHANGES_LIMIT = 2000

const NO_POSITIONS: Omit<JsonDocument, 'value'> = { lines: new Map(), duplicates: [] }

/**
 * Checks parsed changes from a publisher against the configuration in force: their fields, and that no reference is
 * unresolved afterwards. A member refuses a publication with problems, so a bad revision never reaches the store.
 *
 * @example
 * checkChanges(body.changes, configuration)
 */
export function checkChanges (value: unknown, configuration: Configuration): Result<readonly Change[], readonly Problem[]> {
  const list: JsonShape = { type: 'list', max: CHANGES_LIMIT, item: CHANGE_SHAPE }
  const outer = checkShape({ value, ...NO_POSITIONS }, 'changes', list)
  if (outer.problems.length > 0) return err(outer.problems)
  const results = (outer.value as readonly Change[]).map(checkValue)
  const problems = results.flatMap(({ problems: found }) => found)
  if (problems.length > 0) return err(problems)
  const changes = results.map(({ change }) => change)
  const references = unresolvedReferences(configuration, changes)
  return references.length > 0 ? err(references) : ok(changes)
}

function checkValue (change: Change, index: number): { readonly change: Change, readonly problems: readonly Problem[] } {
  if (change.value === null) return { change, problems: [] }
  const pointer = childPointer(childPointer('', index), 'value')
  const { value, problems } = checkShape({ value: change.value, ...NO_POSITIONS }, 'changes', VALUE_SHAPES[change.kind])
  const placed = problems.map((problem) => ({ ...problem, pointer: `${pointer}${problem.pointer}` }))
  const checked = { ...change, value } as Change
  const named = placed.length > 0 || nameOf(checked) === change.name
    ? []
    : [{ code: 'inconsistent', file: 'changes', pointer, found: `"${nameOf(checked)}"`, allowed: `the name of the change, "${change.name}"` } as const]
  return { change: checked, problems: [...placed, ...named] }
}

function nameOf (change: Change): string | undefined {
  switch (change.kind) {
    case 'key': return change.value?.id
    case 'drain': return change.value?.host
    default: return change.value?.name
  }
}

function unresolvedReferences (configuration: Configuration, changes: readonly Change[]): readonly Problem[] {
  const after = applyRevision(configuration, { revision: configuration.revision + 1, author: '', at: 0, nonce: '', changes })
  return [
    ...[...after.teams.values()].flatMap(({ name, organisation }) => unresolved('team', name, 'organisation', organisation, after.organisations)),
    ...[...after.queues.values()].flatMap(({ name, access }) => unresolved('queue', name, 'team', access.team, after.teams)),
    ...[...after.services.values()].flatMap(({ name, queue }) => unresolved('service', name, 'queue', queue, after.queues)),
    ...[...after.keys.values()].flatMap(({ id, team }) => unresolved('key', id, 'team', team, after.teams))
  ]
}

function unresolved (kind: string, name: string, field: string, wanted: string, valid: ReadonlyMap<string, unknown>): readonly Problem[] {
  if (valid.has(wanted)) return []
  return [{ code: 'unknown-reference', file: 'changes', pointer: '', found: `${kind} "${name}" with the ${field} "${wanted}"`, allowed: `a ${field} of the configuration after the changes`, nearest: findNearestName(wanted, valid.keys()) }]
}
