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

/** The operations of the scheduler that a group uses. */
export type GroupScheduler = {
  readonly apply: (event: SchedulerEvent) => readonly SchedulerEffect[]
  /** Returns why the work would be refused, without adding it; undefined if it would be accepted. */
  readonly admission: (work: Work) => Refusal | undefined
  readonly explain: (task: TaskId) => Explanation | undefined
  readonly summary: (group: GroupNumber, epoch: Epoch, ready: boolean) => GroupSummary
  readonly usage: (team: string) => Resources
  readonly overview: (group: GroupNumber) => GroupOverview
}

/** A call to a target that has no response yet. */
export type PendingCall =
  | { readonly type: 'renewal', readonly targetId: TargetId, readonly call: TargetCall }
  | { readonly type: 'start', readonly targetId: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly lease: number }
  | { readonly type: 'control', readonly targetId: TargetId, readonly taskId: TaskId }

/** Why a group commit was requested; decides what follows when its outcome is known. */
export type CommitPurpose =
  | { readonly type: 'accept', readonly work: WorkId }
  | { readonly type: 'progress', readonly workIds: readonly WorkId[], readonly keptResults: readonly KeptResult[] }
  | { readonly type: 'intent', readonly taskId: TaskId, readonly attempt: number }
  | { readonly type: 'cancel', readonly work: WorkId, readonly nonce: string, readonly from: string }
  | { readonly type: 'targets', readonly ids: readonly TargetId[] }
  | { readonly type: 'forget' }

/** A submission of work to the group. */
export type SubmittedEvent = Extract<GroupEvent, { type: 'submitted' }>

/** State of the recovery of a group after a change of owner. */
export type Recovery = {
  readonly acquiredAt: number
  loadState: 'not-requested' | 'requested' | 'loaded'
  nextLoadAt: number
  hostsListed: boolean
  ready: boolean
  /** Whether the jobs found in the store have been submitted to the scheduler. */
  jobsResumed: boolean
  /**
   * Results of tasks that ended before this time on a target of a previous owner may have been lost before this owner
   * could list them. It is the last restart of such a target, or the change of owner if such a target was never listed
   * and its lease has lapsed.
   */
  resultsLostBefore: number
  /** Submissions that wait until the group is ready, by nonce. */
  readonly deferredSubmissions: Map<string, SubmittedEvent>
  /** Requests for which a target listed a stopped attempt of a previous owner; they must run again. */
  readonly startedByPreviousOwner: Set<WorkId>
  /** Targets that a previous owner may have used. */
  readonly inheritedTargets: Set<TargetId>
  /** Requests that may have run on a target that is not listed yet, by nonce. */
  readonly heldSubmissions: Map<string, SubmittedEvent>
}

/** State of one owned group; changed only by the group's reducer. */
export type GroupState = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly timing: GroupTiming
  readonly scheduler: GroupScheduler
  readonly outbox: Outbox<GroupEffect>
  readonly sessions: Map<TargetId, TargetSession>
  readonly workEntries: Map<WorkId, WorkEntry>
  readonly tasks: Map<TaskId, TaskEntry>
  readonly tasksByTarget: Map<TargetId, Set<TaskId>>
  readonly pendingCalls: Map<string, PendingCall>
  readonly pendingCommits: Map<string, CommitPurpose>
  /** Ended work by the time at which its entry is removed. */
  readonly removalQueue: KeyedHeap<WorkId>
  /** Ids of the targets in the stored record of this group. */
  readonly storedTargets: Set<TargetId>
  readonly recovery: Recovery
  /** Grants of the teams as received from their keepers. */
  readonly grants: Map<TeamName, Resources>
  configuration: Configuration
  listedTargets: ReadonlySet<TargetId>
  /** Number of targets with uncertain usage when the grants were last reapplied. */
  uncertainTargetCount: number
  targetCommitPending: boolean
  lastIdNumber: number
  nextProgressAt: number
}

/** Options of `Group.create`. */
export type GroupOptions = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly scheduler: GroupScheduler
  readonly now: number
  /** Default `DEFAULT_GROUP_TIMING`. */
  readonly timing?: GroupTiming
}

/**
 * Creates the state of a group that has just been acquired.
 *
 * @example
 * createGroupState({ group: 3, epoch: 2, scheduler, now })
 */
export function createGroupState (options: GroupOptions): GroupState {
  return {
    group: options.group,
    epoch: options.epoch,
    timing: options.timing ?? DEFAULT_GROUP_TIMING,
    scheduler: options.scheduler,
    outbox: Outbox.create<GroupEffect>(),
    sessions: new Map(),
    workEntries: new Map(),
    tasks: new Map(),
    tasksByTarget: new Map(),
    pendingCalls: new Map(),
    pendingCommits: new Map(),
    removalQueue: KeyedHeap.create<WorkId>(),
    storedTargets: new Set(),
    recovery: { acquiredAt: options.now, loadState: 'not-requested', nextLoadAt: options.now, hostsListed: false, ready: false, jobsResumed: false, resultsLostBefore: -Infinity, deferredSubmissions: new Map(), heldSubmissions: new Map(), inheritedTargets: new Set(), startedByPreviousOwner: new Set() },
    grants: new Map(),
    configuration: EMPTY_CONFIGURATION,
    listedTargets: new Set(),
    uncertainTargetCount: 0,
    targetCommitPending: false,
    lastIdNumber: 0,
    nextProgressAt: options.now
  }
}

/**
 * Returns an id that no previous call or commit of this ownership has.
 *
 * @example
 * nextId(state) // '3.2.17': group, epoch, number
 */
export function nextId (state: GroupState): string {
  state.lastIdNumber += 1
  return `${state.group}.${state.epoch}.${state.lastIdNumber}`
}
