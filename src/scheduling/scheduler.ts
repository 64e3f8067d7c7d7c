import type { TaskId, TeamName } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import type { Explanation, GroupOverview } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import { assertNever } from '../util/assert-never.ts'
import { explainTask, buildOverview, buildSummary, getTeamUsage } from './group-status.ts'
import { findRefusal } from './admission.ts'
import { SchedulerState } from './scheduler-state.ts'
import { shedLateRequests } from './deadlines.ts'
import type { SchedulerEffect } from './effect.ts'
import { handleUsageReport } from './estimates.ts'
import type { SchedulerEvent } from './event.ts'
import { DEFAULT_OPTIONS, type SchedulerOptions } from './options.ts'
import { placeWaitingTasks } from './placement.ts'
import { changeDomain, removeTarget, upsertTarget } from './target-events.ts'
import { changeGrant, configureTeams } from './team-events.ts'
import { tick } from './tick.ts'
import { cancelWork, confirmStart, handleTaskEnded, recoverTask, submitWork } from './work-events.ts'

/**
 * Scheduler of one group: decides which waiting task starts on which target, and which running task is preempted.
 * It is deterministic: time comes from the events, random numbers come from a seeded generator.
 *
 * @example
 * const scheduler = Scheduler.create({ seed: 7 })
 * const effects = scheduler.apply({ type: 'tick', now: 1000 })
 */
export class Scheduler {
  private constructor (private readonly state: SchedulerState, private readonly options: SchedulerOptions) {}

  static create (options: Partial<SchedulerOptions> = {}): Scheduler {
    const completeOptions = { ...DEFAULT_OPTIONS, ...options }
    return new Scheduler(SchedulerState.create(completeOptions), completeOptions)
  }

  /** Applies one event, then starts waiting work within the limit on placement attempts per event. */
  apply (event: SchedulerEvent): readonly SchedulerEffect[] {
    const { state } = this
    state.now = Math.max(state.now, event.now)
    state.effects = []
    this.handleEvent(event)
    shedLateRequests(state)
    placeWaitingTasks(state, event.type === 'tick' ? this.options.attemptsPerTick : this.options.attemptsPerEvent)
    return state.effects
  }

  private handleEvent (event: SchedulerEvent): void {
    const { state } = this
    switch (event.type) {
      case 'teams-changed': return configureTeams(state, event.organisations, event.teams, event.profile)
      case 'grant-changed': return changeGrant(state, event.team, event.amount)
      case 'target-upserted': return upsertTarget(state, event.target)
      case 'target-removed': return removeTarget(state, event.targetId)
      case 'domain-changed': return changeDomain(state, event.failureDomain, event.state === 'out')
      case 'usage-reported': return handleUsageReport(state, event.targetId, event.usage)
      case 'work-submitted': return submitWork(state, event.work, event.remaining)
      case 'task-recovered': return recoverTask(state, event.taskId, event.work, event.targetId, event.startedAt)
      case 'task-started': return confirmStart(state, event.taskId)
      case 'task-ended': return handleTaskEnded(state, event.taskId, event.targetId, event.completion, event.mustRunAgain)
      case 'work-cancelled': return cancelWork(state, event.work)
      case 'tick': return tick(state)
      default: return assertNever(event)
    }
  }

  /** Returns why the work would be refused now, without adding it; undefined when it would be accepted. */
  admission (work: Work): Refusal | undefined {
    return findRefusal(this.state, work, this.state.teams.byName.get(work.team))
  }

  /** Explains why a task waits, runs, was refused or has ended; undefined when it is unknown or its decisions were removed. */
  explain (taskId: TaskId): Explanation | undefined {
    return explainTask(this.state, taskId)
  }

  /** Returns the free capacity and the waiting tasks of the group, from which the group for new work is chosen. */
  summary (group: number, epoch: number, ready: boolean): GroupSummary {
    return buildSummary(this.state, group, epoch, ready)
  }

  /** Returns what the team uses in the group. */
  usage (team: TeamName): Resources {
    return getTeamUsage(this.state, team)
  }

  /** Returns the teams, targets and waiting tasks of the group. */
  overview (group: number): GroupOverview {
    return buildOverview(this.state, group)
  }
}
