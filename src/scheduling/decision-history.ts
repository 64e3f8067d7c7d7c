import type { TaskId } from '../model/ids.ts'
import type { Explanation } from '../model/group-request.ts'
import type { Decision, Task } from './task.ts'

/** Maximum number of ended tasks whose decisions are kept; the oldest are removed, which bounds the memory. */
const MAX_ENDED_TASKS = 5000
const MAX_DECISIONS_PER_TASK = 6

/** Decisions about ended tasks and refused work, for requests that ask for an explanation afterwards. */
export class DecisionHistory {
  private readonly ended = new Map<TaskId, Explanation>()

  static create (): DecisionHistory {
    return new DecisionHistory()
  }

  /** Records the decisions about a task that is no longer booked. */
  recordEnded (task: TaskId, decisions: readonly Decision[], reason: string, detail: string): void {
    this.ended.delete(task)
    this.ended.set(task, { task, state: 'ended', reason, detail, decisions })
    if (this.ended.size <= MAX_ENDED_TASKS) return
    const oldest = this.ended.keys().next().value
    if (oldest !== undefined) this.ended.delete(oldest)
  }

  find (task: TaskId): Explanation | undefined {
    return this.ended.get(task)
  }

  /** Returns the decisions about earlier attempts of a task. */
  getEarlierDecisions (task: TaskId): readonly Decision[] {
    return this.ended.get(task)?.decisions ?? []
  }
}

/**
 * Returns the decisions with one more; removes the oldest when there are too many.
 *
 * @example
 * appendDecision(task.decisions, { at: now, decision: 'started', detail: 'on t1' })
 */
export function appendDecision (decisions: readonly Decision[], next: Decision): readonly Decision[] {
  return [...decisions.slice(1 - MAX_DECISIONS_PER_TASK), next]
}

/**
 * Records a decision about a booked task.
 *
 * @example
 * recordDecision(task, now, 'stopped', 'frees capacity for urgent work')
 */
export function recordDecision (task: Task, at: number, decision: string, detail: string): void {
  (task as { decisions: readonly Decision[] }).decisions = appendDecision(task.decisions, { at, decision, detail })
}
