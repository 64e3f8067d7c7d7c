import { assertNever } from '../util/assert-never.ts'
import { count, findTask, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { countFailure, findListedTask, finishTask } from './jobs.ts'
import type { LiveRun } from './live-run.ts'
import { addRun, removeRun, sendStop } from './runs.ts'
import type { ListedEnd, ListedRun, TargetListing } from './target-entry.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/**
 * Takes in what a target lists. `sentAt` is when the question was sent: a run whose order was answered before that and
 * which is in neither list is certainly gone.
 */
export function takeListing (state: CellState, target: TargetState, listing: TargetListing, sentAt: number): void {
  target.noteClock(listing.clockMs, state.now)
  for (const end of listing.ended) takeEnd(state, target, end)
  const present = new Set<string>()
  let unknownRuns = 0
  for (const listed of listing.running) {
    present.add(`${listed.task}#${listed.run}`)
    if (!takeRunning(state, target, listed)) unknownRuns += 1
  }
  if (unknownRuns !== target.unknownRuns) state.stale = true
  target.unknownRuns = unknownRuns
  for (const [key, live] of [...target.runs]) {
    if (!present.has(key) && isSettled(live, sentAt)) loseRun(state, live, 'not listed by its target')
  }
  // An earlier leader may have extended the lease up to now; its end is not known here.
  if (!target.listed) target.leaseUntilMs = Math.max(target.leaseUntilMs, Math.floor(listing.clockMs + state.options.leaseMs))
  if (!target.listed || !target.reachable) state.stale = true
  target.listed = true
  target.reachable = true
}

/** Whether the target had answered the last order for the run before the listing was asked for. */
function isSettled (live: LiveRun, sentAt: number): boolean {
  return live.answeredAt !== undefined && live.answeredAt <= sentAt
}

function takeEnd (state: CellState, target: TargetState, end: ListedEnd): void {
  if (end.number <= target.processed) return
  target.processed = end.number
  const live = target.find(end.task, end.run)
  const task = live?.task ?? findTask(state, end.task)
  if (task === undefined) {
    log(state, 'warn', 'unknown-run-ended', { task: end.task, run: end.run, target: target.id, ending: end.ending })
    return
  }
  log(state, 'info', 'run-ended', { task: end.task, run: end.run, target: target.id, ending: end.ending, failures: task.failures })
  count(state, 'run-ended', end.ending)
  if (end.checkpoint !== '') task.checkpoint = end.checkpoint
  if (live !== undefined) {
    if (end.ending === 'done') target.noteDuration(state.now - live.startedAt, task.step.spec.estimatedMs)
    removeRun(state, live)
  }
  applyEnding(state, target, task, end)
}

function applyEnding (state: CellState, target: TargetState, task: Task, end: ListedEnd): void {
  switch (end.ending) {
    case 'done': return taskDone(state, target, task)
    case 'failed': return taskFailed(state, target, task, end.run)
    case 'stopped':
    case 'lapsed':
    case 'gang-broken':
    case 'gang-incomplete': break
    default: assertNever(end.ending)
  }
}

function taskDone (state: CellState, target: TargetState, task: Task): void {
  target.noteOutcome(false, state.now)
  if (task.step.spec.longRunning) return
  const ended = task.step.spec.gang ? task.step.tasks : [task]
  for (const member of ended) {
    finishTask(state, member)
    stopOtherRuns(state, member, target, task)
  }
}

/** A run of the task elsewhere is of no more use; the members of a gang end by themselves. */
function stopOtherRuns (state: CellState, member: Task, target: TargetState, ended: Task): void {
  if (member !== ended) return
  for (const live of member.runs) {
    if (live.target !== target && live.phase !== 'stopping') sendStop(state, live, 'the task has ended on another target')
  }
}

function taskFailed (state: CellState, target: TargetState, task: Task, run: number): void {
  target.noteOutcome(true, state.now)
  task.failedOn = target.id
  countFailure(state, task, run)
}

/** Whether the run belongs to a known job. */
function takeRunning (state: CellState, target: TargetState, listed: ListedRun): boolean {
  const live = target.find(listed.task, listed.run) ?? adopt(state, target, listed)
  if (live === undefined) return false
  if (live.phase === 'starting') {
    live.phase = 'running'
    live.answeredAt = state.now
  }
  if (listed.percent !== live.percent) {
    live.percent = listed.percent
    live.percentChangedAt = state.now
  }
  live.gauge = listed.gauge
  if (listed.checkpoint !== '') {
    live.checkpoint = listed.checkpoint
    live.task.checkpoint = listed.checkpoint
  }
  return true
}

/** Takes over a run of an earlier owner; one that is not wanted any more is stopped. */
function adopt (state: CellState, target: TargetState, listed: ListedRun): LiveRun | undefined {
  const task = findListedTask(state, listed.task)
  if (task === undefined) {
    state.effects.push({ type: 'stop', target: target.id, id: target.id, address: target.entry.address, command: { task: listed.task, run: listed.run } })
    log(state, 'warn', 'stop-ordered-for-unknown', { task: listed.task, run: listed.run, target: target.id })
    return undefined
  }
  const wanted = task.step.job.active && task.phase !== 'done' && task.runs.size === 0
  const live = addRun(state, { task, run: listed.run, target, phase: 'running', ticket: undefined })
  live.answeredAt = state.now
  log(state, 'info', 'run-adopted', { task: task.key, run: listed.run, target: target.id, wanted })
  if (!wanted) sendStop(state, live, 'another run or the end of the job came first')
  return live
}

/** Removes a run that has certainly ended without being listed. */
export function loseRun (state: CellState, live: LiveRun, reason: string): void {
  log(state, 'warn', 'run-lost', { task: live.task.key, run: live.run, target: live.target.id, reason })
  count(state, 'run-lost', live.phase)
  removeRun(state, live)
}
