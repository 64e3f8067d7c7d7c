import type { JobDefinition, Step } from './job.ts'
import { MAX_OPENED_STEPS } from './occurrence-steps.ts'

/** Memory that a job and each of its steps and of their predecessors take while the job has not ended, in bytes. */
const JOB_BYTES = 1_000
const STEP_BYTES = 280
const PREDECESSOR_BYTES = 12
/** Memory that each step with an object takes beside that, and each task that lasts, in bytes. */
const OPENED_STEP_BYTES = 1_450
const LASTING_TASK_BYTES = 1_500
/** Memory for the jobs that have not ended, in bytes. A new owner needs about twice as much while it reads them. */
const MAX_HELD_BYTES = 48_000_000

/** The memory that the jobs which have not ended take, by an estimate. What waits in a step takes none. */
export class HeldJobs {
  private bytes = 0

  private constructor () {}

  /**
   * Creates an object for no jobs.
   *
   * @example
   * const heldJobs = HeldJobs.create()
   * heldJobs.add(definition)
   * heldJobs.isFull // whether no further job should be accepted
   */
  static create (): HeldJobs {
    return new HeldJobs()
  }

  get isFull (): boolean {
    return this.bytes >= MAX_HELD_BYTES
  }

  add (definition: JobDefinition): void {
    this.bytes += estimateBytes(definition)
  }

  remove (definition: JobDefinition): void {
    this.bytes -= estimateBytes(definition)
  }
}

function estimateBytes ({ payload, steps }: JobDefinition): number {
  const opened = Math.min(steps.length, MAX_OPENED_STEPS)
  return steps.reduce((sum, step) => sum + estimateStepBytes(step), JOB_BYTES + payload.length + opened * OPENED_STEP_BYTES)
}

/** Each task that lasts has an object from its turn on. */
function estimateStepBytes ({ count, longRunning, after, image, requiredLabel = '', dataRack = '' }: Step): number {
  return STEP_BYTES + after.length * PREDECESSOR_BYTES + image.length + requiredLabel.length + dataRack.length + (longRunning ? count * LASTING_TASK_BYTES : 0)
}
