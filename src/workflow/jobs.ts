import { findTask, log, queueOf } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { JobDefinition, JobPhase } from './job.ts'
import { isFinal } from './job.ts'
import type { JobProgress } from './progress-record.ts'
import { restoreProgress } from './progress-record.ts'
import { takeShare } from './submission-share.ts'
import { stopJob } from './runs.ts'
import type { StepRun, Task } from './task.ts'
import { Job } from './task.ts'

/** Failed runs of one task after which its job has failed, where the queue is not known. */
const FALLBACK_ATTEMPTS = 2

/** Adds a job that a caller has submitted; a known one stays as it is. */
export function acceptJob (state: CellState, definition: JobDefinition): void {
  if (state.jobs.has(definition.id) || state.ended.has(definition.id)) return
  const job = Job.create(definition, state.now, false)
  job.surplus = !takeShare(state, definition.organisation, state.now)
  addJob(state, job)
}

/** Adds a job that the store held when this owner began. */
export function restoreJob (state: CellState, definition: JobDefinition, progress: JobProgress | undefined): void {
  if (state.jobs.has(definition.id)) return
  const ageMs = Math.max(0, wallTime(state) - definition.submittedAtMs)
  const job = Job.create(definition, state.now - ageMs, true)
  job.surplus = !takeShare(state, definition.organisation, job.acceptedAt)
  if (progress !== undefined) restoreProgress(job, progress)
  if (isFinal(job.phase)) job.endedAt = state.now
  addJob(state, job)
}

function addJob (state: CellState, job: Job): void {
  state.jobs.set(job.definition.id, job)
  for (const steps of job.occurrences.values()) openSteps(state, steps)
  openDueOccurrences(state, job)
}

/** Whether a job has ended and nothing of it is left on any target. */
export function isReleasable (job: Job): boolean {
  if (job.active) return false
  for (const task of job.tasks()) {
    if (task.runs.size > 0) return false
  }
  return true
}

/** Opens the occurrences of a job whose time has come. */
export function openDueOccurrences (state: CellState, job: Job): void {
  const { occurrences } = job.definition
  while (job.active && job.nextOccurrence < occurrences) {
    if (!isDue(state, job.definition, job.nextOccurrence)) return
    openSteps(state, job.openOccurrence())
  }
}

/** Whether the time of an occurrence has come. */
export function isDue (state: CellState, { firstAtMs, intervalMs }: JobDefinition, occurrence: number): boolean {
  return firstAtMs === 0 || firstAtMs + occurrence * intervalMs <= wallTime(state)
}

/**
 * The task of a run that a target lists. An earlier owner may have opened its occurrence by a clock that is ahead, and
 * the record of an ended job no longer names its occurrences.
 */
export function findListedTask (state: CellState, key: string): Task | undefined {
  const known = findTask(state, key)
  if (known !== undefined) return known
  const [id, occurrence] = key.split('.')
  const job = state.jobs.get(id!)
  if (job === undefined || !(Number(occurrence) < job.definition.occurrences)) return undefined
  if (!job.active) job.nextOccurrence = Math.min(job.nextOccurrence, Number(occurrence))
  while (job.nextOccurrence <= Number(occurrence)) {
    const steps = job.openOccurrence()
    if (job.active) openSteps(state, steps)
  }
  return findTask(state, key)
}

/** Time of day, in milliseconds since 1970. */
function wallTime (state: CellState): number {
  return state.now + state.options.wallOffsetMs
}

function openSteps (state: CellState, steps: readonly StepRun[]): void {
  for (const step of steps) {
    if (!step.done) state.open.add(step)
  }
  state.stale = true
}

/** Marks a task as ended; the step and the job may end with it. */
export function finishTask (state: CellState, task: Task): void {
  if (task.phase === 'done') return
  task.phase = 'done'
  const { step } = task
  step.unfinished -= 1
  state.effects.push({ type: 'store-progress', job: step.job.definition.id })
  if (!step.done) return
  state.open.delete(step)
  state.stale = true
  finishOccurrence(state, step)
}

function finishOccurrence (state: CellState, step: StepRun): void {
  const { job } = step
  const steps = job.occurrences.get(step.occurrence)!
  if (!steps.every((sibling) => sibling.done)) return
  if (job.nextOccurrence >= job.definition.occurrences && [...job.occurrences.values()].flat().every((open) => open.done)) endJob(state, job, 'completed', 'all tasks have ended')
}

/** Counts a failed run of a task that is not long-running; its job fails with the last attempt. */
export function countFailure (state: CellState, task: Task, run: number): void {
  const { step } = task
  if (step.spec.longRunning || !step.job.active) return
  if (task.failedRuns.has(run)) return
  task.failedRuns.add(run)
  if (step.spec.gang) step.gangFailedRuns.add(run)
  state.effects.push({ type: 'store-progress', job: step.job.definition.id })
  const limit = queueOf(state, step.job.definition)?.maxAttempts ?? FALLBACK_ATTEMPTS
  const failures = step.spec.gang ? step.gangFailedRuns.size : task.failures
  if (failures >= limit) endJob(state, step.job, 'failed', `task ${task.key} failed ${failures} times`)
}

/** Ends a job: its steps close and its runs are stopped. */
export function endJob (state: CellState, job: Job, phase: JobPhase, reason: string): void {
  if (!job.active) return
  job.phase = phase
  job.endedAt = state.now
  for (const steps of job.occurrences.values()) {
    for (const step of steps) state.open.delete(step)
  }
  stopJob(state, job.tasks(), phase)
  state.effects.push({ type: 'store-progress', job: job.definition.id })
  log(state, 'info', 'job-ended', { job: job.definition.id, phase, reason })
}
