import type { CellState } from '../cell-state.ts'
import { isUrgent } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import { hasStartableTask } from '../order/startable.ts'
import type { TargetState } from '../target-state.ts'
import type { Job, StepRun, Task } from '../task.ts'

/** What an urgent step waits for: the maximum of its organisation, or room on the targets that it may use. */
export type WaitCause = 'maximum' | 'no-room'

/** An urgent step that the last start pass left waiting. */
export type WaitingStep = { readonly step: StepRun, readonly cause: WaitCause, readonly waitedMs: number }

/** A run that was stopped, and the steps that may use its room before all that is not urgent. */
type Claim = { readonly live: LiveRun, readonly target: TargetState, readonly steps: readonly StepRun[], readonly cause: WaitCause, readonly stoppedAt: number, endedAt: number | undefined }

/** Room is looked for once a step has waited for this time, in milliseconds: much becomes free between two passes by itself. */
const MIN_WAIT_MS = 50
/** A step that no pass left waiting for this time waits no longer, in milliseconds. */
const WAIT_MEMORY_MS = 300
/** Time between two searches, in milliseconds: start passes run hundreds of times a second. */
const SEARCH_INTERVAL_MS = 100
/** Limits of the number of stops. */
const MAX_STOPS_AT_ONCE = 8
const MAX_STOPS_PER_S = 30
/** Ratio of a step's unfinished tasks that may be stopped at a time; one task always may. */
const MAX_STOPPED_RATIO = 0.25
const MS_PER_S = 1_000
/** Room is kept for what it was freed for at most this long after the stop, in milliseconds. */
const CLAIM_MS = 2_000
/** Time from a stop to its listed end that is expected first, and the limits of what is learned, in milliseconds. */
const STOP_MS = { first: 700, min: 200, max: 2_000 } as const
const STOP_SMOOTHING_FACTOR = 0.2

/**
 * What an owner remembers of urgent steps that wait and of the runs that it has stopped for them. A new owner begins without it:
 * it may stop a task once more, and room that was freed may be used by other work.
 */
export class Preemption {
  private readonly waits = new Map<StepRun, { cause: WaitCause, readonly since: number, lastAt: number }>()
  private readonly stoppedTasks = new WeakSet<Task>()
  private readonly stoppedTasksOfJobs = new WeakMap<Job, Task[]>()
  private claims: readonly Claim[] = []
  /** Targets and organisations of the claims: they are asked for with each look at a target. */
  private keptTargets: ReadonlySet<TargetState> = new Set()
  private keptOrganisations: ReadonlySet<string> = new Set()
  /** Steps that room is made for, and until when, on the scheduler's clock. */
  private readonly servedUntil = new Map<StepRun, number>()
  private searchedAt = -Infinity
  private allowance = { stops: MAX_STOPS_AT_ONCE, refilledAt: -Infinity }
  private expectedStopMs: number = STOP_MS.first

  private constructor () {}

  /**
   * Creates an object that knows of no waiting step.
   *
   * @example
   * const preemption = Preemption.create()
   * preemption.recordWait(state, step, 'maximum')
   * preemption.takeWaitingSteps(state.now)
   */
  static create (): Preemption {
    return new Preemption()
  }

  /** Time from a stop to its listed end, as learned from the last ones, in milliseconds. */
  get stopMs (): number {
    return this.expectedStopMs
  }

  /** Records that a start pass leaves tasks of a step waiting. Steps that are not urgent do not count. */
  recordWait (state: CellState, step: StepRun, cause: WaitCause): void {
    if (!state.options.features.preemption || !isUrgent(state, step.job.definition)) return
    const wait = this.waits.get(step)
    if (wait === undefined) {
      this.waits.set(step, { cause, since: state.now, lastAt: state.now })
      return
    }
    wait.cause = cause
    wait.lastAt = state.now
  }

  /**
   * Returns the steps that the last pass left waiting and that have waited long enough, in the order in which they began to; none
   * if the last search was just before.
   */
  takeWaitingSteps (now: number): readonly WaitingStep[] {
    const waiting: WaitingStep[] = []
    if (this.waits.size === 0 || now - this.searchedAt < SEARCH_INTERVAL_MS) return waiting
    for (const [step, { cause, since, lastAt }] of this.waits) {
      if (now - lastAt > WAIT_MEMORY_MS || !step.job.active) this.waits.delete(step)
      else if (lastAt === now && now - since >= MIN_WAIT_MS) waiting.push({ step, cause, waitedMs: now - since })
    }
    if (waiting.length > 0) this.searchedAt = now
    return waiting
  }

