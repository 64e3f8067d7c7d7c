import { parseTaskIndex } from '../../src/model/ids.ts'
import type { History } from '../history.ts'
import { visitStarts, type TaskStart } from '../occupancy.ts'
import type { Violation } from '../violation.ts'

/** Guarantee 2: two targets, or two attempts on one target, never run the same task at the same time. */
export function checkSingleExecution (history: History): readonly Violation[] {
  const violations: Violation[] = []
  visitStarts(history, (start, running) => {
    const same = running.filter((task) => isSameTask(task, start))
    if (same.length < 2) return
    const places = same.map((task) => `${task.target} (${task.taskId} attempt ${task.attempt})`)
    violations.push({ guarantee: 2, detail: `task ${parseTaskIndex(start.taskId)} of ${start.token} runs on ${places.join(' and ')}`, evidence: same })
  })
  return violations
}

/** Compares the caller's token as well, because a scheduler that runs a request twice may give it two task ids. */
function isSameTask (left: TaskStart, right: TaskStart): boolean {
  return left.taskId === right.taskId || (left.token === right.token && parseTaskIndex(left.taskId) === parseTaskIndex(right.taskId))
}
