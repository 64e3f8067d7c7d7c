import type { Step } from './job.ts'

/**
 * Finds the steps of an occurrence whose predecessors have ended, as these end. It takes a few bytes for each step and each
 * predecessor, and each end costs as much as the step has successors.
 */
export class StepOrder {
  /** Position in `successors` of the first successor of each step, and behind that of the last step. */
  private readonly offsets: Int32Array
  private readonly successors: Int32Array
  /** Number of predecessors of each step that have not ended. */
  private readonly pending: Int32Array
  private readonly ready: number[] = []

  private constructor (private readonly steps: readonly Step[]) {
    const edges = steps.flatMap(({ after }, number) => after.filter((earlier) => this.isStep(earlier)).map((earlier) => ({ earlier, number })))
    this.pending = new Int32Array(steps.length)
    this.offsets = new Int32Array(steps.length + 1)
    this.successors = new Int32Array(edges.length)
    for (const { earlier, number } of edges) {
      this.pending[number]! += 1
      this.offsets[earlier + 1]! += 1
    }
    for (let number = 0; number < steps.length; number++) this.offsets[number + 1]! += this.offsets[number]!
    const next = this.offsets.slice()
    for (const { earlier, number } of edges) this.successors[next[earlier]!++] = number
    this.pending.forEach((count, number) => { if (count === 0) this.ready.push(number) })
  }

  /**
   * Creates the order of the steps of a job, none of which has ended.
   *
   * @example
   * const order = StepOrder.create(definition.steps)
   * order.recordDone(0)
   * order.takeReady() // the number of a step that may start
   */
  static create (steps: readonly Step[]): StepOrder {
    return new StepOrder(steps)
  }

  /** Records that a step has ended; to be called once for each. */
  recordDone (number: number): void {
    for (let position = this.offsets[number]!; position < this.offsets[number + 1]!; position++) {
      const successor = this.successors[position]!
      this.pending[successor]! -= 1
      if (this.pending[successor] === 0) this.ready.push(successor)
    }
  }

  /** Whether all predecessors of a step have ended. */
  isReady (number: number): boolean {
    return this.pending[number] === 0
  }

  /** Returns a step whose predecessors have ended, each one once; undefined if there is none. */
  takeReady (): number | undefined {
    return this.ready.shift()
  }

  /** A record may name predecessors that do not exist; nothing waits for them. */
  private isStep (number: number): boolean {
    return Number.isInteger(number) && number >= 0 && number < this.steps.length
  }
}
