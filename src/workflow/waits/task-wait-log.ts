import { log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { WaitingTask } from './lasting-task-waits.ts'
import { formatTaskWait } from './task-wait-fields.ts'
import type { TaskWait } from './task-wait.ts'
import type { Task } from '../task.ts'

/** A task without a run for a shorter time is not logged, in milliseconds. */
const MIN_LOGGED_WAIT_MS = 2_000
/** Time after which an unchanged reason is logged again, in milliseconds. */
const REPEAT_INTERVAL_MS = 2_000
/** Number of tasks that one call logs; the others are counted. */
const MAX_LINES = 10

/** What the last line about a task told, and when it was written. */
type LoggedWait = { readonly reason: string, readonly at: number }

/** Logs why tasks that last have no run: when the reason changes, and again while it lasts. */
export class TaskWaitLog {
  private logged: ReadonlyMap<Task, LoggedWait> = new Map()

  private constructor () {}

  /**
   * Creates a log that has not written anything.
   *
   * @example
   * const taskWaitLog = TaskWaitLog.create()
   * taskWaitLog.write(state, [{ task, since, wait }])
   */
  static create (): TaskWaitLog {
    return new TaskWaitLog()
  }

  /** Logs those of all waiting tasks that are due; first those that have waited longest for a line. */
  write (state: CellState, waiting: readonly WaitingTask[]): void {
    const getLoggedAt = ({ task, since }: WaitingTask): number => this.logged.get(task)?.at ?? since
    const due = waiting.filter((entry) => this.isDue(entry, state.now)).sort((left, right) => getLoggedAt(left) - getLoggedAt(right))
    const written = due.slice(0, MAX_LINES)
    for (const { task, since, wait } of written) log(state, 'info', 'task-without-run', { withoutRunMs: Math.round(state.now - since), ...formatTaskWait(state, task, wait) })
    const leftOut = due.slice(MAX_LINES)
    if (leftOut.length > 0) log(state, 'info', 'tasks-without-run-left-out', { tasks: leftOut.length, reasons: formatCounts(leftOut) })
    this.remember(waiting, written, state.now)
  }

  private isDue ({ task, since, wait }: WaitingTask, now: number): boolean {
    if (now - since < MIN_LOGGED_WAIT_MS) return false
    const logged = this.logged.get(task)
    return logged === undefined || logged.reason !== formatKey(wait) || now - logged.at >= REPEAT_INTERVAL_MS
  }

  /** Forgets the tasks that wait no more. */
  private remember (waiting: readonly WaitingTask[], written: readonly WaitingTask[], now: number): void {
    const kept = waiting.flatMap(({ task }) => this.logged.has(task) ? [[task, this.logged.get(task)!] as const] : [])
    this.logged = new Map([...kept, ...written.map(({ task, wait }) => [task, { reason: formatKey(wait), at: now }] as const)])
  }
}

/** Formats what a line tells; another target is another reason. */
function formatKey (wait: TaskWait): string {
  return 'live' in wait ? `${wait.type} ${wait.live.target.id} ${wait.live.run}` : wait.type
}

/** Formats how many tasks have which reason. */
function formatCounts (waiting: readonly WaitingTask[]): string {
  const counts = new Map<string, number>()
  for (const { wait: { type } } of waiting) counts.set(type, (counts.get(type) ?? 0) + 1)
  return [...counts].map(([reason, count]) => `${reason}:${count}`).join(',')
}
