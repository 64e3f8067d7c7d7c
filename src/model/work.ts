import type { QueueName, TaskId, TeamName, WorkId } from './ids.ts'
import type { Resources } from './resources.ts'

/**
 * Kind of work, with the fields that are specific to the kind.
 *
 * request: one task whose output is the response to a waiting caller, before `deadlineAt` (milliseconds since 1970).
 * service: `count` tasks that are kept running until cancelled.
 * batch: `count` tasks that run to completion in any order.
 * gang: `count` tasks that start together or not at all.
 */
export type WorkKind =
  | { readonly kind: 'request', readonly deadlineAt: number }
  | { readonly kind: 'service', readonly count: number }
  | { readonly kind: 'batch', readonly count: number }
  | { readonly kind: 'gang', readonly count: number }

/** Fields that all kinds of work have. */
export type WorkDetails = {
  readonly id: WorkId
  readonly team: TeamName
  readonly queue: QueueName
  /** Work of one family uses similar amounts of resources; estimates are kept per family. */
  readonly family: string
  /** Resources of one task, as declared. */
  readonly resources: Resources
  /** Declared run time of one task in milliseconds; 0 when unknown. */
  readonly expectedMs: number
  readonly urgent: boolean
  /** Whether a task may be run again after it may have run. */
  readonly idempotent: boolean
  /** Milliseconds since 1970 on the clock of the member that accepted it. */
  readonly submittedAt: number
  /** When the caller's idempotency key was issued, if the key contains it (version 7 UUID or ULID); milliseconds since 1970. */
  readonly keyIssuedAt?: number
  /** Passed to the target unchanged. */
  readonly payload: unknown
}

/** A request or a job, as accepted. */
export type Work = WorkDetails & WorkKind

/** How a task ended on its target. */
export type TaskOutcome =
  | { readonly type: 'succeeded', readonly output: unknown }
  | { readonly type: 'failed', readonly reason: string }
  | { readonly type: 'stopped', readonly checkpointed: boolean }

/** One start of a task. */
export type TaskAttempt = { readonly taskId: TaskId, readonly attempt: number }

/** A task that a target reports as running. */
export type RunningTask = {
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly startedAt: number
}

/** A task that has ended on a target and whose result is not yet acknowledged. */
export type EndedTask = {
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly outcome: TaskOutcome
}

/**
 * Returns the number of tasks of a job or request.
 *
 * @example
 * taskCount(request) // 1
 */
export function taskCount (work: WorkKind): number {
  return work.kind === 'request' ? 1 : work.count
}
