import type { Job, StepRun } from './task.ts'
import type { JobPhase } from './job.ts'

/** Stored progress of one step: ended tasks as a bit set in hexadecimal, and failed runs by task index. */
export type StepProgress = {
  readonly done: string
  readonly failedRuns: Readonly<Record<string, readonly number[]>>
  readonly gangFailedRuns: readonly number[]
}

/** What is stored about a job beside its definition; enough for a new owner to continue. */
export type JobProgress = {
  readonly phase: JobPhase
  readonly nextOccurrence: number
  /** Open occurrences: their steps in order. */
  readonly open: Readonly<Record<string, readonly StepProgress[]>>
}

/**
 * The progress of a job as it is stored.
 *
 * @example
 * store.put(`progress/${job.definition.id}`, JSON.stringify(progressOf(job)))
 */
export function progressOf (job: Job): JobProgress {
  const open = job.active ? [...job.occurrences].map(([occurrence, steps]) => [occurrence, steps.map(stepProgress)] as const) : []
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
  job.shownPhase = progress.phase
  const open = Object.keys(progress.open).map(Number).sort((left, right) => left - right)
  for (const occurrence of open) {
    job.nextOccurrence = occurrence
    const steps = job.openOccurrence()
    progress.open[String(occurrence)]!.forEach((stored, index) => {
      if (steps[index] !== undefined) restoreStep(steps[index], stored)
    })
  }
  job.nextOccurrence = progress.nextOccurrence
}

function stepProgress (step: StepRun): StepProgress {
  let bits = 0n
  const failedRuns: Record<string, readonly number[]> = {}
  for (const task of step.tasks) {
    if (task.phase === 'done') bits |= 1n << BigInt(task.index)
    if (task.failures > 0) failedRuns[String(task.index)] = [...task.failedRuns]
  }
  return { done: bits.toString(16), failedRuns, gangFailedRuns: [...step.gangFailedRuns] }
}

function restoreStep (step: StepRun, stored: StepProgress): void {
  const bits = BigInt(`0x${stored.done}`)
  for (const run of stored.gangFailedRuns) step.gangFailedRuns.add(run)
  for (const task of step.tasks) {
    for (const run of stored.failedRuns[String(task.index)] ?? []) task.failedRuns.add(run)
    if ((bits >> BigInt(task.index) & 1n) === 0n) continue
    task.phase = 'done'
    step.unfinished -= 1
  }
}
