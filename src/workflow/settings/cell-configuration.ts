import type { Demand } from '../job.ts'

/** Duration of an advice request and validity of its tickets. */
export type AdviceTimings = {
  readonly decisionMs: number
  readonly perTargetMs: number
  /** How long the tickets of a response can be used. */
  readonly validityMs: number
}

/** Named entry point for jobs. */
export type Queue = {
  readonly name: string
  readonly host: string
  readonly prefix: string
  /** Pool of targets that run the tasks. */
  readonly pool: string
  /** Queues with priority 0 are served first; their jobs are urgent. */
  readonly priority: number
  /** Failed runs of one task after which its job has failed. */
  readonly maxAttempts: number
  /** The objective of a job is to end within `stretch` times its longest chain of steps plus `latencyObjectiveMs`. */
  readonly stretch: number
  readonly latencyObjectiveMs: number
  /** Whether callers need no key. */
  readonly isPublic: boolean
  readonly advice: AdviceTimings | undefined
}

/** Named set of targets; each queue uses one pool. */
export type Pool = {
  readonly name: string
  /** Whether its targets refuse starts that exceed their capacity. */
  readonly rejectsOverload: boolean
  /** Whether its hosts are switched off. */
  readonly spare: boolean
}

/** Organisation whose callers submit jobs, with its share and its limit. */
export type Organisation = {
  readonly name: string
  readonly keys: readonly string[]
  /** Weight of the organisation's share when the cell is full; also its share of submissions, in jobs a second. */
  readonly weight: number
  /** Maximum that may run at a time; 0 in a field means no limit. */
  readonly maximum: Demand
}

/** One version of the operators' configuration. */
export type CellConfiguration = {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly pools: readonly Pool[]
  readonly organisations: readonly Organisation[]
  /** Maximum size of a request body of a caller. */
  readonly maxBodyBytes: number
}
