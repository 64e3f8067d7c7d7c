import { awaitOtherRuns, awaitRestoredRuns } from './attempts/last-attempts.ts'
import { indexRestoredCrashes } from './crashes/crashes.ts'
import { findTask, log, findQueue } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { deferJob, takeDeferredJob, toJobOutline } from './deferred-jobs.ts'
import type { JobOutline } from './deferred-jobs.ts'
import { toHeldJob } from './held-jobs.ts'
import type { JobDefinition, JobPhase } from './job.ts'
import { isFinalPhase } from './job.ts'
import type { JobProgress } from './progress-record.ts'
import { restoreProgress } from './progress-record.ts'
import { learnJobSettings, storeSettingsOf } from './settings/removed-settings.ts'
import { consumeSubmissionShare } from './order/submission-share.ts'
import { stopRuns } from './runs.ts'
import type { OccurrenceSteps } from './occurrence-steps.ts'
import type { StepRun, Task } from './task.ts'
import { Job } from './task.ts'

/** While a job has as many tasks that have not ended, no further occurrence of it opens, so that it leaves time for others. */
const MAX_OPEN_TASKS = 10_000
/** While as many steps of all jobs have not ended, only jobs without a task that has not ended open an occurrence: each step takes memory. */
const MAX_OPEN_STEPS = 12_000

/** Adds a job that a caller submitted; a known job is left unchanged. It is deferred if there is no room for it. */
export function acceptJob (state: CellState, definition: JobDefinition): void {
  if (isKnown(state, definition.id) || state.endedJobs.has(definition.id)) return
  const outline = toJobOutline(definition)
  const exceedsShare = !consumeSubmissionShare(state, definition.organisation, state.now)
  if (!hasRoom(state, outline)) return deferJob(state, { outline, acceptedAt: state.now, exceedsShare, restored: false, phase: 'queued' })
  learnJobSettings(state, definition)
  const job = Job.create(definition, state.now, false)
  job.exceedsShare = exceedsShare
  addJob(state, job)
}

function isKnown ({ jobs, deferredJobs }: CellState, id: string): boolean {
  return jobs.has(id) || deferredJobs.find(id) !== undefined
}

/** Jobs that wait for the same room come first. */
function hasRoom ({ heldJobs, deferredJobs }: CellState, { bytes }: JobOutline): boolean {
  const isLarge = heldJobs.isLarge(bytes)
  return heldJobs.fits(bytes) && !deferredJobs.list().some((other) => !other.isLoading && heldJobs.isLarge(other.outline.bytes) === isLarge)
}

/** Adds a job that was in the store when this owner took over. */
export function restoreJob (state: CellState, definition: JobDefinition, progress: JobProgress | undefined): void {
  if (isKnown(state, definition.id)) return
  const acceptedAt = getRestoredAcceptance(state, definition.submittedAtMs)
  const exceedsShare = !consumeSubmissionShare(state, definition.organisation, acceptedAt)
  addRestoredJob(state, definition, progress, { acceptedAt, exceedsShare })
}

/** Adds a job that was in the store when this owner took over, or that it found there, as one that is read later. */
export function restoreDeferredJob (state: CellState, outline: JobOutline, phase: JobPhase, restored: boolean): void {
  if (isKnown(state, outline.id) || state.endedJobs.has(outline.id)) return
  const acceptedAt = restored ? getRestoredAcceptance(state, outline.submittedAtMs) : state.now
  const exceedsShare = !consumeSubmissionShare(state, outline.organisation, acceptedAt)
  deferJob(state, { outline, acceptedAt, exceedsShare, restored, phase })
}

/** Adds a deferred job that was read from the store. */
export function addLoadedJob (state: CellState, definition: JobDefinition, progress: JobProgress | undefined): void {
  const deferred = takeDeferredJob(state, definition.id)
  if (deferred === undefined) return
  const { acceptedAt, exceedsShare, restored, isCancelled } = deferred
  log(state, 'info', 'job-loaded', { job: definition.id, waitedMs: Math.round(state.now - acceptedAt), deferred: state.deferredJobs.size })
  if (restored || progress !== undefined) {
    addRestoredJob(state, definition, progress, { acceptedAt, exceedsShare })
  } else {
    learnJobSettings(state, definition)
    const job = Job.create(definition, acceptedAt, false)
    job.exceedsShare = exceedsShare
    addJob(state, job)
  }
  if (isCancelled) endJob(state, state.jobs.get(definition.id)!, 'cancelled', 'cancelled by its caller')
}

