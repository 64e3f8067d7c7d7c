import type { GroupNumber } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import { fits, type Resources } from '../model/resources.ts'
import { hash } from '../util/hash.ts'

/**
 * Chooses the group for new work. Work with an idempotency key always goes to the group of its key, so that the group
 * recognises a repeated submission. Other work goes to the better of two groups picked by a hash of `suffix`: a group is
 * better if it is ready, has free capacity for a task and has fewer waiting tasks. Comparing only two groups prevents all
 * members from sending to the same group at once. If the chosen group has no capacity, the group with capacity that has
 * the fewest waiting tasks is used.
 *
 * @example
 * chooseGroup({ groups: 8, suffix: 'x1', hasIdempotencyKey: false, wanted: resources, summaries })
 */
export function chooseGroup (options: {
  readonly groups: number
  readonly suffix: string
  readonly hasIdempotencyKey: boolean
  readonly wanted: Resources
  readonly summaries: ReadonlyMap<GroupNumber, GroupSummary>
}): GroupNumber {
  const first = hash(options.suffix) % options.groups
  if (options.hasIdempotencyKey || options.groups === 1) return first
  const second = hash(`${options.suffix}/second`) % options.groups
  const secondIsBetter = isBetter(options.summaries.get(second), options.summaries.get(first), options.wanted)
  const chosen = secondIsBetter ? second : first
  if (hasCapacity(options.summaries.get(chosen), options.wanted)) return chosen
  return findLeastLoadedGroup(options.summaries, options.wanted) ?? chosen
}

function findLeastLoadedGroup (summaries: ReadonlyMap<GroupNumber, GroupSummary>, wanted: Resources): GroupNumber | undefined {
  let best: GroupSummary | undefined
  for (const summary of summaries.values()) {
    if (hasCapacity(summary, wanted) && (best === undefined || summary.waiting < best.waiting)) best = summary
  }
  return best?.group
}

function isBetter (candidate: GroupSummary | undefined, other: GroupSummary | undefined, wanted: Resources): boolean {
  if (candidate === undefined || !candidate.ready) return false
  if (other === undefined || !other.ready) return true
  const capacityDifference = Number(hasCapacity(candidate, wanted)) - Number(hasCapacity(other, wanted))
  if (capacityDifference !== 0) return capacityDifference > 0
  if (candidate.waiting !== other.waiting) return candidate.waiting < other.waiting
  return candidate.free.cpuMillis > other.free.cpuMillis
}

function hasCapacity (summary: GroupSummary | undefined, wanted: Resources): boolean {
  return summary !== undefined && summary.ready && fits(wanted, summary.largestFree)
}
