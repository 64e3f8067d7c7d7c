import { changeUsage, isUrgent, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { LivePhase, LiveRun } from './live-run.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

export type NewRun = {
  readonly task: Task
  readonly run: number
  readonly target: TargetState
  readonly phase: LivePhase
  readonly ticket: string | undefined
}

/** Books a run on its target and for its organisation. */
export function addRun (state: CellState, { task, run, target, phase, ticket }: NewRun): LiveRun {
  const live: LiveRun = {
    task,
    run,
    target,
    urgent: isUrgent(state, task.step.job.definition),
    phase,
    ticket,
    sends: 0,
    lastSentAt: state.now,
    answeredAt: undefined,
    startedAt: state.now,
    percent: 0,
    percentChangedAt: state.now,
    checkpoint: task.checkpoint,
    pacedPercent: 100,
    gauge: undefined
  }
  task.runs.add(live)
  if (task.phase === 'waiting') task.phase = 'live'
  target.add(live)
  changeUsage(state, task.step.job.definition.organisation, task.step.spec.demand, 1)
  return live
}

/** Frees what a run took; its task waits again unless it has ended or another run of it is present. */
export function removeRun (state: CellState, live: LiveRun): void {
  const { task, target } = live
  if (!task.runs.delete(live)) return
  target.remove(live)
  changeUsage(state, task.step.job.definition.organisation, task.step.spec.demand, -1)
  if (task.phase === 'live' && task.runs.size === 0) {
    task.phase = 'waiting'
    if (task.step.job.active) state.open.add(task.step)
  }
  state.stale = true
  // The end of a job may be stored already; its definition goes with the last of its runs.
  if (!task.step.job.active && task.runs.size === 0) state.effects.push({ type: 'store-progress', job: task.step.job.definition.id })
}

/** Sends the start of a run, again if it had no answer. */
export function sendStart (state: CellState, live: LiveRun): void {
  const { target, task } = live
  const clock = target.clockAt(state.now)
  if (clock === undefined) return
  const leaseUntilMs = Math.floor(clock + state.options.leaseMs)
  target.leaseUntilMs = Math.max(target.leaseUntilMs, leaseUntilMs)
  live.sends += 1
  live.lastSentAt = state.now
  const { payload } = task.step.job.definition
  const command = { task: task.key, run: live.run, payload, leaseUntilMs, checkpoint: live.checkpoint, ticket: live.ticket }
  state.effects.push({ type: 'start', target: target.id, id: target.id, address: target.entry.address, command })
}

/** Begins to stop a run, or sends the stop again. */
export function sendStop (state: CellState, live: LiveRun, reason: string): void {
  const { target, task } = live
  if (live.phase !== 'stopping') {
    live.phase = 'stopping'
    live.sends = 0
    live.answeredAt = undefined
    log(state, 'info', 'stop-ordered', { task: task.key, run: live.run, target: target.id, reason })
  }
  live.sends += 1
  live.lastSentAt = state.now
  state.effects.push({ type: 'stop', target: target.id, id: target.id, address: target.entry.address, command: { task: task.key, run: live.run } })
}

/** Stops all runs of a job. */
export function stopJob (state: CellState, tasks: Iterable<Task>, reason: string): void {
  for (const task of tasks) {
    for (const live of task.runs) {
      if (live.phase !== 'stopping') sendStop(state, live, reason)
    }
  }
}
