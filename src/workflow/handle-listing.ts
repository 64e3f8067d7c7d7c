import { assertNever } from '../util/assert-never.ts'
import { mayAdoptBeside } from './attempts/last-attempts.ts'
import { count, findJob, findTask, log, recordRoom } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { releaseTasks } from './takeover/closed-targets.ts'
import { settleRun, withdrawCrash } from './crashes/crashes.ts'
import { mayHoldForeignLease } from './takeover/earlier-leases.ts'
import type { TaskKey } from './job.ts'
import { countFailure, findListedTask, finishTask } from './jobs.ts'
import type { LiveRun } from './live-run.ts'
import { formatRunKey } from './run-key.ts'
import { addRun, removeRun, sendStop } from './runs.ts'
import type { ListedCompletion, ListedRun, TargetListing } from './target-entry.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/** Number of completions in a listing from which on further ones may be left out. */
const MAX_LISTED_COMPLETIONS = 500

/**
 * Handles a listing of a target. `sentAt` is when the list request was sent: a run that is in neither list is certainly gone if
 * its last command was answered before that, or if its starts could no longer be executed then.
 */
export function handleListing (state: CellState, target: TargetState, listing: TargetListing, sentAt: number): void {
  target.recordClock(listing.clockMs, state.now)
  target.recordFirstAnswer(sentAt, state.now, state.options.longestLeaseMs)
  target.answeredCursor = Math.max(target.answeredCursor, target.sentCursor)
  for (const completion of listing.ended) handleCompletion(state, target, completion)
  const listedKeys = new Set<string>()
  let unknownRunCount = 0
  for (const listed of listing.running) {
    listedKeys.add(formatRunKey(listed.task, listed.run))
    if (!handleListedRun(state, target, listed, sentAt)) unknownRunCount += 1
  }
  if (unknownRunCount !== target.unknownRunCount) recordRoom(state, target)
  target.unknownRunCount = unknownRunCount
  // Further completions may follow, also those of runs that are not listed.
  const complete = listing.ended.length < MAX_LISTED_COMPLETIONS
  for (const [key, live] of [...target.runs]) {
    if (!listedKeys.has(key) && complete && mustBeListed(live, sentAt)) handleUnlistedRun(state, live)
  }
  // A previous leader may have extended the lease up to now, and the expiry that it sent is not known here.
  if (!target.listed) recordEarlierLeases(state, target, listing.clockMs)
  if (!target.listed || !target.reachable || target.listUnanswered) recordRoom(state, target)
  const isFirstListing = !target.listed
  target.listed = true
  target.reachable = true
  target.listUnanswered = false
  target.processEnded = false
  withdrawCrash(state, target)
  if (isFirstListing) releaseTasks(state, target)
}

function recordEarlierLeases (state: CellState, target: TargetState, clockMs: number): void {
  const endsAt = state.silentTargets.findEarlierLeasesEnd(target.id, target.entry.incarnation)
  if (endsAt !== undefined) target.recordEarlierLeasesEnd(endsAt)
  target.recordEarlierLeases(clockMs, endsAt === undefined && mayHoldForeignLease(state, target), state.options)
}

/**
 * Handles a run that its target does not have any more. If the target has restarted, a successor may have read the end of the
 * run before, so that the task waits until this owner was certainly alone after the restart.
 */
function handleUnlistedRun (state: CellState, live: LiveRun): void {
  if (live.carriedOver && live.target.firstSeenAt > state.aloneUntil) recordLostByRestart(state, live)
  else removeLostRun(state, live, 'not listed by its target')
}

/** Records that the last restart of its target has ended a run. */
export function recordLostByRestart (state: CellState, live: LiveRun): void {
  if (!state.runsLostByRestarts.has(live)) state.runsLostByRestarts.set(live, live.target.firstSeenAt)
}

/** Removes the runs that restarts have ended before this owner was last certainly alone. */
export function removeRunsLostByRestarts (state: CellState): void {
  for (const [live, restartedAt] of state.runsLostByRestarts) {
    const isPresent = live.target.runs.has(formatRunKey(live.task.key, live.run)) && live.carriedOver
    if (isPresent && restartedAt > state.aloneUntil) continue
    state.runsLostByRestarts.delete(live)
    if (isPresent) removeLostRun(state, live, 'its target has restarted')
  }
}

/**
 * Whether a listing requested at that time shows the run if it is or will be present: the target had responded to the last command
 * for it, or none of its start commands could be executed any more.
 */
function mustBeListed (live: LiveRun, sentAt: number): boolean {
  return (live.respondedAt !== undefined && live.respondedAt <= sentAt) || live.startCommandsEndAt <= sentAt
}

