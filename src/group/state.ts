import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, TargetId, TaskId, TeamName, WorkId } from '../model/ids.ts'
import type { Explanation, GroupOverview } from '../model/group-request.ts'
import type { GroupSummary } from '../model/peer.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import type { TargetCall } from '../ports/target-client.ts'
import type { SchedulerEffect } from '../scheduling/effect.ts'
import type { SchedulerEvent } from '../scheduling/event.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import { Outbox } from '../util/outbox.ts'
import type { GroupEffect } from './effect.ts'
import type { GroupEvent } from './event.ts'
import type { TargetSession } from './target-session.ts'
import { DEFAULT_GROUP_TIMING, type GroupTiming } from './timing.ts'
import type { KeptResult, TaskEntry, WorkEntry } from './work-entry.ts'

/** What a group needs of its scheduler. */
export type GroupScheduler = {
  readonly apply: (event: SchedulerEvent) => readonly SchedulerEffect[]
  /** Refusal of work that can never run here, without adding it. */
  readonly admission: (work: Work) => Refusal | undefined
  readonly explain: (task: TaskId) => Explanation | undefined
  readonly summary: (group: GroupNumber, epoch: Epoch, ready: boolean) => GroupSummary
  readonly usage: (team: string) => Resources
  readonly overview: (group: GroupNumber) => GroupOverview
}

/** A call to a target that has not been answered. */
export type PendingCall =
  | { readonly type: 'renewal', readonly targetId: TargetId, readonly call: TargetCall }
  | { readonly type: 'start', readonly targetId: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly lease: number }
  | { readonly type: 'control', readonly targetId: TargetId, readonly taskId: TaskId }

/** What follows when a group commit is settled. */
export type CommitPurpose =
  | { readonly type: 'accept', readonly work: WorkId }
  | { readonly type: 'progress', readonly works: readonly WorkId[], readonly kept: readonly KeptResult[] }
  | { readonly type: 'intent', readonly taskId: TaskId, readonly attempt: number }
  | { readonly type: 'cancel', readonly work: WorkId, readonly nonce: string, readonly from: string }
  | { readonly type: 'targets', readonly ids: readonly TargetId[] }
  | { readonly type: 'forget' }

export type SubmittedEvent = Extract<GroupEvent, { type: 'submitted' }>

/** Recovery of a group after a change of owner. */
export type Recovery = {
  readonly acquiredAt: number
  loadState: 'not-asked' | 'asked' | 'loaded'
  nextLoadAt: number
  listed: boolean
  ready: boolean
  /** Jobs found in the store have been given to the scheduler. */
  resumed: boolean
  /**
   * Latest moment until which results on a target of an earlier owner were lost before this owner could list them:
   * the last restart of such a target, or the change of owner when one was lost altogether.
   */
  resultsLostUntil: number
  readonly deferred: Map<string, SubmittedEvent>
  /** Requests of which a target listed a stopped attempt of an earlier owner. */
  readonly startedBefore: Set<WorkId>
  /** Targets that an earlier owner may have used. */
  readonly inheritedTargets: Set<TargetId>
  /** Requests that may have run on a target that is not listed yet, by nonce. */
  readonly held: Map<string, SubmittedEvent>
}

/** State of one owned group; changed only by the group's reducer. */
export type GroupState = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly timing: GroupTiming
  readonly scheduler: GroupScheduler
  readonly outbox: Outbox<GroupEffect>
  readonly sessions: Map<TargetId, TargetSession>
  readonly works: Map<WorkId, WorkEntry>
  readonly tasks: Map<TaskId, TaskEntry>
  readonly tasksByTarget: Map<TargetId, Set<TaskId>>
  readonly calls: Map<string, PendingCall>
  readonly commits: Map<string, CommitPurpose>
  /** Ended works by the time at which they may be forgotten. */
  readonly endedWorks: KeyedHeap<WorkId>
  /** Ids of targets that the store's record of this group names. */
  readonly storedTargets: Set<TargetId>
  readonly recovery: Recovery
  /** Grants of teams as the keeper gave them. */
  readonly grants: Map<TeamName, Resources>
  configuration: Configuration
  listedTargets: ReadonlySet<TargetId>
  /** Number of targets with uncertain usage when the grants were last applied. */
  uncertainTargets: number
  targetsCommitPending: boolean
  nextNumber: number
  nextProgressAt: number
}

export type GroupOptions = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly scheduler: GroupScheduler
  readonly now: number
  /** Default `DEFAULT_GROUP_TIMING`. */
  readonly timing?: GroupTiming
}

/**
 * State of a group that has just been acquired.
 *
 * @example
 * newGroupState({ group: 3, epoch: 2, scheduler, now })
 */
export function newGroupState (options: GroupOptions): GroupState {
  return {
    group: options.group,
    epoch: options.epoch,
    timing: options.timing ?? DEFAULT_GROUP_TIMING,
    scheduler: options.scheduler,
    outbox: Outbox.create<GroupEffect>(),
    sessions: new Map(),
    works: new Map(),
    tasks: new Map(),
    tasksByTarget: new Map(),
    calls: new Map(),
    commits: new Map(),
    endedWorks: KeyedHeap.create<WorkId>(),
    storedTargets: new Set(),
    recovery: { acquiredAt: options.now, loadState: 'not-asked', nextLoadAt: options.now, listed: false, ready: false, resumed: false, resultsLostUntil: -Infinity, deferred: new Map(), held: new Map(), inheritedTargets: new Set(), startedBefore: new Set() },
    grants: new Map(),
    configuration: EMPTY_CONFIGURATION,
    listedTargets: new Set(),
    uncertainTargets: 0,
    targetsCommitPending: false,
    nextNumber: 0,
    nextProgressAt: options.now
  }
}

/**
 * A number that no earlier call or commit of this ownership has.
 *
 * @example
 * nextId(state) // '3.2.17': group, epoch, number
 */
export function nextId (state: GroupState): string {
  state.nextNumber += 1
  return `${state.group}.${state.epoch}.${state.nextNumber}`
}
