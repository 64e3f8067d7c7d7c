import type { Problem } from '../model/problem.ts'
import type { Settings } from './settings.ts'

/** Settings with the name of their file. */
export type SettingsFile = { readonly file: string, readonly settings: Settings }

/** Settings that must be different on all members of a cell. */
const UNIQUE_SETTINGS: readonly { readonly pointer: string, readonly read: (settings: Settings) => string }[] = [
  { pointer: '/member/id', read: ({ member }) => member.id },
  { pointer: '/peers/advertise', read: ({ peers }) => peers.advertise }
]

/** Settings that must be the same on all members; different promises or numbers of groups would break the ownership rules. */
const SHARED_SETTINGS: readonly { readonly pointer: string, readonly read: (settings: Settings) => unknown }[] = [
  { pointer: '/groups', read: ({ groups }) => groups },
  { pointer: '/timings', read: ({ timings }) => timings },
  { pointer: '/store/address', read: ({ store }) => store.address },
  { pointer: '/operatorKeyHash', read: (settings) => settings.operatorKeyHash }
]

/**
 * Checks that the settings of several members of one cell are consistent, and returns the problems.
 *
 * @example
 * checkCellSettings([{ file: 'entry-1.settings.json', settings }, { file: 'entry-2.settings.json', settings: other }])
 */
export function checkCellSettings (members: readonly SettingsFile[]): readonly Problem[] {
  const [first, ...others] = members
  if (first === undefined) return []
  const duplicateProblems = UNIQUE_SETTINGS.flatMap(({ pointer, read }) => members.flatMap(({ file, settings }, index) => {
    const earlier = members.slice(0, index).find((other) => read(other.settings) === read(settings))
    return earlier === undefined ? [] : [{ code: 'duplicate-name', file, pointer, found: `"${read(settings)}", which is also in ${earlier.file}`, allowed: 'a value of its own for each member' } as const]
  }))
  const differenceProblems = SHARED_SETTINGS.flatMap(({ pointer, read }) => others
    .filter(({ settings }) => JSON.stringify(read(settings)) !== JSON.stringify(read(first.settings)))
    .map(({ file, settings }) => ({ code: 'inconsistent', file, pointer, found: JSON.stringify(read(settings)), allowed: `the same as in ${first.file}: ${JSON.stringify(read(first.settings))}` } as const)))
  return [...duplicateProblems, ...differenceProblems]
}
