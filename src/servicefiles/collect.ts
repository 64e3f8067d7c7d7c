import { err, ok, type Result } from 'neverthrow'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Configuration, ServiceDefinition, Team } from '../model/configuration.ts'
import type { Problem } from '../model/problem.ts'
import { fits, scale } from '../model/resources.ts'
import { childPointer } from '../util/json-document.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { checkServiceFile, type CheckedFile } from './check-service-file.ts'
import type { ServiceFile } from './service-file.ts'

export type TextFile = { readonly file: string, readonly text: string }

type ListName = Exclude<keyof ServiceFile, 'profile'>

/** An entry with the file and pointer where it stands. */
type Placed<Entry> = { readonly entry: Entry, readonly source: CheckedFile, readonly pointer: string }

const LIST_NAMES: readonly ListName[] = ['organisations', 'teams', 'queues', 'services', 'failureDomains']

/**
 * Checks service files alone and together, and gives their joined content. References may also name entries of
 * `known`, the configuration in force; without it every reference must be resolved by the files.
 *
 * @example
 * collectServiceFiles([{ file: 'a.damaskfield.json', text }], configuration)
 */
export function collectServiceFiles (files: readonly TextFile[], known: Configuration = EMPTY_CONFIGURATION): Result<ServiceFile, readonly Problem[]> {
  const results = files.map(({ file, text }) => checkServiceFile(text, file))
  const checked = results.flatMap((result) => result.isOk() ? [result.value] : [])
  const broken = results.flatMap((result) => result.isErr() ? result.error : [])
  // References to a file with problems of its own would be reported as unknown, so only duplicates are looked for.
  const together = broken.length > 0 ? duplicates(checked) : [...duplicates(checked), ...new References(checked, known).problems()]
  const problems = [...broken, ...together]
  return problems.length > 0 ? err(problems) : ok(join(checked))
}

function join (checked: readonly CheckedFile[]): ServiceFile {
  const profile = checked.map(({ content }) => content.profile).find((found) => found !== undefined)
  return {
    organisations: entriesOf(checked, 'organisations'),
    teams: entriesOf(checked, 'teams'),
    queues: entriesOf(checked, 'queues'),
    services: entriesOf(checked, 'services'),
    failureDomains: entriesOf(checked, 'failureDomains'),
    ...(profile === undefined ? {} : { profile })
  }
}

function entriesOf<Name extends ListName> (checked: readonly CheckedFile[], name: Name): ServiceFile[Name] {
  return checked.flatMap(({ content }) => content[name] as readonly unknown[]) as unknown as ServiceFile[Name]
}

function placed<Name extends ListName> (checked: readonly CheckedFile[], name: Name): readonly Placed<ServiceFile[Name][number]>[] {
  return checked.flatMap((source) => source.content[name].map((entry, index) => ({ entry, source, pointer: `/${name}/${index}` })))
}

function problemAt (at: Placed<unknown>, field: string, problem: Pick<Problem, 'code' | 'found' | 'allowed' | 'nearest'>): Problem {
  const pointer = childPointer(at.pointer, field)
  const line = at.source.document.lines.get(pointer) ?? at.source.document.lines.get(at.pointer)
  return { ...problem, file: at.source.file, pointer, line }
}

function duplicates (checked: readonly CheckedFile[]): readonly Problem[] {
  return [...LIST_NAMES.flatMap((name) => duplicateNames(placed(checked, name))), ...duplicateProfiles(checked)]
}

function duplicateNames (entries: readonly Placed<{ readonly name: string }>[]): readonly Problem[] {
  const first = new Map<string, Placed<unknown>>()
  const problems: Problem[] = []
  for (const at of entries) {
    const earlier = first.get(at.entry.name)
    if (earlier === undefined) first.set(at.entry.name, at)
    else problems.push(problemAt(at, 'name', { code: 'duplicate-name', found: `"${at.entry.name}", which is also in ${earlier.source.file} at ${earlier.pointer}`, allowed: 'each name once over all files' }))
  }
  return problems
}

function duplicateProfiles (checked: readonly CheckedFile[]): readonly Problem[] {
  const [first, ...others] = checked.filter(({ content }) => content.profile !== undefined)
  return others.map(({ file, document }) => (
    { code: 'duplicate-name', file, pointer: '/profile', line: document.lines.get('/profile'), found: `a profile, which is also in ${first!.file}`, allowed: 'the profile once over all files' }
  ))
}

class References {
  private readonly teams: ReadonlyMap<string, Team>
  private readonly teamOfQueue: ReadonlyMap<string, string>
  private readonly organisations: ReadonlySet<string>

  constructor (private readonly checked: readonly CheckedFile[], known: Configuration) {
    this.organisations = new Set([...known.organisations.keys(), ...entriesOf(checked, 'organisations').map(({ name }) => name)])
    this.teams = new Map([...known.teams, ...entriesOf(checked, 'teams').map((team) => [team.name, team] as const)])
    const knownQueues = [...known.queues.values()].map(({ name, access }) => [name, access.team] as const)
    this.teamOfQueue = new Map([...knownQueues, ...entriesOf(checked, 'queues').map(({ name, team }) => [name, team] as const)])
  }

  problems (): readonly Problem[] {
    return [
      ...placed(this.checked, 'teams').flatMap((at) => unresolved(at, 'organisation', at.entry.organisation, this.organisations)),
      ...placed(this.checked, 'queues').flatMap((at) => unresolved(at, 'team', at.entry.team, new Set(this.teams.keys()))),
      ...placed(this.checked, 'services').flatMap((at) => unresolved(at, 'queue', at.entry.queue, new Set(this.teamOfQueue.keys()))),
      ...placed(this.checked, 'services').flatMap((at) => this.overLimit(at))
    ]
  }

  /** The scheduler refuses such a service as `over-team-limit`, which nobody would see after publishing. */
  private overLimit (at: Placed<ServiceDefinition>): readonly Problem[] {
    const { count, resources } = at.entry
    const team = this.teams.get(this.teamOfQueue.get(at.entry.queue) ?? '')
    if (team === undefined) return []
    if (count > team.waitingLimit) {
      return [problemAt(at, 'count', { code: 'inconsistent', found: `${count} tasks, more than the waitingLimit ${team.waitingLimit} of team "${team.name}"`, allowed: 'count up to the waitingLimit of the team' })]
    }
    if (fits(scale(resources, count), team.limit)) return []
    return [problemAt(at, 'count', { code: 'inconsistent', found: `${count} tasks that together exceed the limit of team "${team.name}"`, allowed: 'count times resources within the limit of the team' })]
  }
}

function unresolved (at: Placed<unknown>, field: string, name: string, valid: ReadonlySet<string>): readonly Problem[] {
  if (valid.has(name)) return []
  return [problemAt(at, field, { code: 'unknown-reference', found: `"${name}"`, allowed: `a declared ${field}`, nearest: findNearestName(name, valid) })]
}
