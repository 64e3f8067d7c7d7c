import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { WaitingTask } from '../waits/lasting-task-waits.ts'
import { getOpenTargets } from '../room/open-targets.ts'
import type { StepRun, Task } from '../task.ts'

/** A task that lasts and has had no run for this time takes precedence, in milliseconds. */
const MAX_WAIT_MS = 2_000
/** It does so only if there has been room for it for this time, in milliseconds: other work does not need that room. */
const MIN_ROOM_DURATION_MS = 1_500
/** A task that lasts and has had no run for this time does not wait for others of its kind, in milliseconds. */
const PRESSING_WAIT_MS = 5_000
/** One that a new owner found without a run had none for some time before. */
const PRESSING_WAIT_AFTER_TAKEOVER_MS = 3_500
/** Time between two starts of tasks that last in the reserve of a full pool, in milliseconds: other tasks may end meanwhile. */
const RESERVE_INTERVAL_MS = 500

/**
 * The steps with a task that lasts and has had no run for too long although there is room. They may use what is kept for
 * urgent tasks, and their requests to the advisor go before all others.
 */
export class LastingPrecedence {
  private overdueSteps: ReadonlySet<StepRun> = new Set()
  private pressingSteps: ReadonlySet<StepRun> = new Set()
  /** Tasks that have waited until the runs of previous owners were known, and have had no run since. */
  private foundWithoutRun: ReadonlySet<Task> = new Set()
  /** Overdue steps with a task that waits until the runs of previous owners are known. */
  private awaitingSteps: ReadonlySet<StepRun> = new Set()
  /** By step with a waiting task, since when there has been room for it, on the scheduler's clock. */
  private roomSince: ReadonlyMap<StepRun, number> = new Map()
  /** By pool, when such a task last started in what is kept for urgent tasks, on the scheduler's clock. */
  private readonly reserveUsedAt = new Map<string, number>()

  private constructor () {}

  /**
   * Creates an object without overdue steps.
   *
   * @example
   * const precedence = LastingPrecedence.create()
   * precedence.update(state, [{ task, since, wait }])
   * precedence.isOverdue(task.step)
   */
  static create (): LastingPrecedence {
    return new LastingPrecedence()
  }

  /** Whether a task of the step has waited too long although there is room, as of the last update. */
  isOverdue (step: StepRun): boolean {
    return this.overdueSteps.has(step)
  }

  /** Whether it has waited so long that the time between two such starts or requests does not count. */
  isPressing (step: StepRun): boolean {
    return this.pressingSteps.has(step)
  }

  /** Overdue steps that cannot start before the runs of previous owners are known, and need tickets as soon as they are. */
  get awaiting (): Iterable<StepRun> {
    return this.awaitingSteps
  }

  /** Whether the step is among these. */
  isAwaiting (step: StepRun): boolean {
    return this.awaitingSteps.has(step)
  }

  /** Records that a task of an overdue step has started in what is kept for urgent tasks in a full pool. */
  recordReserveUse (pool: string, now: number): void {
    this.reserveUsedAt.set(pool, now)
  }

  /** Whether a task of an overdue step has just started in what is kept for urgent tasks. */
  wasReserveJustUsed (pool: string, now: number): boolean {
    return now - (this.reserveUsedAt.get(pool) ?? -Infinity) < RESERVE_INTERVAL_MS
  }

  /**
   * Finds the overdue steps among those of all tasks that last and wait. Whatever they wait for counts: they take precedence
   * as soon as it ends.
   */
  update (state: CellState, waiting: readonly WaitingTask[]): void {
    this.roomSince = this.findRoomSince(state, toSteps(waiting))
    const overdue = waiting.filter((entry) => this.isOverdueTask(entry, state.now))
    const steps = toSteps(overdue)
    for (const step of steps) {
      // It may use more of each target from now on.
      if (!this.overdueSteps.has(step)) step.advice.fullSearchAt = state.now
    }
    this.overdueSteps = steps
    this.foundWithoutRun = new Set(waiting.filter((entry) => awaitsEarlierRuns(entry) || this.foundWithoutRun.has(entry.task)).map(({ task }) => task))
    this.pressingSteps = toSteps(overdue.filter((entry) => this.isPressingTask(entry, state.now)))
    this.awaitingSteps = toSteps(overdue.filter(awaitsEarlierRuns))
  }

  private findRoomSince (state: CellState, steps: ReadonlySet<StepRun>): ReadonlyMap<StepRun, number> {
    const withRoom = [...steps].filter((step) => getOpenTargets(state, findQueue(state, step.job.definition)?.pool).hasLastingRoom(step))
    return new Map(withRoom.map((step) => [step, this.roomSince.get(step) ?? state.now]))
  }

  private isOverdueTask ({ task, since }: WaitingTask, now: number): boolean {
    const roomSince = this.roomSince.get(task.step) ?? now
    return now - since >= MAX_WAIT_MS && now - roomSince >= MIN_ROOM_DURATION_MS
  }

  private isPressingTask ({ task, since }: WaitingTask, now: number): boolean {
    return now - since >= (this.foundWithoutRun.has(task) ? PRESSING_WAIT_AFTER_TAKEOVER_MS : PRESSING_WAIT_MS)
  }
}

function awaitsEarlierRuns ({ wait }: WaitingTask): boolean {
  return wait.type === 'earlier-runs' || wait.type === 'held-back'
}

function toSteps (waiting: readonly WaitingTask[]): ReadonlySet<StepRun> {
  return new Set(waiting.map(({ task }) => task.step))
}
