import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { TeamName } from '../model/ids.ts'
import { NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import { startTeamClaims } from './claims.ts'

/** Replaces organisations, teams and profile; a team that is gone may use nothing more. */
export function configureTeams (cell: Cell, organisations: readonly Organisation[], teams: readonly Team[], profile: Profile): void {
  cell.setProfile(profile)
  cell.configure(organisations, teams)
  for (const team of cell.teams.teams.values()) {
    if (!team.known) Object.assign(team.grant, NO_RESOURCES)
  }
}

/** Sets what the team may use in this group. */
export function changeGrant (cell: Cell, name: TeamName, amount: Resources): void {
  const team = cell.teams.team(name)
  Object.assign(team.grant, amount)
  team.granted = true
  cell.wakeLimited(team)
  startTeamClaims(cell, team)
}
