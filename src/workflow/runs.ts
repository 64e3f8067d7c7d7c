import { changeBatchRuns, changeUsage, isUrgent, log, recordRoom } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { LivePhase, LiveRun } from './live-run.ts'
import { formatRunKey } from './run-key.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'
import { LATE_COMMAND_MS, recordStartSent } from './commands/unanswered-starts.ts'

/** How long a previous owner that is not reached may go on sending commands, in milliseconds. */
export const EARLIER_OWNER_MS = 8_000

/** Arguments of `addRun`. */
export type NewRun = {
  readonly task: Task
  readonly run: number
  readonly target: TargetState
  readonly phase: LivePhase
  readonly ticket: string | undefined
}

/** Adds a run and books its demand on the target and for the organisation. */
export function addRun (state: CellState, { task, run, target, phase, ticket }: NewRun): LiveRun {
  const live: LiveRun = {
    task,
    run,
    target,
    adopted: phase === 'running',
    resumed: task.checkpoint !== '',
    carriedOver: false,
    // An adopted run whose starts have been concluded is known to a previous owner; nobody sends starts of it again.
    startCommandsEndAt: task.concludedRun === run ? -Infinity : state.now + EARLIER_OWNER_MS + LATE_COMMAND_MS,
    startsRevoked: false,
    endsWithTarget: false,
    settled: false,
    urgent: isUrgent(state, task.step.job.definition),
    phase,
    ticket,
    sendCount: 0,
    unsentCount: 0,
    lastSentAt: state.now,
    respondedAt: undefined,
    startedAt: state.now,
    percent: 0,
    percentChangedAt: state.now,
    checkpoint: task.checkpoint,
    throttlePercent: 100,
    gauge: undefined
  }
  task.step.tasks.keep(task)
  task.runs.add(live)
  if (task.phase === 'waiting') task.phase = 'live'
  target.add(live)
  countRun(state, live, 1)
  return live
}

/** Counts a run for its organisation, or uncounts it. */
function countRun (state: CellState, { task: { step }, urgent }: LiveRun, sign: 1 | -1): void {
  const { organisation } = step.job.definition
  changeUsage(state, organisation, step.spec.demand, sign)
  if (!urgent && !step.spec.longRunning) changeBatchRuns(state, organisation, sign)
}

/** Removes a run and its bookings. The task waits again unless it is done or has another run. */
export function removeRun (state: CellState, live: LiveRun): void {
  const { task, target } = live
  if (!task.runs.delete(live)) return
  target.remove(live)
  recordRoom(state, target)
  countRun(state, live, -1)
  if (task.phase === 'live' && task.runs.size === 0) {
    task.phase = 'waiting'
    if (task.step.job.active) state.openSteps.add(task.step)
  }
  task.step.tasks.release(task)
  task.step.job.forgetStep(task.step)
  state.startPassNeeded = true
  // The outcome of an ended job may be stored already. Its definition is removed after its last run, in another commit.
  if (!task.step.job.active && task.runs.size === 0) state.effects.push({ type: 'store-progress', job: task.step.job.definition.id })
}

/** Sends the start command of a run, or resends it. */
export function sendStart (state: CellState, live: LiveRun): void {
  const { target, task } = live
  const clockMs = target.estimateClockMs(state.now)
  if (clockMs === undefined) return
  const leaseUntilMs = Math.floor(clockMs + state.options.leaseMs)
  target.extendLease(leaseUntilMs, state.now)
  if (live.sendCount === 0) target.lastStartAt = state.now
  live.sendCount += 1
  live.lastSentAt = state.now
  live.startCommandsEndAt = state.now + LATE_COMMAND_MS
  live.endsWithTarget = false
  recordStartSent(target, live, state.now)
  const { payload } = task.step.job.definition
  if (live.sendCount === 1) state.startWindow.recordSent({ target: target.id, run: formatRunKey(task.key, live.run), payloadBytes: payload.length }, state.now)
  const command = { task: task.key, run: live.run, payload, leaseUntilMs, checkpoint: live.checkpoint, ticket: live.ticket }
  const mayReachNext = state.unboundTargets.mayReachNext(target.id)
  state.effects.push({ type: 'start', target: target.id, incarnation: target.entry.incarnation, series: target.commandSeries, id: target.id, address: target.entry.address, ...mayReachNext && { mayReachNext }, command })
}

/** Sends the stop command of a run, or resends it. */
export function sendStop (state: CellState, live: LiveRun, reason: string): void {
  const { target, task } = live
  if (live.phase !== 'stopping') {
    live.phase = 'stopping'
    live.sendCount = 0
    live.respondedAt = undefined
    log(state, 'info', 'stop-ordered', { task: task.key, run: live.run, target: target.id, reason })
  }
  live.sendCount += 1
  live.lastSentAt = state.now
  state.effects.push({ type: 'stop', target: target.id, incarnation: target.entry.incarnation, series: target.commandSeries, id: target.id, address: target.entry.address, command: { task: task.key, run: live.run } })
}

/** Stops all runs of the given tasks. */
export function stopRuns (state: CellState, tasks: Iterable<Task>, reason: string): void {
  for (const task of tasks) {
    for (const live of task.runs) {
      if (live.phase !== 'stopping') sendStop(state, live, reason)
    }
  }
}
