import { err, ok, type Result } from 'neverthrow'
import { applyRevision } from '../model/apply-revision.ts'
import type { Change, Configuration } from '../model/configuration.ts'
import type { Problem } from '../model/problem.ts'
import { childPointer, type JsonDocument } from '../util/json-document.ts'
import { checkShape, type JsonShape } from '../util/json-shape.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { ENTRY_SHAPES, NAME_SHAPE, PROFILE_SHAPE } from './service-file.ts'

const HEX_SHAPE: JsonShape = { type: 'text', format: 'hexadecimal digits', pattern: /^(?:[0-9a-f]{2}){8,64}$/ }
const KEY_ID_SHAPE: JsonShape = { type: 'text', format: '4 to 32 lower-case letters and digits', pattern: /^[a-z0-9]{4,32}$/ }
const HOST_SHAPE: JsonShape = { type: 'text', format: 'host id of up to 253 letters, digits, dots, hyphens and underscores', pattern: /^[\w.-]{1,253}$/ }

/** Shapes of the values of changes by kind; most are the shapes of entries in service files. */
const VALUE_SHAPES: Readonly<Record<Change['kind'], JsonShape>> = {
  organisation: ENTRY_SHAPES.organisation,
  team: ENTRY_SHAPES.team,
  queue: {
    type: 'record',
    fields: {
      name: { shape: NAME_SHAPE },
      access: { shape: { type: 'record', fields: { type: { shape: { type: 'choice', options: ['open', 'team'] } }, team: { shape: NAME_SHAPE } } } }
    }
  },
  key: { type: 'record', fields: { id: { shape: KEY_ID_SHAPE }, team: { shape: NAME_SHAPE }, salt: { shape: HEX_SHAPE }, hash: { shape: HEX_SHAPE } } },
  failureDomain: ENTRY_SHAPES.failureDomain,
  drain: { type: 'record', fields: { host: { shape: HOST_SHAPE } } },
  profile: { type: 'record', fields: { name: { shape: { type: 'choice', options: ['profile'] } }, weighs: { shape: PROFILE_SHAPE } } },
  service: ENTRY_SHAPES.service
}

const CHANGE_SHAPE: JsonShape = {
  type: 'record',
  fields: { kind: { shape: { type: 'choice', options: Object.keys(VALUE_SHAPES) } }, name: { shape: HOST_SHAPE }, value: { shape: { type: 'any' } } }
}

/** Maximum number of changes in one revision; the text of a revision must fit into one value of the store (1 MB). */
export const MAX_CHANGES = 2000

/** Changes are parsed before they are checked, so their lines are not known. */
const NO_SOURCE_POSITIONS: Omit<JsonDocument, 'value'> = { lines: new Map(), duplicates: [] }

/**
 * Checks the fields of parsed changes, and that all references are resolved after the changes are applied to the
 * configuration in force. A member refuses a publication with problems, so an invalid revision is never stored.
 *
 * @example
 * checkChanges(body.changes, configuration)
 */
export function checkChanges (value: unknown, configuration: Configuration): Result<readonly Change[], readonly Problem[]> {
  const list: JsonShape = { type: 'list', max: MAX_CHANGES, item: CHANGE_SHAPE }
  const listResult = checkShape({ value, ...NO_SOURCE_POSITIONS }, 'changes', list)
  if (listResult.problems.length > 0) return err(listResult.problems)
  const results = (listResult.value as readonly Change[]).map(checkValue)
  const problems = results.flatMap(({ problems: found }) => found)
  if (problems.length > 0) return err(problems)
  const changes = results.map(({ change }) => change)
  const referenceProblems = findUnresolvedReferences(configuration, changes)
  return referenceProblems.length > 0 ? err(referenceProblems) : ok(changes)
}

function checkValue (change: Change, index: number): { readonly change: Change, readonly problems: readonly Problem[] } {
  if (change.value === null) return { change, problems: [] }
  const pointer = childPointer(childPointer('', index), 'value')
  const { value, problems } = checkShape({ value: change.value, ...NO_SOURCE_POSITIONS }, 'changes', VALUE_SHAPES[change.kind])
  const valueProblems = problems.map((problem) => ({ ...problem, pointer: `${pointer}${problem.pointer}` }))
  const checked = { ...change, value } as Change
  const nameProblems = valueProblems.length > 0 || getEntryName(checked) === change.name
    ? []
    : [{ code: 'inconsistent', file: 'changes', pointer, found: `"${getEntryName(checked)}"`, allowed: `the name of the change, "${change.name}"` } as const]
  return { change: checked, problems: [...valueProblems, ...nameProblems] }
}

function getEntryName (change: Change): string | undefined {
  switch (change.kind) {
    case 'key': return change.value?.id
    case 'drain': return change.value?.host
    default: return change.value?.name
  }
}

function findUnresolvedReferences (configuration: Configuration, changes: readonly Change[]): readonly Problem[] {
  const after = applyRevision(configuration, { revision: configuration.revision + 1, author: '', at: 0, nonce: '', changes })
  return [
    ...[...after.teams.values()].flatMap(({ name, organisation }) => checkReference('team', name, 'organisation', organisation, after.organisations)),
    ...[...after.queues.values()].flatMap(({ name, access }) => checkReference('queue', name, 'team', access.team, after.teams)),
    ...[...after.services.values()].flatMap(({ name, queue }) => checkReference('service', name, 'queue', queue, after.queues)),
    ...[...after.keys.values()].flatMap(({ id, team }) => checkReference('key', id, 'team', team, after.teams))
  ]
}

function checkReference (kind: string, name: string, field: string, wanted: string, valid: ReadonlyMap<string, unknown>): readonly Problem[] {
  if (valid.has(wanted)) return []
  return [{ code: 'unknown-reference', file: 'changes', pointer: '', found: `${kind} "${name}" with the ${field} "${wanted}"`, allowed: `a ${field} of the configuration after the changes`, nearest: findNearestName(wanted, valid.keys()) }]
}
