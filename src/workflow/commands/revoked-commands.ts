import type { CommandResponse } from '../../ports/command-client.ts'
import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { TargetState } from '../target-state.ts'

/** A list request that is sent so long after a revocation is of the new series for certain, in milliseconds. */
const CLOCK_RESOLUTION_MS = 1

/**
 * Revokes the start commands of a run that had no answer, by a new series of commands to its target. Once the target has answered a
 * list request of that series it does nothing for those before, so that a run that it doesn't list is not there and never will be.
 * The next incarnation knows of no series: a target whose commands may reach it keeps them until they can no longer be executed.
 */
export function revokeStarts (state: CellState, live: LiveRun): void {
  const { target } = live
  if (state.unboundTargets.has(target.id)) return
  target.revocations += 1
  state.revocations.set(target.id, target.revocations)
  live.startsRevoked = true
  live.startCommandsEndAt = Math.min(live.startCommandsEndAt, state.now + CLOCK_RESOLUTION_MS)
}

/**
 * Returns the response; one to a command that the target has refused because it only knows a later series of this owner counts as none.
 * An earlier copy of the command may have been carried out, and it is sent again with the series of now.
 */
export function toKnownResponse (target: TargetState, { series, response }: { readonly series?: number, readonly response: CommandResponse }): CommandResponse {
  const isRevoked = response.type === 'refused' && response.reason === 'fenced' && series !== undefined && series < target.commandSeries
  return isRevoked ? { type: 'unanswered', reason: 'revoked' } : response
}
