import { add, NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { GroupOverview, TeamOverview } from '../model/group-request.ts'

/** Answer of `GET /v1/overview`: what the owners of the groups report. */
export type OverviewJson = {
  readonly revision: number
  /** Groups whose owner answered. */
  readonly groups: readonly (GroupOverview & { readonly owner?: string, readonly epoch?: number })[]
  /** Groups whose owner did not answer in time. */
  readonly missing: readonly number[]
}

/** A team over all groups; shares are means over the groups that report it. */
export type TeamTotal = Omit<TeamOverview, 'grant'> & { readonly granted: Resources }

export type HostRow = GroupOverview['targets'][number] & { readonly group: number }

/**
 * Totals of each team over all groups, by name.
 *
 * @example
 * teamTotals(overview).get('stock')?.waiting
 */
export function teamTotals (overview: OverviewJson): ReadonlyMap<string, TeamTotal> {
  const rows = (overview.groups ?? []).flatMap(({ teams }) => teams)
  const names = [...new Set(rows.map(({ team }) => team))].sort()
  return new Map(names.map((name) => [name, total(name, rows.filter(({ team }) => team === name))]))
}

/**
 * Hosts of all groups, in order of their names.
 *
 * @example
 * hostRows(overview).length
 */
export function hostRows (overview: OverviewJson): readonly HostRow[] {
  const rows = (overview.groups ?? []).flatMap(({ group, targets }) => targets.map((target) => ({ ...target, group })))
  return rows.sort((left, right) => left.host < right.host ? -1 : 1)
}

/**
 * A line that warns when groups are missing, otherwise an empty text.
 *
 * @example
 * missingNote({ revision: 1, groups: [], missing: [2] })
 */
export function missingNote ({ missing = [] }: OverviewJson): string {
  return missing.length === 0 ? '' : `\nnot included: ${missing.length === 1 ? 'group' : 'groups'} ${missing.join(', ')}, whose owner did not answer`
}

/**
 * Short text of an amount.
 *
 * @example
 * formatResources({ ...NO_RESOURCES, cpuMillis: 1500, memoryMiB: 512, slots: 1 }) // '1.5 cores, 512 MiB, 1 slots'
 */
export function formatResources ({ cpuMillis, memoryMiB, accelerators, slots, connections }: Resources): string {
  const parts = [`${cpuMillis / 1000} cores`, `${memoryMiB} MiB`]
  if (accelerators > 0) parts.push(`${accelerators} accelerators`)
  if (slots > 0) parts.push(`${slots} slots`)
  if (connections > 0) parts.push(`${connections} connections`)
  return parts.join(', ')
}

function total (team: string, rows: readonly TeamOverview[]): TeamTotal {
  return {
    team,
    used: rows.reduce((sum, row) => add(sum, row.used), NO_RESOURCES),
    granted: rows.reduce((sum, row) => add(sum, row.grant), NO_RESOURCES),
    share: mean(rows.map(({ share }) => share)),
    entitled: mean(rows.map(({ entitled }) => entitled)),
    waiting: rows.reduce((sum, row) => sum + row.waiting, 0)
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
