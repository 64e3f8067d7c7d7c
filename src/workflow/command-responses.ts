import type { CommandResponse, CommandRefusal } from '../ports/command-client.ts'
import { count, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { loseRun } from './handle-listing.ts'
import { countFailure } from './jobs.ts'
import type { LiveRun } from './live-run.ts'
import { removeRun, sendStart, sendStop } from './runs.ts'
import type { TargetState } from './target-state.ts'

/** A target that turned a start away takes no other for this time, in milliseconds. */
const REFUSAL_PAUSE_MS: Readonly<Record<CommandRefusal, number>> = {
  fenced: 0,
  superseded: 0,
  expired: 0,
  'no-room': 300,
  'no-ticket': 0,
  invalid: 0,
  unhealthy: 1_000,
  'other-incarnation': 1_000
}

/** Takes in the answer to a start. */
export function startAnswered (state: CellState, target: TargetState, live: LiveRun, answer: CommandResponse): void {
  if (answer.type !== 'unanswered' && answer.clockMs !== undefined) target.noteClock(answer.clockMs, state.now)
  if (live.phase !== 'starting') return
  switch (answer.type) {
    case 'accepted':
      live.phase = 'running'
      live.answeredAt = state.now
      live.startedAt = state.now
      live.percentChangedAt = state.now
      return
    case 'refused': return startRefused(state, target, live, answer.reason)
    case 'unanswered':
      count(state, 'start-unanswered', answer.reason)
  }
}

function startRefused (state: CellState, target: TargetState, live: LiveRun, reason: CommandRefusal): void {
  count(state, 'start-refused', reason)
  log(state, 'warn', 'start-refused', { task: live.task.key, run: live.run, target: target.id, reason, sends: live.sends })
  target.pausedUntil = Math.max(target.pausedUntil, state.now + REFUSAL_PAUSE_MS[reason])
  if (reason === 'fenced') state.effects.push({ type: 'fenced', target: target.id })
  if (reason === 'no-ticket') live.task.step.advice.drop(target.id)
  // An earlier send of the same start may have been carried out, so only a stop settles the matter.
  if (live.sends > 1 || reason === 'superseded') return sendStop(state, live, `start refused: ${reason}`)
  removeRun(state, live)
  if (reason === 'invalid') countFailure(state, live.task, live.run)
  breakGang(state, live)
}

/** The members of a gang that were started beside a refused one wait in vain. */
function breakGang (state: CellState, live: LiveRun): void {
  if (!live.task.step.spec.gang) return
  for (const task of live.task.step.tasks) {
    for (const member of task.runs) {
      if (member.run === live.run && member.phase !== 'stopping') sendStop(state, member, 'a member of the gang could not start')
    }
  }
}

/** Takes in the answer to a stop. The end of the run is listed, or the run never began there. */
export function stopAnswered (state: CellState, target: TargetState, live: LiveRun, answer: CommandResponse): void {
  if (answer.type !== 'unanswered' && answer.clockMs !== undefined) target.noteClock(answer.clockMs, state.now)
  if (live.phase !== 'stopping') return
  switch (answer.type) {
    case 'accepted':
      live.answeredAt = state.now
      return
    case 'refused':
      if (answer.reason === 'fenced') state.effects.push({ type: 'fenced', target: target.id })
      if (answer.reason === 'superseded') live.answeredAt = state.now
      return
    case 'unanswered':
      count(state, 'stop-unanswered', answer.reason)
  }
}

/** Sends orders again that have had no answer for a while. */
export function resendOrders (state: CellState): void {
  for (const target of state.targets.values()) {
    if (!target.reachable) continue
    for (const live of [...target.runs.values()]) resend(state, live)
  }
}

function resend (state: CellState, live: LiveRun): void {
  if (live.answeredAt !== undefined || state.now - live.lastSentAt < state.options.resendAfterMs) return
  switch (live.phase) {
    case 'starting': return live.task.step.job.active ? sendStart(state, live) : sendStop(state, live, 'the job has ended')
    case 'stopping': return sendStop(state, live, 'no answer')
    case 'running':
  }
}

/** Gives up the runs of targets whose leases have certainly lapsed. */
export function dropLapsed (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.reachable || target.runs.size === 0 || target.lapsesAt() > state.now) continue
    for (const live of [...target.runs.values()]) loseRun(state, live, 'its lease has lapsed on a silent target')
  }
}
