import type { TaskId, TeamName } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import type { Explanation, GroupOverview } from '../model/question.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import { assertNever } from '../util/assert-never.ts'
import { explainTask, overviewOf, summarise, usageOf } from './group-status.ts'
import { refusalOf } from './admission.ts'
import { Cell } from './scheduler-state.ts'
import { shedLate } from './deadlines.ts'
import type { SchedulerEffect } from './effect.ts'
import { noteUsage } from './estimates.ts'
import type { SchedulerEvent } from './event.ts'
import { DEFAULT_OPTIONS, type SchedulerOptions } from './options.ts'
import { placeWaiting } from './placement.ts'
import { changeDomain, removeTarget, upsertTarget } from './target-events.ts'
import { changeGrant, configureTeams } from './team-events.ts'
import { tick } from './tick.ts'
import { cancelWork, confirmStart, endTask, recoverTask, submitWork } from './work-events.ts'

/**
 * Scheduler of one group: decides which waiting task starts on which target, and which running task yields.
 * It is pure: time comes from the events, random numbers from a seeded generator.
 *
 * @example
 * const scheduler = Scheduler.create({ seed: 7 })
 * const effects = scheduler.apply({ type: 'tick', now: 1000 })
 */
export class Scheduler {
  private constructor (private readonly cell: Cell, private readonly options: SchedulerOptions) {}

  static create (options: Partial<SchedulerOptions> = {}): Scheduler {
    const complete = { ...DEFAULT_OPTIONS, ...options }
    return new Scheduler(Cell.create(complete), complete)
  }

  /** Applies one event and starts waiting work as far as the bound on the work of one event allows. */
  apply (event: SchedulerEvent): readonly SchedulerEffect[] {
    const { cell } = this
    cell.now = Math.max(cell.now, event.now)
    cell.effects = []
    this.change(event)
    shedLate(cell)
    placeWaiting(cell, event.type === 'tick' ? this.options.attemptsPerTick : this.options.attemptsPerEvent)
    return cell.effects
  }

  private change (event: SchedulerEvent): void {
    const { cell } = this
    switch (event.type) {
      case 'teams-changed': return configureTeams(cell, event.organisations, event.teams, event.profile)
      case 'grant-changed': return changeGrant(cell, event.team, event.amount)
      case 'target-upserted': return upsertTarget(cell, event.target)
      case 'target-removed': return removeTarget(cell, event.targetId)
      case 'domain-changed': return changeDomain(cell, event.failureDomain, event.state === 'out')
      case 'usage-reported': return noteUsage(cell, event.targetId, event.usage)
      case 'work-submitted': return submitWork(cell, event.work, event.remaining)
      case 'task-recovered': return recoverTask(cell, event.taskId, event.work, event.targetId, event.startedAt)
      case 'task-started': return confirmStart(cell, event.taskId)
      case 'task-ended': return endTask(cell, event.taskId, event.targetId, event.end, event.again)
      case 'work-cancelled': return cancelWork(cell, event.work)
      case 'tick': return tick(cell)
      default: return assertNever(event)
    }
  }

  /** Why the work would be refused now, without adding it; undefined when it may wait. */
  admission (work: Work): Refusal | undefined {
    return refusalOf(this.cell, work, this.cell.teams.teams.get(work.team))
  }

  /** Why a task waits, runs, was refused or has ended; undefined when it is unknown or long ended. */
  explain (taskId: TaskId): Explanation | undefined {
    return explainTask(this.cell, taskId)
  }

  /** What the group can still take, for the choice of a group for new work. */
  summary (group: number, epoch: number, ready: boolean): GroupSummary {
    return summarise(this.cell, group, epoch, ready)
  }

  /** What the team has booked in the group. */
  usage (team: TeamName): Resources {
    return usageOf(this.cell, team)
  }

  /** Teams, targets and waiting work of the group. */
  overview (group: number): GroupOverview {
    return overviewOf(this.cell, group)
  }
}
