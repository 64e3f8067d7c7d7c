import type { CellState } from './cell-state.ts'

/** Jobs that an organisation may send at once, as a time at its rate, in seconds. */
const BURST_S = 1.5
const MS_PER_S = 1_000

/** What an organisation may still send within its share; refilled with time. */
export type SubmissionBucket = { jobs: number, filledAt: number }

/**
 * Whether a job is within its organisation's share, which is `weight` jobs a second. Jobs beyond it are served after all
 * others, so that one busy organisation does not delay the rest.
 */
export function takeShare (state: CellState, organisation: string): boolean {
  const weight = state.organisations.get(organisation)?.weight
  if (weight === undefined) return true
  const most = Math.max(1, weight * BURST_S)
  const bucket = state.submissions.get(organisation) ?? { jobs: most, filledAt: state.now }
  bucket.jobs = Math.min(most, bucket.jobs + weight * (state.now - bucket.filledAt) / MS_PER_S)
  bucket.filledAt = state.now
  state.submissions.set(organisation, bucket)
  if (bucket.jobs < 1) return false
  bucket.jobs -= 1
  return true
}
