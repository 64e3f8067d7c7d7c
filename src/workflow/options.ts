/** Times and limits of the scheduler of a cell. */
export type CellOptions = {
  /** How long a run may go on without word from us, in milliseconds. Source: at most the targets' own bound. */
  readonly leaseMs: number
  /** After this time without an answer an order is sent again, in milliseconds. */
  readonly resendAfterMs: number
  /** Most targets named in one question for advice. */
  readonly adviceTargets: number
  /** First run number of this owner. */
  readonly firstRun: number
  /** Time of day less steady clock, in milliseconds; tells when timed jobs are due. */
  readonly wallOffsetMs: number
  /** How long a job is known after its end, in milliseconds. */
  readonly retentionMs: number
}

export const DEFAULT_CELL_OPTIONS: CellOptions = {
  leaseMs: 3_500,
  resendAfterMs: 150,
  adviceTargets: 100,
  firstRun: 1,
  wallOffsetMs: 0,
  retentionMs: 150_000
}
