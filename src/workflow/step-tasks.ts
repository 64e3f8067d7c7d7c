import { BitSet } from '../util/bit-set.ts'
import type { Task, TaskPhase } from './task.ts'

/** Creates the object of a task. */
export type TaskFactory = (index: number, phase: TaskPhase) => Task

/**
 * The tasks of a step, by index. A task has a lasting object only while something is known of it alone, so that a step with
 * thousands of tasks that wait or are done takes little memory.
 */
export class StepTasks {
  private readonly kept = new Map<number, Task>()
  private readonly done: BitSet
  private unstarted: number

  private constructor (private readonly size: number, private readonly createTask: TaskFactory) {
    this.done = BitSet.create(size)
    this.unstarted = size
  }

  /**
   * Creates the tasks of a step, all of which wait.
   *
   * @example
   * const tasks = StepTasks.create(10_000, (index, phase) => Task.create(step, index, phase))
   * for (const task of tasks.unfinished()) tasks.keep(task)
   */
  static create (size: number, createTask: TaskFactory): StepTasks {
    return new StepTasks(size, createTask)
  }

  /** Number of the tasks without an object that wait. Nothing has refused, held back or run any of them, as far as is known. */
  get unstartedCount (): number {
    return this.unstarted
  }

  /** The tasks of which something is known, in no particular order. All others wait, or are done. */
  known (): Iterable<Task> {
    return this.kept.values()
  }

  /** The tasks that are not done, by index. The object of one that was not kept before is forgotten unless it is kept now. */
  * unfinished (): Iterable<Task> {
    for (let index = 0; index < this.size; index++) {
      if (this.done.has(index)) continue
      yield this.kept.get(index) ?? this.createTask(index, 'waiting')
    }
  }

  /** Returns a task and keeps it; undefined if there is none with this index. */
  get (index: number): Task | undefined {
    const known = this.kept.get(index)
    if (known !== undefined) return known
    if (!Number.isInteger(index) || index < 0 || index >= this.size) return undefined
    const task = this.createTask(index, this.done.has(index) ? 'done' : 'waiting')
    this.keep(task)
    return task
  }

  /** Whether the task with this index is kept. */
  has (index: number): boolean {
    return this.kept.has(index)
  }

  /** Keeps a task, because something is known of it from now on. */
  keep (task: Task): void {
    if (this.kept.has(task.index)) return
    this.kept.set(task.index, task)
    if (!this.done.has(task.index)) this.unstarted -= 1
  }

  /** Forgets a task that waits as if it had never been known. */
  forget (task: Task): void {
    if (this.kept.delete(task.index)) this.unstarted += 1
  }

  /** Records that a task is done, and forgets it if nothing else is to be known of it. */
  finish (task: Task): void {
    this.finishAt(task.index)
    this.release(task)
  }

  /** Records that the task with this index is done. */
  finishAt (index: number): void {
    if (this.done.has(index)) return
    this.done.add(index)
    if (!this.kept.has(index)) this.unstarted -= 1
  }

  /** Records that all tasks are done. */
  finishAll (): void {
    for (let index = 0; index < this.size; index++) this.finishAt(index)
  }

  /** Forgets a task if it is done, has no runs, and has nothing that is stored. */
  release (task: Task): void {
    const { phase, runs, failures, crashes, concludedRun, index } = task
    if (phase === 'done' && runs.size === 0 && failures === 0 && crashes.isEmpty && concludedRun === undefined) this.kept.delete(index)
  }

  /** Formats the tasks that are done as a bit set in hexadecimal. */
  formatDone (): string {
    return this.done.toHexadecimal()
  }
}
