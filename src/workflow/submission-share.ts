import type { CellState } from './cell-state.ts'

/** Jobs that an organisation may send at once, as a time at its rate, in seconds. */
const BURST_S = 1.5
const MS_PER_S = 1_000

/** What an organisation may still send within its share; refilled with time. */
export type SubmissionBucket = { jobs: number, filledAt: number }

/**
 * Whether a job is within its organisation's share, which is `weight` jobs a second. Jobs beyond it are served after all
 * others, so that one busy organisation does not delay the rest. `at`: when the job was handed in; calls come in this order.
 */
export function takeShare (state: CellState, organisation: string, at: number): boolean {
  const weight = state.organisations.get(organisation)?.weight
  if (weight === undefined) return true
  const most = Math.max(1, weight * BURST_S)
  const bucket = state.submissions.get(organisation) ?? { jobs: most, filledAt: at }
  bucket.jobs = Math.min(most, bucket.jobs + weight * Math.max(0, at - bucket.filledAt) / MS_PER_S)
  bucket.filledAt = at
  state.submissions.set(organisation, bucket)
  if (bucket.jobs < 1) return false
  bucket.jobs -= 1
  return true
}
