import type { History, ObservationOf } from './history.ts'

export type TaskStart = ObservationOf<'task-started'>

/** Called at each start with the tasks that are running then; the new task is the last. */
export type StartVisitor = (start: TaskStart, running: readonly TaskStart[]) => void

/**
 * Replays the history and calls `visit` at each start with the running tasks. A task runs from its start until its target
 * reports the end of the same attempt or dies.
 *
 * @example
 * visitStarts(history, (start, running) => console.log(start.taskId, running.length))
 */
export function visitStarts (history: History, visit: StartVisitor): void {
  const running = new Map<string, TaskStart>()
  for (const observation of history) {
    if (observation.type === 'task-started') {
      running.set(formatAttemptKey(observation), observation)
      visit(observation, [...running.values()])
    } else if (observation.type === 'task-ended') {
      running.delete(formatAttemptKey(observation))
    } else if (observation.type === 'target-died') {
      for (const [key, start] of running) {
        if (start.target === observation.target) running.delete(key)
      }
    }
  }
}

function formatAttemptKey (task: { readonly target: string, readonly taskId: string, readonly attempt: number }): string {
  return `${task.target} ${task.taskId} ${task.attempt}`
}
