import { findQueue, log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { isDue } from './jobs.ts'
import { getOpenTargets } from './open-targets.ts'
import { formatTaskWait } from './task-wait-fields.ts'
import { findTaskWait } from './task-wait.ts'
import type { TaskWait } from './task-wait.ts'
import type { StepRun, Task } from './task.ts'

/** Time between two passes over the tasks that last, in milliseconds. */
const CHECK_INTERVAL_MS = 250
/** A task without a run for a shorter time is not logged, in milliseconds. */
const MIN_LOGGED_WAIT_MS = 2_000
/** Time after which an unchanged reason is logged again, in milliseconds. */
const REPEAT_INTERVAL_MS = 2_000
/** A task that has had no run for this time takes precedence, in milliseconds. */
const MAX_PLACEMENT_WAIT_MS = 2_000
/** It does so only if there has been room for it for this time, in milliseconds: other work does not need that room. */
const MIN_ROOM_DURATION_MS = 1_500
/** Time between two starts of tasks that last in the reserve of a full pool, in milliseconds: other tasks may end meanwhile. */
const RESERVE_INTERVAL_MS = 500
/** Number of tasks that one pass logs; the others are counted. */
const MAX_LINES = 10

/** A task that lasts and has no run that its target confirms. */
type Waiting = {
  readonly task: Task
  /** When it was last known to run, or was first seen without a run, on the scheduler's clock. */
  readonly since: number
  wait: TaskWait
  /** What the last line about it told, and when it was written; undefined before the first line. */
  logged: { readonly reason: string, readonly at: number } | undefined
}

/** The tasks that last and have no run: since when, and why, which it logs. */
export class LastingTaskWaits {
  private waiting = new Map<Task, Waiting>()
  private overdueSteps: ReadonlySet<StepRun> = new Set()
  /** By step with a waiting task, since when there has been room for it, on the scheduler's clock. */
  private roomSince: ReadonlyMap<StepRun, number> = new Map()
  /** By pool, when such a task last started in the reserve for urgent tasks, on the scheduler's clock. */
  private readonly reserveUsedAt = new Map<string, number>()
  private checkAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that knows of no waiting task.
   *
   * @example
   * const lastingTasks = LastingTaskWaits.create()
   * lastingTasks.update(state)
   * lastingTasks.computeLongestWaitMs(state.now)
   */
  static create (): LastingTaskWaits {
    return new LastingTaskWaits()
  }

  /** Number of tasks that last and have no run, as of the last pass over them. */
  get count (): number {
    return this.waiting.size
  }

  /** The longest time for which one of them has had no run, in milliseconds. */
  computeLongestWaitMs (now: number): number {
    return [...this.waiting.values()].reduce((longest, { since }) => Math.max(longest, now - since), 0)
  }

  /** Whether a task of the step has waited too long although there is room, as of the last pass over these tasks. */
  isOverdue (step: StepRun): boolean {
    return this.overdueSteps.has(step)
  }

  /** Records that an overdue task has started in what is kept for urgent tasks in a full pool. */
  recordReserveUse (pool: string, now: number): void {
    this.reserveUsedAt.set(pool, now)
  }

  /** Whether another overdue task has just started in what is kept for urgent tasks. */
  wasReserveJustUsed (pool: string, now: number): boolean {
    return now - (this.reserveUsedAt.get(pool) ?? -Infinity) < RESERVE_INTERVAL_MS
  }

  /** Looks for tasks without a run and logs why, unless that was done a moment ago. */
  update (state: CellState): void {
    if (state.now < this.checkAt) return
    this.checkAt = state.now + CHECK_INTERVAL_MS
    this.waiting = new Map(findWaits(state).map(({ task, wait }) => [task, this.toWaiting(state, task, wait)]))
    this.updateOverdueSteps(state)
    this.write(state, [...this.waiting.values()].filter((entry) => isToBeLogged(entry, state.now)))
  }

  private updateOverdueSteps (state: CellState): void {
    const candidates = [...this.waiting.values()].filter(({ wait }) => mayStartSoon(wait))
    this.roomSince = this.findRoomSince(state, new Set(candidates.map(({ task }) => task.step)))
    const overdue = candidates.filter((entry) => this.isOverdueAt(entry, state.now))
    const steps = new Set(overdue.map(({ task }) => task.step))
    for (const step of steps) {
      // It may use more of each target from now on.
      if (!this.overdueSteps.has(step)) step.advice.fullSearchAt = state.now
    }
    this.overdueSteps = steps
  }

  private findRoomSince (state: CellState, steps: ReadonlySet<StepRun>): ReadonlyMap<StepRun, number> {
    const withRoom = [...steps].filter((step) => getOpenTargets(state, findQueue(state, step.job.definition)?.pool).hasLastingRoom(step))
    return new Map(withRoom.map((step) => [step, this.roomSince.get(step) ?? state.now]))
  }

  private isOverdueAt ({ task, since }: Waiting, now: number): boolean {
    const roomSince = this.roomSince.get(task.step) ?? now
    return now - since >= MAX_PLACEMENT_WAIT_MS && now - roomSince >= MIN_ROOM_DURATION_MS
  }

  private toWaiting (state: CellState, task: Task, wait: TaskWait): Waiting {
    const known = this.waiting.get(task)
    if (known === undefined) return { task, since: getLastRunTime(state, wait), wait, logged: undefined }
    known.wait = wait
    return known
  }

  /** Writes the lines of the tasks that have waited longest for one, and counts the others. */
  private write (state: CellState, entries: Waiting[]): void {
    entries.sort((left, right) => (left.logged?.at ?? left.since) - (right.logged?.at ?? right.since))
    for (const entry of entries.slice(0, MAX_LINES)) {
      entry.logged = { reason: formatKey(entry.wait), at: state.now }
      log(state, 'info', 'task-without-run', { withoutRunMs: Math.round(state.now - entry.since), ...formatTaskWait(state, entry.task, entry.wait) })
    }
    const leftOut = entries.slice(MAX_LINES)
    if (leftOut.length > 0) log(state, 'info', 'tasks-without-run-left-out', { tasks: leftOut.length, reasons: formatCounts(leftOut) })
  }
}

/** Finds the tasks that last, whose turn has come and that have no run. */
function findWaits (state: CellState): ReadonlyArray<Pick<Waiting, 'task' | 'wait'>> {
  const waits: Array<Pick<Waiting, 'task' | 'wait'>> = []
  for (const step of state.openSteps) {
    if (!isWanted(state, step)) continue
    for (const task of step.tasks) {
      const wait = findTaskWait(state, task)
      if (wait !== undefined) waits.push({ task, wait })
    }
  }
  return waits
}

function isWanted (state: CellState, step: StepRun): boolean {
  const { spec, job, occurrence } = step
  return spec.longRunning && job.active && step.ready && isDue(state, job.definition, occurrence)
}

/** A run on a target that does not answer was last known when that did. */
function getLastRunTime ({ now }: CellState, wait: TaskWait): number {
  return 'live' in wait ? Math.min(now, wait.live.target.lastHeardAt) : now
}

/**
 * Whether the task may start now, or as soon as a run of it has certainly ended: that of a silent target counts, so that the
 * first request after its loss takes precedence.
 */
function mayStartSoon ({ type }: TaskWait): boolean {
  return type !== 'earlier-runs' && type !== 'held-back'
}

function isToBeLogged ({ since, wait, logged }: Waiting, now: number): boolean {
  if (now - since < MIN_LOGGED_WAIT_MS) return false
  return logged === undefined || logged.reason !== formatKey(wait) || now - logged.at >= REPEAT_INTERVAL_MS
}

/** Formats what a line has told; another target is another reason. */
function formatKey (wait: TaskWait): string {
  return 'live' in wait ? `${wait.type} ${wait.live.target.id} ${wait.live.run}` : wait.type
}

/** Formats how many tasks have which reason. */
function formatCounts (entries: readonly Waiting[]): string {
  const counts = new Map<string, number>()
  for (const { wait: { type } } of entries) counts.set(type, (counts.get(type) ?? 0) + 1)
  return [...counts].map(([reason, count]) => `${reason}:${count}`).join(',')
}
