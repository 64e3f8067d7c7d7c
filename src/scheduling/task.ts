import type { TaskId, WorkId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import type { StopCause } from './effect.ts'
import type { TargetState } from './fleet.ts'
import type { ShapeQueue } from './queue.ts'
import type { TeamState } from './team.ts'

/** A recorded decision about a task. */
export type Decision = { readonly at: number, readonly decision: string, readonly detail: string }

/** A task that is booked on a target. `claimed`: it waits until its booked capacity is free; no start was sent yet. */
export type Task = {
  readonly id: TaskId
  readonly index: number
  readonly job: Job
  target: TargetState
  booked: Resources
  state: 'claimed' | 'starting' | 'running' | 'stopping'
  startedAt: number
  stop?: { readonly at: number, readonly mode: 'checkpoint' | 'stop', readonly cause: StopCause }
  throttledAt?: number
  /** Time at which the claim of a starved shape expires; undefined for a claim with the usual timeout. */
  claimExpiresAt?: number
  /** Whether it made no checkpoint in time and may not be stopped without one; such a task is not preempted again. */
  checkpointTimedOut?: boolean
  /** Whether its booking is part of the preemptible amount of its target. */
  preemptible?: boolean
  /** Usage in the last report of the target. */
  usage?: Resources
  readonly decisions: readonly Decision[]
}

/** Work known to the scheduler, with its waiting and booked tasks. */
export type Job = {
  readonly id: WorkId
  work: Work
  readonly team: TeamState
  /** False for a job that is only known from tasks recovered from a target. */
  submitted: boolean
  /** Indices from here up to `taskCount` wait for their first start, except those in `skippedIndices`. */
  firstFreshIndex: number
  /** Number of tasks whose indices start at 0; 0 for a job whose waiting indices were listed when it was recovered. */
  taskCount: number
  /** Indices in [firstFreshIndex, taskCount) that do not wait, because their tasks already run. */
  skippedIndices: Set<number> | undefined
  /** Other waiting indices, such as those of tasks that must run again or were listed when the job was recovered. */
  readonly listedIndices: number[]
  /** Number of waiting tasks, not counting delayed retries. */
  pendingCount: number
  /** Indices whose retry is delayed. */
  readonly delayedIndices: Set<number>
  /** Whether any of its tasks may have run. */
  mayHaveRun: boolean
  /** Target on which a task of the job failed or was lost last; new starts avoid it if another target has free capacity. */
  avoidedTarget: TargetState | undefined
  readonly tasks: Map<number, Task>
  /** Number of failed attempts by task index. */
  failuresByIndex: Map<number, number> | undefined
  readonly queuedAt: number
  /** Number of reservations that the gang has had. */
  reservationCount: number
  /** Position in the order of submission; older jobs have smaller numbers. */
  sequence: number
  queue: ShapeQueue | undefined
  previous: Job | undefined
  next: Job | undefined
  cancelled: boolean
}

/**
 * Removes and returns the next waiting index, or undefined when none waits.
 *
 * @example
 * const index = dequeueIndex(job)
 */
export function dequeueIndex (job: Job): number | undefined {
  if (job.pendingCount === 0) return undefined
  job.pendingCount -= 1
  const index = job.listedIndices.pop()
  if (index !== undefined) return index
  while (job.skippedIndices?.has(job.firstFreshIndex) === true) {
    job.skippedIndices.delete(job.firstFreshIndex)
    job.firstFreshIndex += 1
  }
  job.firstFreshIndex += 1
  return job.firstFreshIndex - 1
}

/**
 * Adds an index to the waiting ones.
 *
 * @example
 * addWaitingIndex(job, 4)
 */
export function addWaitingIndex (job: Job, index: number): void {
  job.listedIndices.push(index)
  job.pendingCount += 1
}

/**
 * Removes an index from the waiting ones, because its task was found running; false when it was not waiting.
 *
 * @example
 * removeWaitingIndex(job, 4)
 */
export function removeWaitingIndex (job: Job, index: number): boolean {
  const position = job.listedIndices.indexOf(index)
  if (position >= 0) {
    job.listedIndices.splice(position, 1)
    job.pendingCount -= 1
    return true
  }
  if (index < job.firstFreshIndex || index >= job.taskCount || job.skippedIndices?.has(index) === true) return false
  job.skippedIndices ??= new Set()
  job.skippedIndices.add(index)
  job.pendingCount -= 1
  return true
}

/**
 * Whether the index waits.
 *
 * @example
 * isIndexWaiting(job, 4)
 */
export function isIndexWaiting (job: Job, index: number): boolean {
  if (job.listedIndices.includes(index)) return true
  return index >= job.firstFreshIndex && index < job.taskCount && job.skippedIndices?.has(index) !== true
}

/**
 * Whether a task may be preempted: by a checkpoint, or by a stop without checkpoint when it is idempotent. Urgent work
 * and requests that are not idempotent are never preempted.
 *
 * @example
 * isPreemptible(task)
 */
export function isPreemptible ({ job: { work }, state, checkpointTimedOut }: Task): boolean {
  if (checkpointTimedOut === true || state === 'claimed' || state === 'stopping') return false
  if (work.urgent) return false
  return work.kind !== 'request' || work.idempotent
}
