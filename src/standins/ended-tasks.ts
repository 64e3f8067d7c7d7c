import type { GroupNumber, TaskId } from '../model/ids.ts'
import type { EndedTask, TaskAttempt } from '../model/work.ts'

type StoredResult = { readonly group: GroupNumber, readonly sequence: number, readonly ended: EndedTask }

/** Time after the acknowledgement of a result within which a repeated start is still detected as a duplicate. */
const DUPLICATE_DETECTION_MS = 120_000

/**
 * Stores the results of a target until they are acknowledged. It keeps the newest attempt of each task for some time
 * after that, so that a late copy of a start does not run the task a second time.
 */
export class EndedTasks {
  private readonly results = new Map<string, StoredResult>()
  private readonly newestAttempt = new Map<TaskId, number>()
  private readonly acknowledgedAt = new Map<TaskId, number>()
  private sequence = 0

  private constructor () {}

  static create (): EndedTasks {
    return new EndedTasks()
  }

  /** Sequence number of the newest result. */
  get lastSequence (): number {
    return this.sequence
  }

  /** Whether this attempt or a later one was already started. */
  hasStarted (taskId: TaskId, attempt: number): boolean {
    return (this.newestAttempt.get(taskId) ?? -1) >= attempt
  }

  recordStart (taskId: TaskId, attempt: number): void {
    this.newestAttempt.set(taskId, attempt)
    this.acknowledgedAt.delete(taskId)
  }

  add (group: GroupNumber, ended: EndedTask): void {
    this.sequence += 1
    this.results.set(`${ended.taskId}#${ended.attempt}`, { group, sequence: this.sequence, ended })
  }

  /** Results of the group with a sequence number above `after`, oldest first. */
  findAfter (group: GroupNumber, after: number): EndedTask[] {
    const found: EndedTask[] = []
    for (const result of this.results.values()) {
      if (result.group === group && result.sequence > after) found.push(result.ended)
    }
    return found
  }

  acknowledge (now: number, attempts: readonly TaskAttempt[]): void {
    for (const { taskId, attempt } of attempts) {
      if (!this.results.delete(`${taskId}#${attempt}`)) continue
      const isNewest = this.newestAttempt.get(taskId) === attempt
      if (isNewest && !this.acknowledgedAt.has(taskId)) this.acknowledgedAt.set(taskId, now)
    }
    this.removeExpired(now)
  }

  private removeExpired (now: number): void {
    for (const [taskId, at] of this.acknowledgedAt) {
      if (at + DUPLICATE_DETECTION_MS > now) return
      this.acknowledgedAt.delete(taskId)
      this.newestAttempt.delete(taskId)
    }
  }
}
