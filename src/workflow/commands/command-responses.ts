import type { CommandResponse, CommandRefusal } from '../../ports/command-client.ts'
import { count, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { removeLostRun } from '../handle-listing.ts'
import { haveLeasesExpired } from '../takeover/expired-leases.ts'
import type { LiveRun } from '../live-run.ts'
import { removeRun, sendStart, sendStop } from '../runs.ts'
import { revokeStarts } from './revoked-commands.ts'
import { forgetRefusals, recordStartRefusal, recordUnhealthyTarget } from './start-refusal.ts'
import { isOverCapacity } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { LogFields } from '../waits/task-wait-fields.ts'

/** A target that refused a command gets no other start for this time, in milliseconds. */
const REFUSAL_PAUSE_MS: Readonly<Record<CommandRefusal, number>> = {
  fenced: 0,
  superseded: 0,
  expired: 0,
  'no-room': 300,
  'no-ticket': 0,
  invalid: 0,
  unhealthy: 1_000,
  failed: 1_000,
  'other-incarnation': 1_000
}

/** A target whose incarnation could not be confirmed for a start gets no other start for this time, in milliseconds. */
const UNSENT_PAUSE_MS = 300

/** A start without an answer is stopped after this time, which is longer than slow targets need, in milliseconds. */
const UNANSWERED_START_MS = 4_000

/** Counter of the commands that are sent again. */
export const RESENT_COUNTER = 'command-resent'

/**
 * Handles the response to a start command. Its clock reading is not used: a response doesn't say which incarnation of the target
 * sent it. Only listings do.
 */
export function handleStartResponse (state: CellState, target: TargetState, live: LiveRun, response: CommandResponse): void {
  if (live.phase !== 'starting') return
  switch (response.type) {
    case 'accepted':
      state.resendPause.recordResponseTime(state.now - live.startedAt)
      live.phase = 'running'
      forgetRefusals(live.task)
      logStarted(state, live, response.clockMs)
      live.respondedAt = state.now
      live.startedAt = state.now
      live.percentChangedAt = state.now
      return
    case 'refused': return handleStartRefusal(state, target, live, response.reason)
    case 'unanswered':
      count(state, 'start-unanswered', response.reason)
      if (response.sent === false) handleUnsentStart(state, target, live, response.reason)
  }
}

/**
 * Logs the incarnation that a start was meant for and the clock of the one that accepted it. A clock that is behind what this owner
 * knows of the incarnation is that of a later one, which began anew.
 */
function logStarted (state: CellState, { task, run, target, sendCount }: LiveRun, clockMs: number | undefined): void {
  const expectedClockMs = target.estimateClockMs(state.now)
  const clocks: LogFields = clockMs === undefined || expectedClockMs === undefined ? {} : { clockMs, clockBehindMs: Math.round(expectedClockMs - clockMs) }
  log(state, 'info', 'start-accepted', { task: task.key, run, target: target.id, incarnation: target.entry.incarnation, leaseUntilMs: target.leaseUntilMs, sends: sendCount, ...clocks })
}

/** The target may have restarted. Its next listing tells; the task need not wait for it, unless another copy of the start may have been sent. */
function handleUnsentStart (state: CellState, target: TargetState, live: LiveRun, reason: string): void {
  live.unsentCount += 1
  if (live.unsentCount < live.sendCount) return
  log(state, 'warn', 'start-withheld', { task: live.task.key, run: live.run, target: target.id, incarnation: target.entry.incarnation, reason, askedMs: Math.round(state.now - live.startedAt) })
  pauseStarts(state, target, UNSENT_PAUSE_MS)
  removeRun(state, live)
  stopGangMembers(state, live)
}

function handleStartRefusal (state: CellState, target: TargetState, live: LiveRun, reason: CommandRefusal): void {
  count(state, 'start-refused', reason)
  log(state, 'warn', 'start-refused', { task: live.task.key, run: live.run, target: target.id, incarnation: target.entry.incarnation, reason, sends: live.sendCount })
  pauseStarts(state, target, REFUSAL_PAUSE_MS[reason])
  if (reason === 'fenced') state.effects.push({ type: 'fenced', target: target.id })
  if (reason === 'invalid' || reason === 'failed') recordStartRefusal(state, live.task, target)
  if (reason === 'unhealthy') recordUnhealthyTarget(live.task, target)
  if (reason === 'no-ticket') live.task.step.advice.removeTicket(target.id)
  // This send or an earlier one of the same start may have been executed. Only a stop makes sure that the run is not present.
  if (live.sendCount > 1 || reason === 'superseded' || reason === 'failed') sendStop(state, live, `start refused: ${reason}`)
  else removeRun(state, live)
  stopGangMembers(state, live)
}

/** Stops the other members of a gang after one was refused, because they would wait for it until their timeout. */
function stopGangMembers (state: CellState, live: LiveRun): void {
  if (!live.task.step.spec.gang) return
  for (const member of findGang(live)) {
    if (member.phase !== 'stopping') sendStop(state, member, 'a member of the gang could not start')
  }
}

/**
 * Handles the response to a stop command. The run is removed later: its completion is listed, or a listing without it
 * shows that it never started.
 */
export function handleStopResponse (state: CellState, target: TargetState, live: LiveRun, response: CommandResponse): void {
  if (live.phase !== 'stopping') return
  switch (response.type) {
    case 'accepted':
      live.respondedAt = state.now
      return
    case 'refused':
      pauseStarts(state, target, REFUSAL_PAUSE_MS[response.reason])
      if (response.reason === 'fenced') state.effects.push({ type: 'fenced', target: target.id })
      if (response.reason === 'superseded') live.respondedAt = state.now
      return
    case 'unanswered':
      count(state, 'stop-unanswered', response.reason)
  }
}

/** Resends commands that have had no response for too long. */
export function resendCommands (state: CellState): void {
  for (const target of state.targets.values()) {
    if (!target.reachable) continue
    for (const live of [...target.runs.values()]) resendCommand(state, live)
  }
}

function resendCommand (state: CellState, live: LiveRun): void {
  if (live.respondedAt !== undefined || state.now - live.lastSentAt < state.resendPause.getMs(live.sendCount)) return
  if (live.phase !== 'running') count(state, RESENT_COUNTER, live.phase)
  switch (live.phase) {
    // A target whose last list request had no answer may have restarted.
    case 'starting': return live.target.listUnanswered || state.silentTargets.isPromised(live.target.id) ? undefined : resendStart(state, live)
    case 'stopping': return sendStop(state, live, 'no response')
    case 'running':
  }
}

/** Resends a start, unless its task has ended, or its target has shrunk below what is booked or seems to lose its starts. */
function resendStart (state: CellState, live: LiveRun): void {
  if (!live.task.step.job.active) return sendStop(state, live, 'the job has ended')
  if (live.task.phase === 'done') return sendStop(state, live, 'the task has ended')
  if (isOverCapacity(live.target)) return giveUpStart(state, live, 'the capacity of its target has shrunk')
  if (state.now - live.startedAt < UNANSWERED_START_MS) return sendStart(state, live)
  recordStartRefusal(state, live.task, live.target)
  pauseStarts(state, live.target, REFUSAL_PAUSE_MS.failed)
  giveUpStart(state, live, 'no answer to its start')
}

/** Revokes and stops a run whose start is not sent again, and the other members of its gang. */
function giveUpStart (state: CellState, live: LiveRun, reason: string): void {
  for (const member of findGang(live)) {
    if (member.phase === 'starting' && member.respondedAt === undefined) revokeStarts(state, member)
  }
  sendStop(state, live, reason)
  stopGangMembers(state, live)
}

/** Finds the runs that start together with this one; it alone unless it is of a gang. */
function findGang (live: LiveRun): readonly LiveRun[] {
  if (!live.task.step.spec.gang) return [live]
  return [...live.task.step.tasks.known()].flatMap(({ runs }) => [...runs].filter(({ run }) => run === live.run))
}

function pauseStarts (state: CellState, target: TargetState, pauseMs: number): void {
  target.pausedUntil = Math.max(target.pausedUntil, state.now + pauseMs)
}

/** Removes the runs of unreachable targets that have certainly expired. */
export function removeExpiredRuns (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.runs.size === 0 || !haveLeasesExpired(state, target)) continue
    for (const live of [...target.runs.values()]) removeLostRun(state, live, 'its lease has expired on an unreachable target')
  }
}