  /** Number of runs that may be stopped now. */
  getAllowedStops (now: number): number {
    const { stops, refilledAt } = this.allowance
    const refilled = refilledAt === -Infinity ? stops : stops + (now - refilledAt) * MAX_STOPS_PER_S / MS_PER_S
    this.allowance = { stops: Math.min(MAX_STOPS_AT_ONCE, refilled), refilledAt: now }
    return Math.floor(this.allowance.stops)
  }

  /** Whether the task was stopped before, so that it is not stopped again. */
  wasStopped (task: Task): boolean {
    return this.stoppedTasks.has(task)
  }

  /** Number of tasks of a step that may be stopped now: tasks of its job that were, and do not run again yet, count. */
  getAllowance ({ job, unfinishedTasks }: StepRun): number {
    const stopped = (this.stoppedTasksOfJobs.get(job) ?? []).filter(isAway).length
    return Math.max(1, Math.floor(unfinishedTasks * MAX_STOPPED_RATIO)) - stopped
  }

  /** Records that a run is stopped for the given steps. */
  recordStop (live: LiveRun, { steps, cause, now }: { readonly steps: readonly StepRun[], readonly cause: WaitCause, readonly now: number }): void {
    const { task, target } = live
    this.allowance.stops -= 1
    this.stoppedTasks.add(task)
    const stopped = (this.stoppedTasksOfJobs.get(task.step.job) ?? []).filter(isAway)
    this.stoppedTasksOfJobs.set(task.step.job, [...stopped, task])
    for (const step of steps) this.servedUntil.set(step, now + CLAIM_MS)
    this.setClaims([...this.claims, { live, target, steps, cause, stoppedAt: now, endedAt: undefined }])
  }

  /** Learns how long stops take, and gives up the claims that nothing waits for. */
  update (now: number): void {
    if (this.servedUntil.size === 0) return
    for (const claim of this.claims) {
      if (claim.endedAt !== undefined || claim.live.task.runs.has(claim.live)) continue
      claim.endedAt = now
      const stopMs = this.expectedStopMs + STOP_SMOOTHING_FACTOR * (now - claim.stoppedAt - this.expectedStopMs)
      this.expectedStopMs = Math.min(STOP_MS.max, Math.max(STOP_MS.min, stopMs))
    }
    for (const [step, until] of this.servedUntil) {
      if (until <= now) this.servedUntil.delete(step)
    }
    this.setClaims(this.claims.filter(({ steps, stoppedAt }) => now - stoppedAt < CLAIM_MS && steps.some((step) => step.job.active && hasStartableTask(step, now))))
  }

  /** Whether room is being made for the step, so that it will need its tickets. */
  isMakingRoomFor (step: StepRun): boolean {
    return this.servedUntil.has(step)
  }

  /** Whether the part of the maximum that a task of the step would use is kept for urgent steps. */
  keepsMaximumFrom (state: CellState, { job, spec }: StepRun): boolean {
    return this.keptOrganisations.has(job.definition.organisation) && !spec.longRunning && !isUrgent(state, job.definition)
  }

  /** Whether the room that a task of the step would use on the target is kept for urgent steps. */
  keepsTargetFrom (state: CellState, target: TargetState, { job }: StepRun): boolean {
    return this.keptTargets.has(target) && !isUrgent(state, job.definition)
  }

  private setClaims (claims: readonly Claim[]): void {
    this.claims = claims
    this.keptTargets = new Set(claims.filter(({ cause }) => cause === 'no-room').map(({ target }) => target))
    const ended = claims.filter(({ cause, endedAt }) => cause === 'maximum' && endedAt !== undefined)
    this.keptOrganisations = new Set(ended.map(({ live }) => live.task.step.job.definition.organisation))
  }
}

/** Whether a stopped task has not started again. */
function isAway ({ phase, runs }: Task): boolean {
  return phase !== 'done' && [...runs].every((live) => live.phase === 'stopping')
}
