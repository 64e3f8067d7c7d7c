import type { TargetId, TaskId, TeamName, WorkId } from '../model/ids.ts'
import type { Refusal } from '../model/refusal.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'
import type { Resources } from '../model/resources.ts'

/** Why a task is stopped. */
export type StopCause = 'urgent-work' | 'share-reclaimed' | 'target-leaving' | 'domain-out' | 'over-usage' | 'cancelled' | 'over-limit' | 'gang-incomplete'

/** An action that the scheduler of one group requests. */
export type SchedulerEffect =
  /** The resources are booked; the group sends the start and later reports `task-started` or `task-ended`. */
  | { readonly type: 'start', readonly taskId: TaskId, readonly targetId: TargetId }
  | { readonly type: 'stop', readonly taskId: TaskId, readonly targetId: TargetId, readonly mode: 'checkpoint' | 'stop', readonly cause: StopCause }
  | { readonly type: 'throttle', readonly taskId: TaskId, readonly targetId: TargetId }
  /** All of the work is refused; none of its tasks has run or will run. */
  | { readonly type: 'reject', readonly work: WorkId, readonly refusal: Refusal }
  /** One task is given up: it failed too often, or it ran before and its deadline can no longer be met. */
  | { readonly type: 'give-up', readonly taskId: TaskId, readonly refusal: Refusal }
  /** What the team uses, and what it would use with all its waiting tasks; sent on change, at most once per tick and team. */
  | { readonly type: 'demand-changed', readonly team: TeamName, readonly used: Resources, readonly wanted: Resources }
  | { readonly type: 'quarantined', readonly targetId: TargetId }
  | { readonly type: 'readmitted', readonly targetId: TargetId }
  | CountEffect
  | LogEffect
