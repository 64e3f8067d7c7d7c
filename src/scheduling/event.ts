import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { FailureDomainName, TargetId, TaskId, TeamName, WorkId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Target, TaskUsage } from '../model/target.ts'
import type { Work } from '../model/work.ts'

/**
 * How a run on a target ended, as far as the scheduler needs to know.
 * `lost`: the lease of its target has lapsed. `crashed`: its target has restarted under it. `not-started`: the target refused
 * the start; the task has not run.
 */
export type TaskCompletion = 'succeeded' | 'failed' | 'stopped' | 'lost' | 'crashed' | 'not-started'

/** An input event of the scheduler of one group; `now` is in milliseconds and never decreases. */
export type SchedulerEvent = { readonly now: number } & (
  | { readonly type: 'teams-changed', readonly organisations: readonly Organisation[], readonly teams: readonly Team[], readonly profile: Profile }
  /** The part of the team's limit that may be used in this group; a team without a grant may not use anything. */
  | { readonly type: 'grant-changed', readonly team: TeamName, readonly amount: Resources }
  /** A new or changed target; a leaving target gets no new work, and its services are moved to other targets. */
  | { readonly type: 'target-upserted', readonly target: Target }
  /** A lost target; the group sends a separate `task-ended` for each of its tasks. */
  | { readonly type: 'target-removed', readonly targetId: TargetId }
  | { readonly type: 'domain-changed', readonly failureDomain: FailureDomainName, readonly state: 'in' | 'out' }
  | { readonly type: 'usage-reported', readonly targetId: TargetId, readonly usage: readonly TaskUsage[] }
  /** `remaining` lists the indices of the tasks that must still run; undefined means all. */
  | { readonly type: 'work-submitted', readonly work: Work, readonly remaining?: readonly number[] }
  /** A task found running on a target during recovery; a `work-submitted` for its work may follow or not. */
  | { readonly type: 'task-recovered', readonly taskId: TaskId, readonly work: Work, readonly targetId: TargetId, readonly startedAt: number }
  /** The target confirmed the start. */
  | { readonly type: 'task-started', readonly taskId: TaskId }
  /** `mustRunAgain`: the task goes back to its queue. */
  | { readonly type: 'task-ended', readonly taskId: TaskId, readonly targetId: TargetId, readonly completion: TaskCompletion, readonly mustRunAgain: boolean }
  /** Waiting tasks are removed, running ones are stopped. */
  | { readonly type: 'work-cancelled', readonly work: WorkId }
  | { readonly type: 'tick' }
)
