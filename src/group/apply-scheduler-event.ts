import { parseTaskIndex, parseWorkId, type TargetId, type TaskId } from '../model/ids.ts'
import type { SchedulerEffect } from '../scheduling/effect.ts'
import type { SchedulerEvent } from '../scheduling/event.ts'
import { assertNever } from '../util/assert-never.ts'
import { refuseWork } from './responses.ts'
import { commitJobs } from './commits.ts'
import { sendControl, sendStart, sendStop } from './dispatch.ts'
import { finishJobIfComplete, finishWork, recordFinalResult } from './completions.ts'
import type { GroupState } from './state.ts'
import { hasFinalResult, type TaskEntry, type WorkEntry } from './work-entry.ts'

/** Attempt numbers of an epoch start at `epoch` times this value, so that no two owners use the same attempt number. */
const ATTEMPTS_PER_EPOCH = 10_000

/**
 * Applies an event to the scheduler and executes the effects that it returns.
 *
 * @example
 * applySchedulerEvent(state, { type: 'tick', now })
 */
export function applySchedulerEvent (state: GroupState, event: SchedulerEvent): void {
  for (const effect of state.scheduler.apply(event)) applyEffect(state, event.now, effect)
}

function applyEffect (state: GroupState, now: number, effect: SchedulerEffect): void {
  switch (effect.type) {
    case 'start': return startTask(state, now, effect.taskId, effect.targetId)
    case 'stop': return stopTask(state, now, effect.taskId, effect.mode)
    case 'throttle': return sendControl(state, effect.targetId, effect.taskId, 'throttle')
    case 'reject': return rejectWork(state, now, effect)
    case 'give-up': return giveUpTask(state, now, effect)
    case 'quarantined':
      state.outbox.push({ type: 'log', level: 'warn', message: 'target-quarantined', fields: { target: effect.targetId, group: state.group } })
      return
    case 'readmitted':
      state.outbox.push({ type: 'log', level: 'info', message: 'target-readmitted', fields: { target: effect.targetId, group: state.group } })
      return
    case 'demand-changed':
    case 'count':
    case 'log':
      state.outbox.push(effect)
      return
    default: return assertNever(effect)
  }
}

/**
 * Returns the entry of a task, which is created when the scheduler or a target refers to the task for the first time.
 *
 * @example
 * getOrCreateTask(state, entry, 'g3-01h8/0')
 */
export function getOrCreateTask (state: GroupState, entry: WorkEntry, taskId: TaskId): TaskEntry {
  const known = state.tasks.get(taskId)
  if (known !== undefined) return known
  const task: TaskEntry = {
    taskId,
    index: parseTaskIndex(taskId),
    entry,
    phase: 'waiting',
    attempt: state.epoch * ATTEMPTS_PER_EPOCH,
    targetId: undefined,
    startInFlight: false,
    firstSentAt: undefined,
    startAmbiguous: false,
    nextStartAt: 0,
    stop: undefined
  }
  state.tasks.set(taskId, task)
  entry.activeTasks.add(taskId)
  return task
}

/**
 * Assigns a task to a target and adds it to the index of tasks by target.
 *
 * @example
 * assignTarget(state, task, 'target-7')
 */
export function assignTarget (state: GroupState, task: TaskEntry, targetId: TargetId): void {
  task.targetId = targetId
  const tasks = state.tasksByTarget.get(targetId) ?? new Set()
  tasks.add(task.taskId)
  state.tasksByTarget.set(targetId, tasks)
}

function startTask (state: GroupState, now: number, taskId: TaskId, targetId: TargetId): void {
  const entry = state.workEntries.get(parseWorkId(taskId))
  if (entry === undefined) throw new Error(`scheduler started unknown task ${taskId}`)
  const task = getOrCreateTask(state, entry, taskId)
  task.attempt += 1
  task.startAmbiguous = false
  task.startInFlight = false
  task.firstSentAt = undefined
  task.stop = undefined
  assignTarget(state, task, targetId)
  const needsIntent = entry.work.kind !== 'request' && !entry.work.idempotent && !entry.intents.has(task.index)
  if (!needsIntent) {
    task.phase = 'starting'
    sendStart(state, now, task)
    return
  }
  task.phase = 'intent'
  entry.intents.add(task.index)
  commitJobs(state, [entry], { type: 'intent', taskId, attempt: task.attempt })
}

function stopTask (state: GroupState, now: number, taskId: TaskId, mode: 'checkpoint' | 'stop'): void {
  const task = state.tasks.get(taskId)
  if (task === undefined) return
  task.stop = { mode, nextAt: now }
  sendStop(state, now, task)
}

function rejectWork (state: GroupState, now: number, effect: Extract<SchedulerEffect, { type: 'reject' }>): void {
  const entry = state.workEntries.get(effect.work)
  if (entry === undefined || entry.ended) return
  entry.refusal = effect.refusal
  if (entry.work.kind === 'request') {
    refuseWork(state, entry, effect.refusal)
    finishWork(state, now, entry)
    return
  }
  state.outbox.push({ type: 'count', counter: 'refused', reason: effect.refusal.reason })
  finishWork(state, now, entry)
}

function giveUpTask (state: GroupState, now: number, effect: Extract<SchedulerEffect, { type: 'give-up' }>): void {
  const entry = state.workEntries.get(parseWorkId(effect.taskId))
  const index = parseTaskIndex(effect.taskId)
  if (entry === undefined || entry.ended || hasFinalResult(entry, index)) return
  entry.refusal ??= effect.refusal
  state.tasks.delete(effect.taskId)
  entry.activeTasks.delete(effect.taskId)
  if (entry.work.kind === 'request') {
    refuseWork(state, entry, effect.refusal)
    finishWork(state, now, entry)
    return
  }
  state.outbox.push({ type: 'count', counter: 'gave-up', reason: effect.refusal.reason })
  recordFinalResult(entry, index, 'failed')
  finishJobIfComplete(state, now, entry)
}
