import { assertNever } from '../../util/assert-never.ts'
import type { CellState } from '../cell-state.ts'
import type { CommandResponse } from '../../ports/command-client.ts'
import type { TaskKey } from '../job.ts'
import type { LiveRun } from '../live-run.ts'
import { formatRunKey } from '../run-key.ts'
import type { TargetState } from '../target-state.ts'

/** A command without an answer may be executed until this time after it was sent, in milliseconds. */
export const LATE_COMMAND_MS = 12_000

/** Start commands of one run that have had no answer, so that they may still be executed. */
export type UnansweredStart = {
  readonly task: TaskKey
  readonly run: number
  commands: number
  lastSentAt: number
  /** When a stop was last sent because of them; undefined while none is needed. */
  stopSentAt: number | undefined
}

/** Records that a start command was sent. */
export function recordStartSent (target: TargetState, { task, run }: LiveRun, now: number): void {
  const key = formatRunKey(task.key, run)
  const known = target.unansweredStarts.get(key) ?? { task: task.key, run, commands: 0, lastSentAt: now, stopSentAt: undefined }
  known.commands += 1
  known.lastSentAt = now
  target.unansweredStarts.set(key, known)
}

/** Records the response to a start command. */
export function recordStartResponse (target: TargetState, task: TaskKey, run: number, response: CommandResponse): void {
  if (!isConclusive(response)) return
  const key = formatRunKey(task, run)
  const known = target.unansweredStarts.get(key)
  if (known === undefined) return
  known.commands -= 1
  if (known.commands === 0) target.unansweredStarts.delete(key)
}

/** Whether a response shows that a command will not be executed later. */
function isConclusive (response: CommandResponse): boolean {
  switch (response.type) {
    case 'accepted': return true
    case 'refused': return response.reason !== 'failed'
    case 'unanswered': return response.sent === false
    default: return assertNever(response)
  }
}

/** Whether start commands of the run may still be executed. */
export function hasUnansweredStarts (target: TargetState, { task, run }: LiveRun): boolean {
  return target.unansweredStarts.has(formatRunKey(task.key, run))
}

/**
 * Lets the next incarnation of a target reject the runs whose starts may still be executed: it has seen no term and does not
 * know which runs have ended. Those that are booked there are stopped with their bookings.
 */
export function transferUnansweredStarts (state: CellState, previous: TargetState, next: TargetState): void {
  removeOutdatedStarts(state, previous)
  for (const [key, start] of previous.unansweredStarts) {
    next.unansweredStarts.set(key, start)
    if (!next.runs.has(key)) sendRejection(state, next, start)
  }
  previous.unansweredStarts.clear()
}

/** Records that the target rejects a run from now on. */
export function recordRejection (target: TargetState, task: TaskKey, run: number): void {
  const start = target.unansweredStarts.get(formatRunKey(task, run))
  if (start !== undefined) start.stopSentAt = undefined
}

/** Sends the stops that have had no response again, and forgets the starts that can no longer be executed. */
export function resendRejections (state: CellState): void {
  for (const target of state.targets.values()) {
    removeOutdatedStarts(state, target)
    if (!target.reachable) continue
    for (const start of target.unansweredStarts.values()) {
      if (start.stopSentAt !== undefined && state.now - start.stopSentAt >= state.options.resendAfterMs) sendRejection(state, target, start)
    }
  }
}

/** Forgets the starts of a target that can no longer be executed. */
export function removeOutdatedStarts (state: CellState, { unansweredStarts }: TargetState): void {
  for (const [key, { lastSentAt }] of unansweredStarts) {
    if (state.now - lastSentAt > LATE_COMMAND_MS) unansweredStarts.delete(key)
  }
}

function sendRejection (state: CellState, target: TargetState, start: UnansweredStart): void {
  start.stopSentAt = state.now
  const { task, run } = start
  state.effects.push({ type: 'stop', target: target.id, incarnation: target.entry.incarnation, series: target.commandSeries, id: target.id, address: target.entry.address, command: { task, run } })
}
