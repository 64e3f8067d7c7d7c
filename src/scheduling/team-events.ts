import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { TeamName } from '../model/ids.ts'
import { NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { startTeamClaims } from './claims.ts'

/** Replaces organisations, teams and profile; the grant of a team that is no longer configured becomes 0. */
export function configureTeams (state: SchedulerState, organisations: readonly Organisation[], teams: readonly Team[], profile: Profile): void {
  state.setProfile(profile)
  state.configure(organisations, teams)
  for (const team of state.teams.byName.values()) {
    if (!team.configured) Object.assign(team.grant, NO_RESOURCES)
  }
}

/** Sets what the team may use in this group, and starts work that waited for it. */
export function changeGrant (state: SchedulerState, name: TeamName, amount: Resources): void {
  const team = state.teams.getOrCreateTeam(name)
  Object.assign(team.grant, amount)
  team.grantReceived = true
  state.readiness.unblockGrantBlocked(team)
  startTeamClaims(state, team)
}
