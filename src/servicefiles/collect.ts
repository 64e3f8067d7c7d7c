import { err, ok, type Result } from 'neverthrow'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Configuration, ServiceDefinition, Team } from '../model/configuration.ts'
import type { Problem } from '../model/problem.ts'
import { fits, scale } from '../model/resources.ts'
import { childPointer } from '../util/json-document.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { checkServiceFile, type CheckedFile } from './check-service-file.ts'
import type { ServiceFile } from './service-file.ts'

/** Name and text of a service file. */
export type TextFile = { readonly file: string, readonly text: string }

type ListName = Exclude<keyof ServiceFile, 'profile'>

/** An entry with its file and its pointer in the file. */
type LocatedEntry<Entry> = { readonly entry: Entry, readonly source: CheckedFile, readonly pointer: string }

const LIST_NAMES: readonly ListName[] = ['organisations', 'teams', 'queues', 'services', 'failureDomains']

/**
 * Checks service files individually and together, and returns their merged content. References may also refer to entries
 * of `known`, the configuration in force; by default it is empty, and the files must resolve all references.
 *
 * @example
 * collectServiceFiles([{ file: 'a.damaskfield.json', text }], configuration)
 */
export function collectServiceFiles (files: readonly TextFile[], known: Configuration = EMPTY_CONFIGURATION): Result<ServiceFile, readonly Problem[]> {
  const results = files.map(({ file, text }) => checkServiceFile(text, file))
  const checked = results.flatMap((result) => result.isOk() ? [result.value] : [])
  const fileProblems = results.flatMap((result) => result.isErr() ? result.error : [])
  // References to an entry of an invalid file would be reported as unknown, so with such a file only duplicates are checked.
  const crossFileProblems = fileProblems.length > 0 ? findDuplicates(checked) : [...findDuplicates(checked), ...new ReferenceChecker(checked, known).findProblems()]
  const problems = [...fileProblems, ...crossFileProblems]
  return problems.length > 0 ? err(problems) : ok(mergeContents(checked))
}

function mergeContents (checked: readonly CheckedFile[]): ServiceFile {
  const profile = checked.map(({ content }) => content.profile).find((found) => found !== undefined)
  return {
    organisations: collectEntries(checked, 'organisations'),
    teams: collectEntries(checked, 'teams'),
    queues: collectEntries(checked, 'queues'),
    services: collectEntries(checked, 'services'),
    failureDomains: collectEntries(checked, 'failureDomains'),
    ...(profile === undefined ? {} : { profile })
  }
}

function collectEntries<Name extends ListName> (checked: readonly CheckedFile[], name: Name): ServiceFile[Name] {
  return checked.flatMap(({ content }) => content[name] as readonly unknown[]) as unknown as ServiceFile[Name]
}

function locateEntries<Name extends ListName> (checked: readonly CheckedFile[], name: Name): readonly LocatedEntry<ServiceFile[Name][number]>[] {
  return checked.flatMap((source) => source.content[name].map((entry, index) => ({ entry, source, pointer: `/${name}/${index}` })))
}

function createProblem (located: LocatedEntry<unknown>, field: string, problem: Pick<Problem, 'code' | 'found' | 'allowed' | 'nearest'>): Problem {
  const pointer = childPointer(located.pointer, field)
  const line = located.source.document.lines.get(pointer) ?? located.source.document.lines.get(located.pointer)
  return { ...problem, file: located.source.file, pointer, line }
}

function findDuplicates (checked: readonly CheckedFile[]): readonly Problem[] {
  return [...LIST_NAMES.flatMap((name) => findDuplicateNames(locateEntries(checked, name))), ...findDuplicateProfiles(checked)]
}

function findDuplicateNames (entries: readonly LocatedEntry<{ readonly name: string }>[]): readonly Problem[] {
  const first = new Map<string, LocatedEntry<unknown>>()
  const problems: Problem[] = []
  for (const located of entries) {
    const earlier = first.get(located.entry.name)
    if (earlier === undefined) first.set(located.entry.name, located)
    else problems.push(createProblem(located, 'name', { code: 'duplicate-name', found: `"${located.entry.name}", which is also in ${earlier.source.file} at ${earlier.pointer}`, allowed: 'each name once over all files' }))
  }
  return problems
}

function findDuplicateProfiles (checked: readonly CheckedFile[]): readonly Problem[] {
  const [first, ...others] = checked.filter(({ content }) => content.profile !== undefined)
  return others.map(({ file, document }) => (
    { code: 'duplicate-name', file, pointer: '/profile', line: document.lines.get('/profile'), found: `a profile, which is also in ${first!.file}`, allowed: 'the profile once over all files' }
  ))
}

class ReferenceChecker {
  private readonly teams: ReadonlyMap<string, Team>
  private readonly queueTeams: ReadonlyMap<string, string>
  private readonly organisations: ReadonlySet<string>

  constructor (private readonly checked: readonly CheckedFile[], known: Configuration) {
    this.organisations = new Set([...known.organisations.keys(), ...collectEntries(checked, 'organisations').map(({ name }) => name)])
    this.teams = new Map([...known.teams, ...collectEntries(checked, 'teams').map((team) => [team.name, team] as const)])
    const knownQueues = [...known.queues.values()].map(({ name, access }) => [name, access.team] as const)
    this.queueTeams = new Map([...knownQueues, ...collectEntries(checked, 'queues').map(({ name, team }) => [name, team] as const)])
  }

  findProblems (): readonly Problem[] {
    return [
      ...locateEntries(this.checked, 'teams').flatMap((located) => checkReference(located, 'organisation', located.entry.organisation, this.organisations)),
      ...locateEntries(this.checked, 'queues').flatMap((located) => checkReference(located, 'team', located.entry.team, new Set(this.teams.keys()))),
      ...locateEntries(this.checked, 'services').flatMap((located) => checkReference(located, 'queue', located.entry.queue, new Set(this.queueTeams.keys()))),
      ...locateEntries(this.checked, 'services').flatMap((located) => this.checkTeamLimit(located))
    ]
  }

  /** The scheduler refuses a service over the team limit as `over-team-limit`; after publishing, nobody would notice the refusal. */
  private checkTeamLimit (located: LocatedEntry<ServiceDefinition>): readonly Problem[] {
    const { count, resources } = located.entry
    const team = this.teams.get(this.queueTeams.get(located.entry.queue) ?? '')
    if (team === undefined) return []
    if (count > team.waitingLimit) {
      return [createProblem(located, 'count', { code: 'inconsistent', found: `${count} tasks, more than the waitingLimit ${team.waitingLimit} of team "${team.name}"`, allowed: 'count up to the waitingLimit of the team' })]
    }
    if (fits(scale(resources, count), team.limit)) return []
    return [createProblem(located, 'count', { code: 'inconsistent', found: `${count} tasks that together exceed the limit of team "${team.name}"`, allowed: 'count times resources within the limit of the team' })]
  }
}

function checkReference (located: LocatedEntry<unknown>, field: string, name: string, valid: ReadonlySet<string>): readonly Problem[] {
  if (valid.has(name)) return []
  return [createProblem(located, field, { code: 'unknown-reference', found: `"${name}"`, allowed: `a declared ${field}`, nearest: findNearestName(name, valid) })]
}
