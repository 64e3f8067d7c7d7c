import type { Result } from 'neverthrow'
import type { GroupNumber, TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { HostListFailure, HostListing } from '../ports/host-list.ts'
import { hash } from '../util/hash.ts'

/** Poll interval; a leaving target is detected within this time plus the lag of the host list. */
const POLL_INTERVAL_MS = 1_000

/** The targets of a listing by group; `asOf` is the time at which the listing was valid. */
export type GroupedListing = { readonly asOf: number, readonly targets: ReadonlyMap<GroupNumber, readonly Target[]> }

/**
 * Computes the group that a target belongs to.
 *
 * @example
 * computeTargetGroup('target-7', 8)
 */
export function computeTargetGroup (id: TargetId, groups: number): GroupNumber {
  return hash(`target/${id}`) % groups
}

/** Schedules the polls of the host list and keeps the newest listing. */
export class HostListReader {
  private listing: GroupedListing | undefined
  private inFlight = false
  private nextReadAt = 0

  private constructor (private readonly groups: number) {}

  /**
   * Creates a reader without a listing.
   *
   * @example
   * HostListReader.create(8)
   */
  static create (groups: number): HostListReader {
    return new HostListReader(groups)
  }

  /** The newest listing, or undefined before the first successful read. */
  get newest (): GroupedListing | undefined { return this.listing }

  /** Returns whether the host list must be read now; if so, the read counts as started. */
  startReadIfDue (now: number): boolean {
    if (this.inFlight || now < this.nextReadAt) return false
    this.inFlight = true
    this.nextReadAt = now + POLL_INTERVAL_MS
    return true
  }

  /** Handles the response to a read; returns whether it is newer than the known listing. */
  handleResponse (now: number, result: Result<HostListing, HostListFailure>): boolean {
    this.inFlight = false
    if (result.isErr()) return false
    const asOf = now - result.value.ageMs
    if (this.listing !== undefined && asOf <= this.listing.asOf) return false
    this.listing = { asOf, targets: groupTargets(result.value.targets, this.groups) }
    return true
  }
}

function groupTargets (targets: readonly Target[], groups: number): ReadonlyMap<GroupNumber, readonly Target[]> {
  const targetsByGroup = new Map<GroupNumber, Target[]>()
  for (const target of targets) {
    const group = computeTargetGroup(target.id, groups)
    const targetsOfGroup = targetsByGroup.get(group)
    if (targetsOfGroup === undefined) targetsByGroup.set(group, [target])
    else targetsOfGroup.push(target)
  }
  return targetsByGroup
}
