import type { Demand } from './job.ts'

/** Cost of asking which targets may run a step. */
export type AdviceTerms = {
  readonly decisionMs: number
  readonly eachTargetMs: number
  /** How long the tickets of an answer can be used. */
  readonly validityMs: number
}

/** A named entry point for work. */
export type Queue = {
  readonly name: string
  readonly host: string
  readonly prefix: string
  /** Pool of targets that run the tasks. */
  readonly pool: string
  /** 0 is served first. */
  readonly priority: number
  /** Failed runs of one task after which its job has failed. */
  readonly maxAttempts: number
  /** A job is on time within `stretch` times its longest chain of work and `latencyAimMs` more. */
  readonly stretch: number
  readonly latencyAimMs: number
  /** Callers need no key. */
  readonly open: boolean
  readonly advice: AdviceTerms | undefined
}

export type Pool = {
  readonly name: string
  /** Its targets refuse starts beyond their capacity by themselves. */
  readonly guardsCapacity: boolean
  /** Its hosts are switched off. */
  readonly spare: boolean
}

export type Organisation = {
  readonly name: string
  readonly keys: readonly string[]
  /** Share when all is full. */
  readonly weight: number
  /** Most that may run at a time; a field of 0 is no limit. */
  readonly maximum: Demand
}

/** One version of what operators have configured. */
export type CellConfiguration = {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly pools: readonly Pool[]
  readonly organisations: readonly Organisation[]
  /** Largest body that a caller may send. */
  readonly maxBodyBytes: number
}
