import { DEFAULT_FEATURES } from '../settings/index.ts'
import type { SchedulingFeatures } from '../settings/index.ts'
import { DEFAULT_JOB_MEMORY } from './held-jobs.ts'
import type { JobMemory } from './held-jobs.ts'

/** Times and limits of the scheduler of a cell. */
export type CellOptions = {
  /** How long runs may continue after the last command or list request; at most `longestLeaseMs`. */
  readonly leaseMs: number
  /** The longest lease of a target: a lease that ends later, on its clock, is shortened. */
  readonly longestLeaseMs: number
  /** Whether commands to an incarnation of a target reach no later one, apart from targets that are marked; without it they may. */
  readonly areCommandsBound?: boolean
  /** A command without a response is sent again after this time, or later where responses are slow. */
  readonly resendAfterMs: number
  /** Maximum number of targets in one advice request. */
  readonly maxAdviceTargets: number
  /** Number of the first run of this owner. */
  readonly firstRunNumber: number
  /** Time of day minus the monotonic clock; used to decide when timed jobs are due. */
  readonly wallClockOffsetMs: number
  /** How long the outcome of a job is kept after its end. */
  readonly endedJobRetentionMs: number
  /** Memory for the jobs that have not ended; others stay in the store. */
  readonly jobMemory: JobMemory
  readonly features: SchedulingFeatures
}

/** Options of the scheduler that apply unless they are overridden. */
export const DEFAULT_CELL_OPTIONS: CellOptions = {
  leaseMs: 3_500,
  longestLeaseMs: 10_000,
  resendAfterMs: 150,
  maxAdviceTargets: 100,
  firstRunNumber: 1,
  wallClockOffsetMs: 0,
  endedJobRetentionMs: 150_000,
  jobMemory: DEFAULT_JOB_MEMORY,
  features: DEFAULT_FEATURES.scheduling
}
