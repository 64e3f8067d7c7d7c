/**
 * Faults that a stand-in simulates.
 *
 * outage: `refuse` fails each call at once and without an effect; with `hang`, a call gets no response and has no effect.
 * delayMs: time before a call is handled.
 * loseAnswers: number of calls, from the next one on, that take effect but whose response is lost.
 */
export type Faults = {
  readonly outage: 'none' | 'refuse' | 'hang'
  readonly delayMs: number
  readonly loseAnswers: number
}

/** A stand-in that works normally. */
export const NO_FAULTS: Faults = { outage: 'none', delayMs: 0, loseAnswers: 0 }

/**
 * The current faults of one stand-in.
 *
 * @example
 * const switches = FaultSwitches.create()
 * switches.set({ outage: 'refuse' })
 */
export class FaultSwitches {
  private faults: Faults = NO_FAULTS

  private constructor () {}

  static create (): FaultSwitches {
    return new FaultSwitches()
  }

  get current (): Faults {
    return this.faults
  }

  /** Replaces the given faults; the others stay as they are. */
  set (faults: Partial<Faults>): void {
    this.faults = { ...this.faults, ...faults }
  }

  clear (): void {
    this.faults = NO_FAULTS
  }

  /** Whether the response of the current call must be lost; reduces `loseAnswers` by one if so. */
  consumeAnswerLoss (): boolean {
    if (this.faults.loseAnswers <= 0) return false
    this.set({ loseAnswers: this.faults.loseAnswers - 1 })
    return true
  }
}

/**
 * Parses faults from a JSON body; unknown and malformed fields are ignored.
 *
 * @example
 * parseFaults({ outage: 'hang', delayMs: 'x' }) // { outage: 'hang' }
 */
export function parseFaults (body: unknown): Partial<Faults> {
  const fields = typeof body === 'object' && body !== null ? body as Record<string, unknown> : {}
  const { outage, delayMs, loseAnswers } = fields
  return {
    ...(outage === 'none' || outage === 'refuse' || outage === 'hang' ? { outage } : {}),
    ...(typeof delayMs === 'number' ? { delayMs } : {}),
    ...(typeof loseAnswers === 'number' ? { loseAnswers } : {})
  }
}
