import { findQueue, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { computeLateness, computeObjectiveMs } from '../order/step-rank.ts'
import type { Lateness } from '../order/step-rank.ts'
import type { StepRun } from '../task.ts'

const UPDATE_INTERVAL_MS = 200
/** Time for which a backlog counts after its last late step has gone, in milliseconds, so that the order does not alternate. */
const BACKLOG_END_MS = 1_000

/** Waiting steps of one organisation and priority that can still end on time. Times are on the scheduler's clock. */
type Backlog = {
  /** When the oldest and the newest of their jobs were accepted. */
  oldestAt: number
  newestAt: number
  /** When a step of the backlog last had waited longer than its objective allows; `-Infinity`: never. */
  lateAt: number
}

/**
 * Organisations of which work of a priority waits longer than its objective allows. In the order of their ages each of their
 * steps would start just too late. The newest of those that can still end on time go first instead.
 */
export class LastingBacklogs {
  private byOrganisation = new Map<string, Map<number, Backlog>>()
  private updateAt = -Infinity
  private counted = 0

  private constructor (private readonly enabled: boolean) {}

  static create (enabled: boolean): LastingBacklogs {
    return new LastingBacklogs(enabled)
  }

  /** Finds the backlogs, unless that was done a moment ago. */
  update (state: CellState): void {
    if (!this.enabled || state.now < this.updateAt) return
    this.updateAt = state.now + UPDATE_INTERVAL_MS
    const found = new Map<string, Map<number, Backlog>>()
    for (const step of state.openSteps) this.add(state, found, step)
    for (const [organisation, backlogs] of found) {
      for (const [priority, backlog] of backlogs) {
        if (state.now - backlog.lateAt >= BACKLOG_END_MS) backlogs.delete(priority)
        // None of them can end on time; later ones are ordered among themselves.
        if (backlog.oldestAt > backlog.newestAt) backlog.oldestAt = backlog.newestAt = state.now
      }
      if (backlogs.size === 0) found.delete(organisation)
    }
    this.byOrganisation = found
    if ((found.size > 0) !== (this.counted > 0)) log(state, 'info', found.size > 0 ? 'newest-first' : 'newest-first-ended', { organisations: [...found.keys()].slice(0, 10).join(',') })
    this.counted = found.size
  }

  /** Whether the newest jobs of the organisation go first among those of a priority. */
  has (organisation: string, priority: number): boolean {
    return this.byOrganisation.get(organisation)?.has(priority) === true
  }

  /**
   * Time by which a step is ordered among those of the same rank. In a backlog, that of a step that can still end on time is
   * mirrored between the oldest and the newest of them, so that other organisations with the same usage are not put off.
   */
  getOrderTime ({ job }: StepRun, priority: number, lateness: Lateness): number {
    if (this.byOrganisation.size === 0 || lateness !== 0 || job.phase !== 'queued') return job.acceptedAt
    const backlog = this.byOrganisation.get(job.definition.organisation)?.get(priority)
    return backlog === undefined ? job.acceptedAt : backlog.oldestAt + backlog.newestAt - job.acceptedAt
  }

  private add (state: CellState, found: Map<string, Map<number, Backlog>>, step: StepRun): void {
    const { job, spec } = step
    if (job.phase !== 'queued' || spec.longRunning || step.waitingTasks === 0 || !step.ready) return
    const queue = findQueue(state, job.definition)
    const lateness = computeLateness(state, step, queue)
    if (queue === undefined || lateness === 2) return
    const { organisation } = job.definition
    const backlogs = found.get(organisation) ?? new Map<number, Backlog>()
    found.set(organisation, backlogs)
    const backlog = backlogs.get(queue.priority) ?? { oldestAt: Infinity, newestAt: -Infinity, lateAt: this.byOrganisation.get(organisation)?.get(queue.priority)?.lateAt ?? -Infinity }
    backlogs.set(queue.priority, backlog)
    if (lateness === 0) {
      backlog.oldestAt = Math.min(backlog.oldestAt, job.acceptedAt)
      backlog.newestAt = Math.max(backlog.newestAt, job.acceptedAt)
    } else if (couldEndOnTime(step, computeObjectiveMs(queue, job))) {
      backlog.lateAt = state.now
    }
  }
}

/** Whether the step would end on time without any wait; others are late whatever waits. */
function couldEndOnTime ({ job, stepNumber }: StepRun, objectiveMs: number): boolean {
  return job.expectedChainsMs[stepNumber]! <= objectiveMs
}
