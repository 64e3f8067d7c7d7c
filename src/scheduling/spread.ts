import type { Resources } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import { type Domain, rackKey, type TargetState } from './fleet.ts'
import { chooseTarget } from './packing.ts'
import type { Job, Task } from './task.ts'

/** Targets compared in one failure domain, so that several racks are among them. */
const SPREAD_CANDIDATES = 24

/**
 * A target for one more task of a service: in the failure domain with the fewest tasks of it, there in the rack with
 * the fewest, there on the target with the fewest. A task that moves does not count at its old place.
 *
 * @example
 * chooseSpread(cell, job, shape.booked)
 */
export function chooseSpread (cell: Cell, job: Job, wanted: Resources, moving?: Task): TargetState | undefined {
  const { domains, racks, targets } = countTasks(job, moving)
  const order = [...cell.fleet.domains.values()]
    .map((domain) => ({ domain, count: domains.get(domain) ?? 0 }))
    .sort((left, right) => left.count - right.count)
  for (const { domain } of order) {
    const search = { wanted, perDomain: SPREAD_CANDIDATES, startPart: cell.random.next(), domain }
    const candidates = cell.fleet.search(search)
    const byRack = leastUsed(candidates, (target) => racks.get(rackKey(target.target)) ?? 0)
    const byTarget = leastUsed(byRack, (target) => targets.get(target) ?? 0)
    const chosen = chooseTarget(cell, wanted, byTarget)
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
    const rack = rackKey(target.target)
    racks.set(rack, (racks.get(rack) ?? 0) + 1)
    targets.set(target, (targets.get(target) ?? 0) + 1)
  }
  return { domains, racks, targets }
}

function leastUsed (candidates: readonly TargetState[], count: (target: TargetState) => number): readonly TargetState[] {
  let least = Number.POSITIVE_INFINITY
  for (const candidate of candidates) least = Math.min(least, count(candidate))
  return candidates.filter((candidate) => count(candidate) === least)
}
