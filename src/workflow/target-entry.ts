import type { Demand } from './job.ts'

/** What a target publishes about itself. */
export type TargetEntry = {
  readonly id: string
  /** Start of this life, in milliseconds since 1970; a target may come back under its id. */
  readonly incarnation: number
  readonly address: string
  readonly pool: string
  readonly failureDomain: string
  readonly labels: readonly string[]
  readonly rack: string
  readonly capacity: Demand
  readonly draining: boolean
  /** Least time until a draining target leaves, in milliseconds; undefined: not told. */
  readonly leavesInMs: number | undefined
  /** How much longer the target is slow after its start. */
  readonly coldMs: number
}

/** A run that a target lists as present. */
export type ListedRun = {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  readonly percent: number
  /** Tail latency in milliseconds of a task that serves, or thousandths of a core in use; undefined: not measured. */
  readonly gauge: number | undefined
}

/** Why a run ended on its target. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'gang-broken' | 'gang-incomplete'

/** A run that a target lists as ended; `number` rises within one incarnation. */
export type ListedEnd = {
  readonly number: number
  readonly task: string
  readonly run: number
  readonly ending: RunEnding
  readonly checkpoint: string
}

/** All that a target says it holds. */
export type TargetListing = {
  readonly incarnation: number
  readonly clockMs: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
}
