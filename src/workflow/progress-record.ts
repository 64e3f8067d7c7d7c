import { BitSet, parseBitSet } from '../util/bit-set.ts'
import { restoreConcludedRuns, toStoredRuns } from './takeover/concluded-starts.ts'
import type { StoredCrashes } from './crashes/crash-record.ts'
import type { OccurrenceSteps } from './occurrence-steps.ts'
import type { Job, StepRun } from './task.ts'
import type { JobPhase, Step } from './job.ts'

/** Stored progress of one step: `done` is a bit set of the finished tasks in hexadecimal, `failedRuns` is by task index. */
export type StepProgress = {
  readonly done: string
  readonly failedRuns: Readonly<Record<string, readonly number[]>>
  readonly gangFailedRuns: readonly number[]
  /** By task index; missing in records without any. */
  readonly crashes?: Readonly<Record<string, StoredCrashes>>
  /** Runs whose start commands can no longer be executed, by task index; missing in records without any and of older releases. */
  readonly concludedRuns?: unknown
}

/** Stored progress of a step of which nothing is known. */
const UNTOUCHED: StepProgress = { done: '0', failedRuns: {}, gangFailedRuns: [] }

/** Stored progress of a job. With the definition it is enough for a new owner to continue the job. */
export type JobProgress = {
  readonly phase: JobPhase
  readonly nextOccurrence: number
  /** Progress of the steps of each open occurrence, by step number. An occurrence that has ended is left out. */
  readonly open: Readonly<Record<string, readonly StepProgress[]>>
}

/**
 * Converts the progress of a job to its stored form.
 *
 * @example
 * store.put(`progress/${job.definition.id}`, JSON.stringify(toJobProgress(job)))
 */
export function toJobProgress (job: Job): JobProgress {
  const unfinished = [...job.occurrences].filter(([, steps]) => !steps.areDone)
  const open = job.active ? unfinished.map(([occurrence, steps]) => [occurrence, toOccurrenceProgress(job, steps)] as const) : []
  return { phase: job.phase, nextOccurrence: job.nextOccurrence, open: Object.fromEntries(open) }
}

/**
 * Applies stored progress to a job that has no open occurrence yet.
 *
 * @example
 * restoreProgress(Job.create(definition, now, true), progress)
 */
export function restoreProgress (job: Job, progress: JobProgress): void {
  job.phase = progress.phase
  job.visiblePhase = progress.phase
  const open = Object.keys(progress.open).map(Number).sort((left, right) => left - right)
  for (const occurrence of open) {
    job.nextOccurrence = occurrence
    const steps = job.openOccurrence()
    progress.open[String(occurrence)]!.forEach((stored, index) => restoreStep(steps, index, stored, job.definition.steps[index]))
  }
  job.nextOccurrence = progress.nextOccurrence
}

/** Steps behind the last one of which something is known are left out. */
function toOccurrenceProgress (job: Job, steps: OccurrenceSteps): readonly StepProgress[] {
  return Array.from(steps.listKnown(), (step, number) => {
    switch (step) {
      case 'done': return { ...UNTOUCHED, done: BitSet.createFull(job.definition.steps[number]!.count).toHexadecimal() }
      case 'waiting': return UNTOUCHED
      default: return toStepProgress(step)
    }
  })
}

function toStepProgress (step: StepRun): StepProgress {
  const failedRuns: Record<string, readonly number[]> = {}
  const crashes: Record<string, StoredCrashes> = {}
  for (const task of step.tasks.known()) {
    if (!task.crashes.isEmpty) crashes[String(task.index)] = task.crashes.toStored()
    if (task.failures > 0) failedRuns[String(task.index)] = [...task.failedRuns]
  }
  const concludedRuns = toStoredRuns(step.tasks.known())
  return {
    done: step.tasks.formatDone(),
    failedRuns,
    gangFailedRuns: [...step.gangFailedRuns],
    ...(Object.keys(crashes).length === 0 ? {} : { crashes }),
    ...(Object.keys(concludedRuns).length === 0 ? {} : { concludedRuns })
  }
}

/** A step gets an object only if it has more to restore than that it has ended. */
function restoreStep (steps: OccurrenceSteps, number: number, stored: StepProgress, spec: Step | undefined): void {
  if (spec === undefined || isUntouched(stored)) return
  if (isPlain(stored) && stored.done === BitSet.createFull(spec.count).toHexadecimal()) return steps.restoreDone(number)
  restoreStepProgress(steps.open(number)!, stored)
}

function isUntouched (stored: StepProgress): boolean {
  return stored.done === UNTOUCHED.done && isPlain(stored)
}

/** Whether nothing else is stored than which tasks have ended. */
function isPlain ({ failedRuns, gangFailedRuns, crashes, concludedRuns }: StepProgress): boolean {
  return gangFailedRuns.length === 0 && Object.keys(failedRuns).length === 0 && crashes === undefined && concludedRuns === undefined
}

function restoreDone (step: StepRun, index: number): void {
  if (step.tasks.has(index)) step.tasks.get(index)!.phase = 'done'
  else step.waitingTasks -= 1
  step.tasks.finishAt(index)
  step.recordTaskDone()
}

function restoreStepProgress (step: StepRun, stored: StepProgress): void {
  for (const run of stored.gangFailedRuns) step.gangFailedRuns.add(run)
  restoreConcludedRuns(step.tasks, stored.concludedRuns)
  for (const [index, runs] of Object.entries(stored.failedRuns)) {
    for (const run of runs) step.tasks.get(Number(index))?.failedRuns.add(run)
  }
  for (const [index, crashes] of Object.entries(stored.crashes ?? {})) step.tasks.get(Number(index))?.crashes.restore(crashes)
  for (const index of parseBitSet(stored.done, step.spec.count)) restoreDone(step, index)
}
