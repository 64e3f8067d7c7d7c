import type { JobDefinition, Step } from './job.ts'
import { MAX_OPENED_STEPS } from './occurrence-steps.ts'

/** Memory that a job and each of its steps and of their predecessors take while the job has not ended, in bytes. */
const JOB_BYTES = 1_000
const STEP_BYTES = 300
const PREDECESSOR_BYTES = 12
/** Memory that a text of a step takes beside its characters, in bytes. */
const TEXT_BYTES = 24
/** Memory that each step with an object takes beside that, and each task that lasts, in bytes. */
const OPENED_STEP_BYTES = 1_450
const LASTING_TASK_BYTES = 1_500

/** Memory for the jobs that have not ended, in bytes. */
export type JobMemory = {
  /** What all of them may take. */
  readonly maxBytes: number
  /** The part of it that large jobs may take, so that they leave room for others. */
  readonly maxLargeBytes: number
  /** What a job takes at least to be a large one. */
  readonly largeJobBytes: number
}

/** For a process with a heap of `FULL_HEAP_BYTES` or more. */
export const DEFAULT_JOB_MEMORY: JobMemory = { maxBytes: 48_000_000, maxLargeBytes: 32_000_000, largeJobBytes: 250_000 }
const FULL_HEAP_BYTES = 200_000_000

/**
 * Computes the memory for jobs in a process with this limit of its heap, in bytes.
 *
 * @example
 * computeJobMemory(getHeapStatistics().heap_size_limit)
 */
export function computeJobMemory (heapLimitBytes: number): JobMemory {
  const ratio = Math.min(1, heapLimitBytes / FULL_HEAP_BYTES)
  const { maxBytes, maxLargeBytes, largeJobBytes } = DEFAULT_JOB_MEMORY
  return { maxBytes: ratio * maxBytes, maxLargeBytes: ratio * maxLargeBytes, largeJobBytes }
}

/** Whose job takes how much memory. */
export type HeldJob = { readonly organisation: string, readonly bytes: number }

/** Memory of jobs, in bytes. */
type Bytes = { large: number, small: number }

/** The memory that the jobs which have not ended take, by an estimate. What waits in a step takes none. */
export class HeldJobs {
  /** Of the jobs that the scheduler holds, those under way from the store included. */
  private readonly held: Bytes = { large: 0, small: 0 }
  /** The same by organisation. */
  private readonly heldByOrganisation = new Map<string, number>()
  /** Of the jobs that stay in the store until there is room for them. */
  private readonly deferred: Bytes = { large: 0, small: 0 }

  private constructor (private readonly memory: JobMemory) {}

  /**
   * Creates an object for no jobs.
   *
   * @example
   * const heldJobs = HeldJobs.create()
   * const bytes = estimateJobBytes(definition)
   * if (heldJobs.fits(bytes)) heldJobs.add({ organisation: definition.organisation, bytes })
   * heldJobs.isFull // whether no further large job should be accepted
   */
  static create (memory = DEFAULT_JOB_MEMORY): HeldJobs {
    return new HeldJobs(memory)
  }

  /** Whether no further large job should be accepted. */
  get isFull (): boolean {
    return this.roomBytes === 0
  }

  /** What the jobs take that the scheduler holds, in bytes. */
  get heldBytes (): number {
    return sum(this.held)
  }

  /** What further large jobs may take, in bytes. */
  get roomBytes (): number {
    return Math.max(0, this.memory.maxBytes - sum(this.held) - sum(this.deferred))
  }

  /** Whether no further job should be accepted, however small. */
  get isFullForAll (): boolean {
    return this.held.small + this.deferred.small + Math.min(this.held.large, this.memory.maxLargeBytes) >= this.memory.maxBytes
  }

  /** Whether there is room for a further job. One large job has room however large it is. */
  fits (bytes: number): boolean {
    const { large, small } = this.held
    const { maxBytes, maxLargeBytes } = this.memory
    if (this.isLarge(bytes)) return large === 0 || large + bytes <= maxLargeBytes
    return small + Math.min(large, maxLargeBytes) + bytes <= maxBytes
  }

  /** Whether a job of this estimated size is a large one. */
  isLarge (bytes: number): boolean {
    return isLargeJob(bytes, this.memory)
  }

  add ({ organisation, bytes }: HeldJob): void {
    this.change(this.held, bytes)
    this.heldByOrganisation.set(organisation, this.getHeldBytesOf(organisation) + bytes)
  }

  remove ({ organisation, bytes }: HeldJob): void {
    this.change(this.held, bytes, -1)
    const left = this.getHeldBytesOf(organisation) - bytes
    if (left > 0) this.heldByOrganisation.set(organisation, left)
    else this.heldByOrganisation.delete(organisation)
  }

  /** What the jobs of an organisation take, in bytes. */
  getHeldBytesOf (organisation: string): number {
    return this.heldByOrganisation.get(organisation) ?? 0
  }

  addDeferred (bytes: number): void {
    this.change(this.deferred, bytes)
  }

  removeDeferred (bytes: number): void {
    this.change(this.deferred, bytes, -1)
  }

  private change (total: Bytes, bytes: number, sign: 1 | -1 = 1): void {
    total[this.isLarge(bytes) ? 'large' : 'small'] += sign * bytes
  }
}

/** Whether a job of this estimated size is a large one. */
export function isLargeJob (bytes: number, { largeJobBytes }: JobMemory = DEFAULT_JOB_MEMORY): boolean {
  return bytes >= largeJobBytes
}

/** Estimates the memory that a job takes while it has not ended, in bytes. */
export function estimateJobBytes ({ payload, steps }: JobDefinition): number {
  const opened = Math.min(steps.length, MAX_OPENED_STEPS)
  return steps.reduce((total, step) => total + estimateStepBytes(step), JOB_BYTES + payload.length + opened * OPENED_STEP_BYTES)
}

/**
 * Returns whose a job is and what it takes.
 *
 * @example
 * heldJobs.remove(toHeldJob(job.definition))
 */
export function toHeldJob (definition: JobDefinition): HeldJob {
  return { organisation: definition.organisation, bytes: estimateJobBytes(definition) }
}

/** Each task that lasts has an object from its turn on. */
function estimateStepBytes ({ count, longRunning, after, image, requiredLabel = '', dataRack = '' }: Step): number {
  const texts = [image, requiredLabel, dataRack].reduce((total, { length }) => total + (length === 0 ? 0 : TEXT_BYTES + length), 0)
  return STEP_BYTES + after.length * PREDECESSOR_BYTES + texts + (longRunning ? count * LASTING_TASK_BYTES : 0)
}

function sum ({ large, small }: Bytes): number {
  return large + small
}
