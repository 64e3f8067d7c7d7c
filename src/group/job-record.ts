import { err, ok, type Result } from 'neverthrow'
import type { GroupNumber, WorkId } from '../model/ids.ts'
import type { Refusal } from '../model/refusal.ts'
import type { Work } from '../model/work.ts'

/** Durable state of a job, stored as one value. Task indices are stored as ranges `[first, last]`. */
export type JobRecord = {
  readonly work: Work
  readonly cancelled: boolean
  readonly ended: boolean
  /** Milliseconds since 1970; 0 until the job has ended. */
  readonly endedAt: number
  readonly succeeded: readonly IndexRange[]
  readonly failed: readonly IndexRange[]
  /** Tasks for which it is unknown whether they ran. */
  readonly unknown: readonly IndexRange[]
  /** Non-idempotent tasks that may have been started. */
  readonly intents: readonly IndexRange[]
  readonly refusal?: Refusal
}

/** First and last index, both inclusive. */
export type IndexRange = readonly [number, number]

/**
 * Returns the store prefix of the jobs and targets of a group.
 *
 * @example
 * groupPrefix(3) // 'jobs/3/'
 */
export function groupPrefix (group: GroupNumber): string {
  return `jobs/${group}/`
}

/**
 * Returns the store key of a job.
 *
 * @example
 * jobKey(3, 'g3-01h8') // 'jobs/3/work/g3-01h8'
 */
export function jobKey (group: GroupNumber, work: WorkId): string {
  return `${groupPrefix(group)}work/${work}`
}

/**
 * Returns the store key of the targets that owners of the group may have used.
 *
 * @example
 * targetsKey(3) // 'jobs/3/targets'
 */
export function targetsKey (group: GroupNumber): string {
  return `${groupPrefix(group)}targets`
}

/**
 * Converts a set of indices to ranges in ascending order.
 *
 * @example
 * toRanges(new Set([0, 1, 2, 7])) // [[0, 2], [7, 7]]
 */
export function toRanges (indices: ReadonlySet<number>): readonly IndexRange[] {
  const sorted = [...indices].sort((left, right) => left - right)
  const ranges: Array<[number, number]> = []
  for (const index of sorted) {
    const last = ranges.at(-1)
    if (last !== undefined && last[1] === index - 1) last[1] = index
    else ranges.push([index, index])
  }
  return ranges
}

/**
 * Converts ranges to the set of their indices.
 *
 * @example
 * fromRanges([[0, 2]]) // Set { 0, 1, 2 }
 */
export function fromRanges (ranges: readonly IndexRange[]): Set<number> {
  const indices = new Set<number>()
  for (const [first, last] of ranges) {
    for (let index = first; index <= last; index += 1) indices.add(index)
  }
  return indices
}

/**
 * Parses a job record from the store.
 *
 * @example
 * parseJobRecord('{') // err('malformed')
 */
export function parseJobRecord (text: string): Result<JobRecord, 'malformed'> {
  try {
    const value = JSON.parse(text) as Partial<JobRecord> | null
    const lists = [value?.succeeded, value?.failed, value?.unknown, value?.intents]
    if (typeof value?.work?.id !== 'string' || !lists.every(Array.isArray)) return err('malformed')
    return ok(value as JobRecord)
  } catch {
    return err('malformed')
  }
}
