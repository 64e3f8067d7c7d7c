import type { AdviceAnswer } from '../ports/order-client.ts'

export type AdviceQuestion = {
  readonly step: string
  readonly targets: readonly string[]
  /** Time that the advisor takes, in milliseconds. */
  readonly costMs: number
  /** The step is of a queue with the highest priority. */
  readonly urgent: boolean
}

/** Asks through one member; the advisor serves each member one call at a time. */
export type Lane = { readonly name: string, readonly ask: (question: AdviceQuestion) => Promise<AdviceAnswer> }

export type AdviceLanesOptions = {
  readonly onAnswer: (question: AdviceQuestion, answer: AdviceAnswer) => void
}

/** A lane that failed is left out for this time, in milliseconds. */
const LANE_PAUSE_MS = 1_500

/** Spreads questions over lanes, urgent ones first, each lane one at a time. */
export class AdviceLanes {
  private readonly lanes = new Map<string, Lane>()
  private readonly busy = new Set<string>()
  private readonly pausedUntil = new Map<string, number>()
  private waiting: AdviceQuestion[] = []

  private constructor (private readonly options: AdviceLanesOptions) {}

  /**
   * @example
   * const lanes = AdviceLanes.create({ onAnswer: (question, answer) => cell.apply({ type: 'advised', ... }) })
   * lanes.add({ name: 'entry-2', ask: (question) => askThrough('10.0.0.2:7420', question) })
   */
  static create (options: AdviceLanesOptions): AdviceLanes {
    return new AdviceLanes(options)
  }

  add (lane: Lane): void {
    this.lanes.set(lane.name, lane)
    this.dispatch()
  }

  remove (name: string): void {
    this.lanes.delete(name)
  }

  ask (question: AdviceQuestion): void {
    this.waiting.push(question)
    this.waiting.sort((left, right) => Number(right.urgent) - Number(left.urgent))
    this.dispatch()
  }

  get size (): number {
    return this.lanes.size
  }

  /** Questions that wait for a lane. */
  get waitingCount (): number {
    return this.waiting.length
  }

  stop (): void {
    this.waiting = []
    this.lanes.clear()
  }

  private dispatch (): void {
    for (const lane of this.lanes.values()) {
      if (this.waiting.length === 0) return
      if (!this.busy.has(lane.name) && (this.pausedUntil.get(lane.name) ?? 0) <= performance.now()) this.use(lane, this.waiting.shift()!)
    }
  }

  private use (lane: Lane, question: AdviceQuestion): void {
    this.busy.add(lane.name)
    lane.ask(question).then((answer) => {
      this.busy.delete(lane.name)
      if (answer.type === 'failed') this.pausedUntil.set(lane.name, performance.now() + LANE_PAUSE_MS)
      this.options.onAnswer(question, answer)
      this.dispatch()
    }, (error: unknown) => {
      this.busy.delete(lane.name)
      this.options.onAnswer(question, { type: 'failed', reason: String(error) })
    })
  }
}
