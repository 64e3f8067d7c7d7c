import { assertNever } from '../util/assert-never.ts'
import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import { settleCommit, writeProgress } from './progress.ts'
import { sendCall, sendStop } from './dispatch.ts'
import type { GroupEffect } from './effect.ts'
import type { GroupEvent } from './event.ts'
import { handleGroupRequest } from './group-requests.ts'
import { applyListedHosts, applyLoaded, commitTargets, continueLoading, continueRecovery, upsertTarget } from './recovery.ts'
import { expireRequests, forgetOldWork, noteAnswerReceived } from './retention.ts'
import { schedule } from './apply-scheduler-event.ts'
import { repeatStart } from './send-delayed-start.ts'
import { reconcileServices } from './services.ts'
import { changeGrant, claimedUsage, reapplyGrants } from './uncertain-usage.ts'
import { newGroupState, type GroupOptions, type GroupState } from './state.ts'
import { submit } from './submissions.ts'
import { answerTargetCall, loseTarget } from './target-responses.ts'

/**
 * The life of jobs and requests in one owned group: recovery after a change of owner, dispatch to targets, results and
 * their acknowledgement, deduplication of requests. Pure: effects are returned as data.
 */
export class Group {
  private constructor (private readonly state: GroupState, private readonly groups: number) {}

  /**
   * Starts the recovery of a group that has just been acquired; `groups` is the number of groups of the cell.
   *
   * @example
   * const group = Group.create({ group: 3, epoch: 2, scheduler, now }, 8)
   */
  static create (options: GroupOptions, groups: number): Group {
    return new Group(newGroupState(options), groups)
  }

  get number (): GroupNumber { return this.state.group }
  get epoch (): Epoch { return this.state.epoch }
  get ready (): boolean { return this.state.recovery.ready }
  get summary (): GroupSummary { return this.state.scheduler.summary(this.state.group, this.state.epoch, this.ready) }

  /** What a team uses or may use now, for the grants. */
  usage (team: string): ReturnType<GroupOptions['scheduler']['usage']> {
    return claimedUsage(this.state, team)
  }

  /** Handles one event and returns its effects in order. */
  apply (event: GroupEvent): readonly GroupEffect[] {
    this.handle(event)
    return this.state.outbox.drain()
  }

  private handle (event: GroupEvent): void {
    const { state } = this
    const { now } = event
    switch (event.type) {
      case 'tick': return this.tick(now)
      case 'loaded':
        applyLoaded(state, now, event.result)
        commitTargets(state)
        return this.tick(now)
      case 'commit-settled': return settleCommit(state, now, event.commitId, event.outcome)
      case 'target-answered':
        answerTargetCall(state, now, event.callId, event.result)
        return this.advance(now)
      case 'hosts-listed':
        applyListedHosts(state, now, event.targets)
        return this.advance(now)
      case 'configuration-applied': return this.configure(now, event.configuration)
      case 'grant-changed': return changeGrant(state, now, event.team, event.amount)
      case 'submitted': return submit(state, event)
      case 'answer-received':
        return noteAnswerReceived(state, now, event.work, event.nonce)
      case 'group-requested': return handleGroupRequest(state, event)
      default: return assertNever(event)
    }
  }

  private tick (now: number): void {
    const { state } = this
    continueLoading(state, now)
    this.advance(now)
    for (const task of state.tasks.values()) {
      if (task.phase === 'starting' && now >= task.nextStartAt) repeatStart(state, now, task)
      if (task.stop !== undefined && now >= task.stop.nextAt) sendStop(state, now, task)
    }
    expireRequests(state, now)
    writeProgress(state, now)
    forgetOldWork(state, now)
    schedule(state, { type: 'tick', now })
  }

  private advance (now: number): void {
    const { state } = this
    for (const session of [...state.sessions.values()]) {
      if (session.expire(now)) loseTarget(state, now, session)
      if (!state.storedTargets.has(session.id)) continue
      const call = session.nextCall(now)
      if (call !== undefined) sendCall(state, session, call, { type: 'renewal', targetId: session.id, call })
    }
    const wasReady = state.recovery.ready
    continueRecovery(state, now)
    reapplyGrants(state, now)
    if (!wasReady && state.recovery.ready) reconcileServices(state, now, this.groups)
  }

  private configure (now: number, configuration: Configuration): void {
    const { state } = this
    const before = state.configuration
    state.configuration = configuration
    const { organisations, teams, profile, failureDomains } = configuration
    schedule(state, { type: 'teams-changed', now, organisations: [...organisations.values()], teams: [...teams.values()], profile })
    for (const name of new Set([...before.failureDomains.keys(), ...failureDomains.keys()])) {
      const domainState = failureDomains.get(name)?.state ?? 'in'
      if ((before.failureDomains.get(name)?.state ?? 'in') === domainState) continue
      schedule(state, { type: 'domain-changed', now, failureDomain: name, state: domainState })
    }
    for (const session of state.sessions.values()) {
      const { host } = session.target
      if (session.phase === 'adopted' && before.drains.has(host) !== configuration.drains.has(host)) upsertTarget(state, now, session)
    }
    reconcileServices(state, now, this.groups)
  }
}
