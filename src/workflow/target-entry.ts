import type { Demand } from './job.ts'

/** Published description of a target. */
export type TargetEntry = {
  readonly id: string
  /** Start of this incarnation, in milliseconds since 1970. A target may restart with the same id. */
  readonly incarnation: number
  readonly address: string
  readonly pool: string
  readonly failureDomain: string
  readonly labels: readonly string[]
  readonly rack: string
  readonly capacity: Demand
  readonly draining: boolean
  /** Minimum time until a draining target leaves; undefined if unknown. */
  readonly leavesInMs: number | undefined
  /** How much longer the target is slow after its start, in milliseconds. */
  readonly warmUpRemainingMs: number
}

/** A present run in the listing of a target. */
export type ListedRun = {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  readonly percent: number
  /** Tail latency in milliseconds of a latency-bound task, or thousandths of a core in use; undefined: not measured. */
  readonly gauge: number | undefined
}

/** Why a run ended on its target. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'gang-broken' | 'gang-incomplete'

/** A completed run in the listing of a target. `number` increases within one incarnation. */
export type ListedCompletion = {
  readonly number: number
  readonly task: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** Runs of a target, present and completed, with the time on its clock. */
export type TargetListing = {
  readonly incarnation: number
  readonly clockMs: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedCompletion[]
}