function handleCompletion (state: CellState, target: TargetState, completion: ListedCompletion): void {
  if (completion.number <= target.lastProcessed) return
  target.lastProcessed = completion.number
  const live = target.find(completion.task, completion.run)
  const task = live?.task ?? findCompletedTask(state, completion.task)
  if (task === undefined) {
    log(state, 'warn', 'unknown-run-ended', { task: completion.task, run: completion.run, target: target.id, ending: completion.outcome })
    return
  }
  log(state, 'info', 'run-ended', { task: completion.task, run: completion.run, target: target.id, incarnation: target.entry.incarnation, ending: completion.outcome, failures: task.failures })
  count(state, 'run-ended', completion.outcome)
  if (completion.checkpoint !== '') task.checkpoint = completion.checkpoint
  if (live !== undefined) {
    if (completion.outcome === 'done') state.runTimes.recordDone(state, live)
    removeRun(state, live)
  }
  applyOutcome(state, target, task, completion)
}

/**
 * Returns the task of a completion. For an active job it opens the occurrence if necessary: a previous owner whose clock is ahead
 * may have started it, and the target discards a completion that is acknowledged, so that the task would run again.
 */
function findCompletedTask (state: CellState, key: TaskKey): Task | undefined {
  const job = findJob(state, key)
  return job?.active === true ? findListedTask(state, key) : findTask(state, key)
}

function applyOutcome (state: CellState, target: TargetState, task: Task, completion: ListedCompletion): void {
  switch (completion.outcome) {
    case 'done': return handleTaskDone(state, target, task)
    case 'failed': return handleTaskFailed(state, target, task, completion.run)
    case 'stopped':
    case 'lapsed':
    case 'gang-broken':
    case 'gang-incomplete': break
    default: assertNever(completion.outcome)
  }
}

function handleTaskDone (state: CellState, target: TargetState, task: Task): void {
  target.recordOutcome(false, state.now)
  if (task.step.spec.longRunning) return
  finishTask(state, task)
  stopOtherRuns(state, task, target)
  if (!task.step.spec.gang) return
  for (const member of task.step.tasks.unfinished()) finishTask(state, member)
}

/** Stops the runs of an ended task on other targets. The other members of a gang end by themselves. */
function stopOtherRuns (state: CellState, ended: Task, target: TargetState): void {
  for (const live of ended.runs) {
    if (live.target !== target && live.phase !== 'stopping') sendStop(state, live, 'the task has ended on another target')
  }
}

function handleTaskFailed (state: CellState, target: TargetState, task: Task, run: number): void {
  target.recordOutcome(true, state.now)
  task.lastFailedTarget = target.id
  countFailure(state, task, run)
}

/** Updates the state of a listed run; returns whether the run belongs to a known job. */
function handleListedRun (state: CellState, target: TargetState, listed: ListedRun, sentAt: number): boolean {
  const live = target.find(listed.task, listed.run) ?? adoptRun(state, target, listed)
  if (live === undefined) return false
  live.carriedOver = false
  live.startsRevoked = false
  if (live.startCommandsEndAt <= sentAt) {
    live.endsWithTarget = true
    state.concludedStarts.record(live)
  }
  settleRun(state, live, sentAt)
  if (live.phase === 'starting') {
    live.phase = 'running'
    live.respondedAt = state.now
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

/** Takes over a run that a previous owner started; stops it if it is no longer wanted. */
function adoptRun (state: CellState, target: TargetState, listed: ListedRun): LiveRun | undefined {
  const task = findListedTask(state, listed.task)
  if (task === undefined) {
    state.effects.push({ type: 'stop', target: target.id, incarnation: target.entry.incarnation, series: target.commandSeries, id: target.id, address: target.entry.address, command: { task: listed.task, run: listed.run } })
    log(state, 'warn', 'stop-ordered-for-unknown', { task: listed.task, run: listed.run, target: target.id })
    return undefined
  }
  const wanted = task.step.job.active && task.phase !== 'done' && (task.runs.size === 0 || mayAdoptBeside(state, task, target))
  const live = addRun(state, { task, run: listed.run, target, phase: 'running', ticket: undefined })
  live.respondedAt = state.now
  log(state, 'info', 'run-adopted', { task: task.key, run: listed.run, target: target.id, incarnation: target.entry.incarnation, wanted })
  if (!wanted) sendStop(state, live, 'another run of the task exists, or the task or job has ended')
  return live
}

/** Removes a run that has certainly ended although no completion of it was listed. */
export function removeLostRun (state: CellState, live: LiveRun, reason: string): void {
  live.task.lostRuns += 1
  log(state, 'warn', 'run-lost', { task: live.task.key, run: live.run, target: live.target.id, incarnation: live.target.entry.incarnation, reason, phase: live.phase, ageMs: Math.round(state.now - live.startedAt), lostRuns: live.task.lostRuns })
  count(state, 'run-lost', live.phase)
  removeRun(state, live)
}
