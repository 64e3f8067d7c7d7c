import type { CellState } from '../cell-state.ts'

const MS_PER_S = 1_000

/** Token bucket: the jobs that an organisation may still submit within its share. */
export type SubmissionBucket = { jobs: number, refilledAt: number }

/**
 * Takes a job from its organisation's share of `weight` jobs a second; returns whether the job is within the share. Jobs
 * beyond it are served after all others, so that one busy organisation does not delay the rest. A burst of
 * `submissionBurstS` seconds of its rate is within the share. Calls must be in the order of `submittedAt`.
 */
export function consumeSubmissionShare (state: CellState, organisation: string, submittedAt: number): boolean {
  const weight = state.organisations.find(organisation)?.weight
  if (weight === undefined) return true
  const capacity = Math.max(1, weight * state.options.features.submissionBurstS)
  const bucket = state.submissionBuckets.get(organisation) ?? { jobs: capacity, refilledAt: submittedAt }
  bucket.jobs = Math.min(capacity, bucket.jobs + weight * Math.max(0, submittedAt - bucket.refilledAt) / MS_PER_S)
  bucket.refilledAt = submittedAt
  state.submissionBuckets.set(organisation, bucket)
  if (bucket.jobs < 1) return false
  bucket.jobs -= 1
  return true
}
