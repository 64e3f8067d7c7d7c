import { assertNever } from '../util/assert-never.ts'
import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import { handleCommitOutcome, writeProgress } from './progress.ts'
import { sendCall, sendStop } from './dispatch.ts'
import type { GroupEffect } from './effect.ts'
import type { GroupEvent } from './event.ts'
import { handleGroupRequest } from './group-requests.ts'
import { applyHostList, applyLoadedRecords, commitTargets, requestRecords, continueRecovery, upsertTarget } from './recovery.ts'
import { expireRequests, removeExpiredWork, recordResponseReceived } from './retention.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import { sendDelayedStart } from './send-delayed-start.ts'
import { reconcileServices } from './services.ts'
import { changeGrant, getClaimedUsage, reapplyGrants } from './uncertain-usage.ts'
import { createGroupState, type GroupOptions, type GroupState } from './state.ts'
import { handleSubmission } from './submissions.ts'
import { handleTargetResponse, handleTargetLoss } from './target-responses.ts'

/**
 * Manages the jobs and requests of one owned group: recovery after a change of owner, dispatch to targets, results and
 * their acknowledgement, deduplication of requests. Performs no I/O: effects are returned as data.
 */
export class Group {
  private constructor (private readonly state: GroupState, private readonly groupCount: number) {}

  /**
   * Starts the recovery of a group that has just been acquired; `groupCount` is the number of groups of the cell.
   *
   * @example
   * const group = Group.create({ group: 3, epoch: 2, scheduler, now }, 8)
   */
  static create (options: GroupOptions, groupCount: number): Group {
    return new Group(createGroupState(options), groupCount)
  }

  get number (): GroupNumber { return this.state.group }
  get epoch (): Epoch { return this.state.epoch }
  get ready (): boolean { return this.state.recovery.ready }
  get summary (): GroupSummary { return this.state.scheduler.summary(this.state.group, this.state.epoch, this.ready) }

  /** Returns what a team uses, including what it may still use on targets that are not listed yet; used for grants. */
  usage (team: string): ReturnType<GroupOptions['scheduler']['usage']> {
    return getClaimedUsage(this.state, team)
  }

  /** Applies one event and returns its effects in order. */
  apply (event: GroupEvent): readonly GroupEffect[] {
    this.handleEvent(event)
    return this.state.outbox.drain()
  }

  private handleEvent (event: GroupEvent): void {
    const { state } = this
    const { now } = event
    switch (event.type) {
      case 'tick': return this.tick(now)
      case 'loaded':
        applyLoadedRecords(state, now, event.result)
        commitTargets(state)
        return this.tick(now)
      case 'commit-settled': return handleCommitOutcome(state, now, event.commitId, event.outcome)
      case 'target-answered':
        handleTargetResponse(state, now, event.callId, event.result)
        return this.advanceSessions(now)
      case 'hosts-listed':
        applyHostList(state, now, event.targets)
        return this.advanceSessions(now)
      case 'configuration-applied': return this.applyConfiguration(now, event.configuration)
      case 'grant-changed': return changeGrant(state, now, event.team, event.amount)
      case 'submitted': return handleSubmission(state, event)
      case 'answer-received':
        return recordResponseReceived(state, now, event.work, event.nonce)
      case 'group-requested': return handleGroupRequest(state, event)
      default: return assertNever(event)
    }
  }

  private tick (now: number): void {
    const { state } = this
    requestRecords(state, now)
    this.advanceSessions(now)
    for (const task of state.tasks.values()) {
      if (task.phase === 'starting' && now >= task.nextStartAt) sendDelayedStart(state, now, task)
      if (task.stop !== undefined && now >= task.stop.nextAt) sendStop(state, now, task)
    }
    expireRequests(state, now)
    writeProgress(state, now)
    removeExpiredWork(state, now)
    applySchedulerEvent(state, { type: 'tick', now })
  }

  /** Handles targets whose lease has lapsed, renews the other leases and continues the recovery. */
  private advanceSessions (now: number): void {
    const { state } = this
    for (const session of [...state.sessions.values()]) {
      if (session.expireIfLapsed(now)) handleTargetLoss(state, now, session)
      if (!state.storedTargets.has(session.id)) continue
      const call = session.nextCall(now)
      if (call !== undefined) sendCall(state, session, call, { type: 'renewal', targetId: session.id, call })
    }
    const wasReady = state.recovery.ready
    continueRecovery(state, now)
    reapplyGrants(state, now)
    if (!wasReady && state.recovery.ready) reconcileServices(state, now, this.groupCount)
  }

  private applyConfiguration (now: number, configuration: Configuration): void {
    const { state } = this
    const previous = state.configuration
    state.configuration = configuration
    const { organisations, teams, profile, failureDomains } = configuration
    applySchedulerEvent(state, { type: 'teams-changed', now, organisations: [...organisations.values()], teams: [...teams.values()], profile })
    for (const name of new Set([...previous.failureDomains.keys(), ...failureDomains.keys()])) {
      const domainState = failureDomains.get(name)?.state ?? 'in'
      if ((previous.failureDomains.get(name)?.state ?? 'in') === domainState) continue
      applySchedulerEvent(state, { type: 'domain-changed', now, failureDomain: name, state: domainState })
    }
    for (const session of state.sessions.values()) {
      const { host } = session.target
      if (session.phase === 'adopted' && previous.drains.has(host) !== configuration.drains.has(host)) upsertTarget(state, now, session)
    }
    reconcileServices(state, now, this.groupCount)
  }
}