/** Gives up a deferred job that cannot be read. Without a final phase its tasks may run, so that it is kept as ended for good. */
export function giveUpDeferredJob (state: CellState, id: string, phase: JobPhase | undefined): void {
  if (takeDeferredJob(state, id) === undefined) return
  log(state, 'error', 'job-not-loaded', { job: id, phase: phase ?? 'unknown' })
  if (phase !== undefined) state.endedJobs.set(id, { phase, endedAt: isFinalPhase(phase) ? state.now : Infinity })
}

function addRestoredJob (state: CellState, definition: JobDefinition, progress: JobProgress | undefined, { acceptedAt, exceedsShare }: Pick<Job, 'acceptedAt' | 'exceedsShare'>): void {
  learnJobSettings(state, definition)
  const job = Job.create(definition, acceptedAt, true)
  job.exceedsShare = exceedsShare
  if (progress !== undefined) restoreProgress(job, progress)
  if (isFinalPhase(job.phase)) job.endedAt = state.now
  addJob(state, job)
  awaitRestoredRuns(state, job)
  indexRestoredCrashes(state, definition.id)
  if (!state.earlierRunsPossible) releaseIfEnded(state, job)
}

/** Lets the definitions of restored jobs that have ended be removed, once all runs of previous owners are known or have lapsed. */
export function releaseEndedJobs (state: CellState): void {
  for (const job of state.jobs.values()) releaseIfEnded(state, job)
}

function releaseIfEnded (state: CellState, job: Job): void {
  if (isReleasable(job)) state.effects.push({ type: 'store-progress', job: job.definition.id })
}

/** When a restored job was accepted, on the scheduler's clock. */
function getRestoredAcceptance (state: CellState, submittedAtMs: number): number {
  return state.now - Math.max(0, getWallTimeMs(state) - submittedAtMs)
}

function addJob (state: CellState, job: Job): void {
  state.jobs.set(job.definition.id, job)
  state.heldJobs.add(toHeldJob(job.definition))
  state.runTimes.applyTo(job)
  storeSettingsOf(state, job.definition)
  for (const steps of job.occurrences.values()) openSteps(state, steps)
  openDueOccurrences(state, job)
}

/** Whether a job has ended and none of its runs can be on a target. */
export function isReleasable (job: Job): boolean {
  if (job.active) return false
  for (const task of job.knownTasks()) {
    if (task.runs.size > 0) return false
  }
  return true
}

/** Opens the occurrences of a job that are due, as far as it may have open tasks. */
export function openDueOccurrences (state: CellState, job: Job): void {
  if (!mayOpenOccurrence(state, job)) return
  let openTasks = [...job.occurrences.values()].reduce((sum, { unfinishedTasks }) => sum + unfinishedTasks, 0)
  while (mayOpenFurther(state, openTasks) && mayOpenOccurrence(state, job)) {
    const steps = job.openOccurrence()
    openTasks += steps.unfinishedTasks
    openSteps(state, steps)
  }
}

function mayOpenFurther ({ openSteps }: CellState, openTasks: number): boolean {
  return openTasks === 0 || (openTasks < MAX_OPEN_TASKS && openSteps.size < MAX_OPEN_STEPS)
}

function mayOpenOccurrence (state: CellState, { active, nextOccurrence, definition }: Job): boolean {
  return active && nextOccurrence < definition.occurrences && isDue(state, definition, nextOccurrence)
}

/** Whether an occurrence is due. */
export function isDue (state: CellState, { firstAtMs, intervalMs }: JobDefinition, occurrence: number): boolean {
  return firstAtMs === 0 || firstAtMs + occurrence * intervalMs <= getWallTimeMs(state)
}

/**
 * Returns the task of a listed run and opens its occurrence if necessary. A previous owner whose clock is ahead may have
 * opened the occurrence earlier, and the record of an ended job does not contain its occurrences.
 */
export function findListedTask (state: CellState, key: string): Task | undefined {
  const known = findTask(state, key)
  if (known !== undefined) return openStepOf(state, known)
  const [id, occurrence] = key.split('.')
  const job = state.jobs.get(id!)
  if (job === undefined || !(Number(occurrence) < job.definition.occurrences)) return undefined
  if (!job.active) job.nextOccurrence = Math.min(job.nextOccurrence, Number(occurrence))
  while (job.nextOccurrence <= Number(occurrence)) {
    const steps = job.openOccurrence()
    if (job.active) openSteps(state, steps)
  }
  const task = findTask(state, key)
  return task === undefined ? undefined : openStepOf(state, task)
}

