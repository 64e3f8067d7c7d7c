import { add, fits, NO_RESOURCES, type Resources } from '../../src/model/resources.ts'
import type { History } from '../history.ts'
import { visitStarts } from '../occupancy.ts'
import { possibleValues, findPublications } from '../publications.ts'
import type { Violation } from '../violation.ts'

/** Maximum time until a changed limit is in force; the bound of a configuration change. */
const LIMIT_CHANGE_BOUND_MS = 6_000

/** Guarantee 4: a start never raises the resources that a team uses on all targets together above its limit. */
export function checkTeamLimit (history: History): readonly Violation[] {
  const violations: Violation[] = []
  visitStarts(history, (start, running) => {
    const ofTeam = running.filter((task) => task.team === start.team)
    const used = ofTeam.reduce<Resources>((sum, task) => add(sum, task.resources), NO_RESOURCES)
    const teams = possibleValues(findPublications(history, 'team', start.team), start.at, LIMIT_CHANGE_BOUND_MS)
    if (teams.some((team) => team !== null && fits(used, team.limit))) return
    violations.push({ guarantee: 4, detail: `team ${start.team} has ${JSON.stringify(used)} running, above its limit`, evidence: ofTeam })
  })
  return violations
}
