import { add, NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { GroupOverview, TeamOverview } from '../model/group-request.ts'

/** Response of `GET /v1/overview`: the state that the owners of the groups report. */
export type OverviewJson = {
  readonly revision: number
  /** Groups whose owner responded. */
  readonly groups: readonly (GroupOverview & { readonly owner?: string, readonly epoch?: number })[]
  /** Groups whose owner did not respond in time. */
  readonly missing: readonly number[]
}

/** Totals of a team over all groups; the shares are means over the groups that report the team. */
export type TeamTotal = Omit<TeamOverview, 'grant'> & { readonly granted: Resources }

/** A target of the overview with the number of its group. */
export type HostRow = GroupOverview['targets'][number] & { readonly group: number }

/**
 * Computes the totals of each team over all groups, by team name.
 *
 * @example
 * computeTeamTotals(overview).get('stock')?.waiting
 */
export function computeTeamTotals (overview: OverviewJson): ReadonlyMap<string, TeamTotal> {
  const rows = (overview.groups ?? []).flatMap(({ teams }) => teams)
  const names = [...new Set(rows.map(({ team }) => team))].sort()
  return new Map(names.map((name) => [name, computeTeamTotal(name, rows.filter(({ team }) => team === name))]))
}

/**
 * Returns the hosts of all groups, sorted by name.
 *
 * @example
 * getHostRows(overview).length
 */
export function getHostRows (overview: OverviewJson): readonly HostRow[] {
  const rows = (overview.groups ?? []).flatMap(({ group, targets }) => targets.map((target) => ({ ...target, group })))
  return rows.sort((left, right) => left.host < right.host ? -1 : 1)
}

/**
 * Formats a line that names the missing groups; returns an empty text if none is missing.
 *
 * @example
 * formatMissingGroups({ revision: 1, groups: [], missing: [2] })
 */
export function formatMissingGroups ({ missing = [] }: OverviewJson): string {
  return missing.length === 0 ? '' : `\nnot included: ${missing.length === 1 ? 'group' : 'groups'} ${missing.join(', ')}, whose owner did not respond`
}

/**
 * Formats an amount of resources as a short text.
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

function computeTeamTotal (team: string, rows: readonly TeamOverview[]): TeamTotal {
  return {
    team,
    used: rows.reduce((sum, row) => add(sum, row.used), NO_RESOURCES),
    granted: rows.reduce((sum, row) => add(sum, row.grant), NO_RESOURCES),
    share: computeMean(rows.map(({ share }) => share)),
    entitled: computeMean(rows.map(({ entitled }) => entitled)),
    waiting: rows.reduce((sum, row) => sum + row.waiting, 0)
  }
}

function computeMean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
