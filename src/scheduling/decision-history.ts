import type { TaskId } from '../model/ids.ts'
import type { Explanation } from '../model/question.ts'
import type { Decision, Task } from './task.ts'

/** Ended tasks whose decisions are kept; older ones are forgotten, so that memory stays bounded. */
const KEPT_TASKS = 5000
const KEPT_DECISIONS = 6

/** Decisions about ended tasks and refused work, for questions that come afterwards. */
export class Journal {
  private readonly ended = new Map<TaskId, Explanation>()

  static create (): Journal {
    return new Journal()
  }

  /** Keeps the decisions about a task that is not booked any more. */
  keep (task: TaskId, decisions: readonly Decision[], reason: string, detail: string): void {
    this.ended.delete(task)
    this.ended.set(task, { task, state: 'ended', reason, detail, decisions })
    if (this.ended.size <= KEPT_TASKS) return
    const oldest = this.ended.keys().next().value
    if (oldest !== undefined) this.ended.delete(oldest)
  }

  find (task: TaskId): Explanation | undefined {
    return this.ended.get(task)
  }

  /** Decisions about earlier attempts of a task. */
  earlier (task: TaskId): readonly Decision[] {
    return this.ended.get(task)?.decisions ?? []
  }
}

/**
 * The decisions with one more, the oldest dropped when there are too many.
 *
 * @example
 * withDecision(task.decisions, { at: now, decision: 'started', detail: 'on t1' })
 */
export function withDecision (decisions: readonly Decision[], next: Decision): readonly Decision[] {
  return [...decisions.slice(1 - KEPT_DECISIONS), next]
}

/**
 * Records a decision about a booked task.
 *
 * @example
 * record(task, now, 'stopped', 'makes room for urgent work')
 */
export function record (task: Task, at: number, decision: string, detail: string): void {
  (task as { decisions: readonly Decision[] }).decisions = withDecision(task.decisions, { at, decision, detail })
}
