import { BitSet } from '../util/bit-set.ts'
import type { Step } from './job.ts'
import { StepOrder } from './step-order.ts'
import type { StepRun } from './task.ts'

/** Creates the object of a step. */
export type StepFactory = (siblings: OccurrenceSteps, number: number, spec: Step) => StepRun

/** Number of steps that wait and have objects, and of those among them that may start, above which no further step gets one. */
export const MAX_OPENED_STEPS = 100

/**
 * The steps of one occurrence of a job, by number. A step has an object from when it may start soon until it has ended, so that
 * a job of thousands of steps takes little memory.
 */
export class OccurrenceSteps {
  private readonly opened = new Map<number, StepRun>()
  private readonly done: BitSet
  private doneCount = 0
  private unfinished: number
  /** Number of steps that have had no object and have not ended. */
  private untouched: number
  /** All steps below this number are opened or done. */
  private nextNumber = 0
  /** Undefined for few steps, which all get objects at once. */
  private readonly order: StepOrder | undefined

  private constructor (private readonly specs: readonly Step[], private readonly createStep: StepFactory) {
    this.done = BitSet.create(specs.length)
    this.untouched = specs.length
    this.unfinished = specs.reduce((sum, { count }) => sum + count, 0)
    if (specs.length > MAX_OPENED_STEPS) this.order = StepOrder.create(specs)
  }

  /**
   * Creates the steps of an occurrence, none of which has an object.
   *
   * @example
   * const steps = OccurrenceSteps.create(definition.steps, (siblings, number, spec) => StepRun.create(job, 0, siblings, number, spec))
   * for (const step of steps.openFurther()) state.openSteps.add(step)
   */
  static create (specs: readonly Step[], createStep: StepFactory): OccurrenceSteps {
    return new OccurrenceSteps(specs, createStep)
  }

  /** Number of tasks of all steps that have not ended. */
  get unfinishedTasks (): number {
    return this.unfinished
  }

  get areDone (): boolean {
    return this.doneCount === this.specs.length
  }

  /** Whether no step has an object. */
  get isEmpty (): boolean {
    return this.opened.size === 0
  }

  /** The steps that have objects, in no particular order. */
  known (): Iterable<StepRun> {
    return this.opened.values()
  }

  /** Returns a step if it has an object. */
  find (number: number): StepRun | undefined {
    return this.opened.get(number)
  }

  /** Returns a step and gives it an object; undefined if there is none with this number. */
  open (number: number): StepRun | undefined {
    const known = this.opened.get(number)
    const spec = this.specs[number]
    if (known !== undefined || spec === undefined) return known
    const step = this.createStep(this, number, spec)
    if (this.done.has(number)) step.restoreDone()
    else this.untouched -= 1
    this.opened.set(number, step)
    return step
  }

  /** Whether a step has ended; one that does not exist has. */
  isDone (number: number): boolean {
    return this.specs[number] === undefined || this.done.has(number)
  }

  /** Whether all predecessors of a step have ended. */
  isReady (number: number): boolean {
    return this.order?.isReady(number) ?? this.specs[number]!.after.every((earlier) => this.isDone(earlier))
  }

  /** Gives objects to the steps that may start or are next, as long as few that have one wait. Returns the new ones. */
  openFurther (): readonly StepRun[] {
    if (this.untouched === 0) return []
    const steps: StepRun[] = []
    let { waiting, ready } = this.countWaiting()
    while (ready < MAX_OPENED_STEPS) {
      const number = this.order?.takeReady()
      if (number === undefined) break
      if (this.addOpened(number, steps)) {
        ready += 1
        waiting += 1
      }
    }
    for (; waiting < MAX_OPENED_STEPS && this.nextNumber < this.specs.length; this.nextNumber += 1) {
      if (this.addOpened(this.nextNumber, steps)) waiting += 1
    }
    return steps
  }

  /** Records that a task has ended. */
  recordTaskDone (): void {
    this.unfinished -= 1
  }

  /** Records that all tasks of a step have ended. */
  recordDone (number: number): void {
    if (this.done.has(number)) return
    this.done.add(number)
    this.doneCount += 1
    this.order?.recordDone(number)
  }

  /** Records that all tasks of a step without an object had ended before. */
  restoreDone (number: number): void {
    if (this.done.has(number)) return
    this.unfinished -= this.specs[number]!.count
    this.untouched -= 1
    this.recordDone(number)
  }

  /** Forgets the object of a step that has ended, unless something is to be known of its tasks. */
  release (step: StepRun): void {
    if (step.done && step.isForgettable) this.opened.delete(step.stepNumber)
  }

  /** What is known of the steps, by number, up to the last one of which anything is. */
  * listKnown (): Iterable<StepRun | 'done' | 'waiting'> {
    const last = this.findLastKnown()
    for (let number = 0; number <= last; number++) yield this.opened.get(number) ?? (this.done.has(number) ? 'done' : 'waiting')
  }

  private findLastKnown (): number {
    let last = this.specs.length - 1
    while (last >= 0 && !this.opened.has(last) && !this.done.has(last)) last -= 1
    return last
  }

  /** Opens a step unless it is opened or done; returns whether it did. */
  private addOpened (number: number, steps: StepRun[]): boolean {
    if (this.opened.has(number) || this.done.has(number)) return false
    steps.push(this.open(number)!)
    return true
  }

  private countWaiting (): { waiting: number, ready: number } {
    let waiting = 0
    let ready = 0
    for (const step of this.opened.values()) {
      if (step.waitingTasks === 0) continue
      waiting += 1
      if (step.ready) ready += 1
    }
    return { waiting, ready }
  }
}
