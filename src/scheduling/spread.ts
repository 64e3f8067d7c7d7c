import type { Resources } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { type Domain, formatRackKey, type TargetState } from './fleet.ts'
import { chooseTarget } from './packing.ts'
import type { Job, Task } from './task.ts'

/** Number of targets compared in one failure domain, enough to include several racks. */
const CANDIDATES_PER_DOMAIN = 24

/**
 * Chooses a target for one more task of a service: in the failure domain with the fewest tasks of the service, in it on
 * the rack with the fewest, on it the target with the fewest. A task that moves is not counted on its old target.
 *
 * @example
 * chooseSpreadTarget(state, job, shape.booked)
 */
export function chooseSpreadTarget (state: SchedulerState, job: Job, wanted: Resources, moving?: Task): TargetState | undefined {
  const { domains, racks, targets } = countTasks(job, moving)
  const order = [...state.fleet.domains.values()]
    .map((domain) => ({ domain, count: domains.get(domain) ?? 0 }))
    .sort((left, right) => left.count - right.count)
  for (const { domain } of order) {
    const search = { wanted, maxPerDomain: CANDIDATES_PER_DOMAIN, startRatio: state.random.next(), domain }
    const candidates = state.fleet.search(search)
    const byRack = selectLeastUsed(candidates, (target) => racks.get(formatRackKey(target.target)) ?? 0)
    const byTarget = selectLeastUsed(byRack, (target) => targets.get(target) ?? 0)
    const chosen = chooseTarget(state, wanted, byTarget)
    if (chosen !== undefined) return chosen
  }
  return undefined
}

type SpreadCounts = {
  readonly domains: ReadonlyMap<Domain, number>
  readonly racks: ReadonlyMap<string, number>
  readonly targets: ReadonlyMap<TargetState, number>
}

function countTasks (job: Job, moving: Task | undefined): SpreadCounts {
  const domains = new Map<Domain, number>()
  const racks = new Map<string, number>()
  const targets = new Map<TargetState, number>()
  for (const task of job.tasks.values()) {
    if (task === moving) continue
    const { target } = task
    domains.set(target.domain, (domains.get(target.domain) ?? 0) + 1)
    const rack = formatRackKey(target.target)
    racks.set(rack, (racks.get(rack) ?? 0) + 1)
    targets.set(target, (targets.get(target) ?? 0) + 1)
  }
  return { domains, racks, targets }
}

function selectLeastUsed (candidates: readonly TargetState[], getCount: (target: TargetState) => number): readonly TargetState[] {
  let least = Number.POSITIVE_INFINITY
  for (const candidate of candidates) least = Math.min(least, getCount(candidate))
  return candidates.filter((candidate) => getCount(candidate) === least)
}
