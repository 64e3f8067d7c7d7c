/** Timings of the protocol between the owner of a group and its targets, in milliseconds. */
export type GroupTiming = {
  /** A target stops its tasks when the owner has not renewed the task lease for this long. */
  readonly taskLeaseMs: number
  /** Maximum time that a target holds one `sync` before it responds. */
  readonly syncWaitMs: number
  /** Maximum time that a call can be in transit to a target before it takes effect or is dropped. */
  readonly transitMs: number
  /** Allowance for the drift between two clocks over one task lease. */
  readonly clockMarginMs: number
  /** How long results are kept for repeated requests. */
  readonly retentionMs: number
  /** Delay before a failed call to a target is sent again. */
  readonly retryMs: number
  /** Maximum time for which renewals with an unknown outcome are repeated, because each may extend the task lease. */
  readonly renewalGraceMs: number
  /** How long a new owner waits for unresponsive targets before it accepts new work. */
  readonly recoveryGraceMs: number
  /** Interval at which the progress of jobs is written. */
  readonly progressIntervalMs: number
}

/** Default timings; a member overrides some of them from its settings. */
export const DEFAULT_GROUP_TIMING: GroupTiming = {
  taskLeaseMs: 20_000,
  syncWaitMs: 8_000,
  transitMs: 2_000,
  clockMarginMs: 1_000,
  retentionMs: 600_000,
  retryMs: 500,
  renewalGraceMs: 5_000,
  recoveryGraceMs: 2_000,
  progressIntervalMs: 1_000
}

/** Allowance for the difference between the clocks of two members. */
export const MEMBER_CLOCK_MARGIN_MS = 5_000