/** A previous owner may have started a task of a step that has had no object here until now. */
function openStepOf (state: CellState, task: Task): Task {
  const { step } = task
  if (step.job.active && !step.done) state.openSteps.add(step)
  return task
}

/** Returns the time of day, in milliseconds since 1970. */
function getWallTimeMs (state: CellState): number {
  return state.now + state.options.wallClockOffsetMs
}

function openSteps (state: CellState, steps: OccurrenceSteps): void {
  for (const step of steps.known()) {
    if (!step.done) state.openSteps.add(step)
  }
  openFurtherSteps(state, steps)
  state.startPassNeeded = true
}

function openFurtherSteps ({ openSteps }: CellState, steps: OccurrenceSteps): void {
  for (const step of steps.openFurther()) openSteps.add(step)
}

/** Opens further steps of a job in place of those whose tasks have started. */
export function openNextSteps (state: CellState, job: Job): void {
  for (const steps of job.occurrences.values()) openFurtherSteps(state, steps)
}

/** Marks a task as done. Its step and its job end with their last task. */
export function finishTask (state: CellState, task: Task): void {
  if (task.phase === 'done') return task.step.tasks.release(task)
  task.phase = 'done'
  const { step } = task
  step.tasks.finish(task)
  step.recordTaskDone()
  state.effects.push({ type: 'store-progress', job: step.job.definition.id })
  if (!step.done) return
  state.openSteps.delete(step)
  state.startPassNeeded = true
  finishStep(state, step)
}

function finishStep (state: CellState, step: StepRun): void {
  const { job, siblings } = step
  job.forgetStep(step)
  if (!siblings.areDone) {
    if (job.active) openFurtherSteps(state, siblings)
    return
  }
  if (job.nextOccurrence >= job.definition.occurrences && [...job.occurrences.values()].every(({ areDone }) => areDone)) endJob(state, job, 'completed', 'all tasks have ended')
}

/** Counts a failed run of a task that is not long-running. The job fails when the attempts are exhausted. */
export function countFailure (state: CellState, task: Task, run: number): void {
  const { step } = task
  if (step.spec.longRunning || !step.job.active) return
  if (task.failedRuns.has(run)) return
  task.failedRuns.add(run)
  if (step.spec.gang) step.gangFailedRuns.add(run)
  state.effects.push({ type: 'store-progress', job: step.job.definition.id })
  failIfExhausted(state, task)
}

/** Fails the job of a task that has no attempts left, unless one of its runs may still end as done. How many it has is unknown until its queue is known. */
export function failIfExhausted (state: CellState, task: Task): void {
  const { key, step, failures: ownFailures } = task
  const limit = findQueue(state, step.job.definition)?.maxAttempts
  const failures = step.spec.gang ? step.gangFailedRuns.size : ownFailures
  if (limit !== undefined && failures >= limit && !awaitOtherRuns(state, task)) endJob(state, step.job, 'failed', `task ${key} failed ${failures} times`)
}

/** Fails the jobs of queues that were unknown until now if runs that failed meanwhile have exhausted their attempts. */
export function failExhaustedJobs (state: CellState, newQueues: ReadonlySet<string>): void {
  for (const job of state.jobs.values()) {
    if (!newQueues.has(job.definition.queue)) continue
    for (const task of job.knownTasks()) {
      if (job.active && task.failures > 0) failIfExhausted(state, task)
    }
  }
}

/** Ends a job: closes its steps and stops its runs. */
export function endJob (state: CellState, job: Job, phase: JobPhase, reason: string): void {
  if (!job.active) return
  job.phase = phase
  job.endedAt = state.now
  for (const steps of job.occurrences.values()) {
    for (const step of steps.known()) state.openSteps.delete(step)
  }
  stopRuns(state, job.knownTasks(), phase)
  state.effects.push({ type: 'store-progress', job: job.definition.id })
  log(state, 'info', 'job-ended', { job: job.definition.id, phase, reason })
}

/** Removes ended jobs after the retention time, here and from the store. */
export function removeEndedJobs (state: CellState): void {
  for (const [id, { endedAt }] of state.endedJobs) {
    if (state.now - endedAt <= state.options.endedJobRetentionMs) continue
    state.endedJobs.delete(id)
    state.effects.push({ type: 'forget-job', job: id })
  }
}
