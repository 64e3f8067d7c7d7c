import type { Observation } from './history.ts'

/** Numbers of the guarantees on the design page. */
export type GuaranteeNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10 | 11

/** A violation of a guarantee, with the observations that prove it. */
export type Violation = {
  readonly guarantee: GuaranteeNumber
  readonly detail: string
  readonly evidence: readonly Observation[]
}
