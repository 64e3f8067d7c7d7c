import type { FailureDomainName, RackName, TargetId } from '../model/ids.ts'
import { fits, NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import { type MutableResources, addScaled, createZeroResources } from './mutable-resources.ts'
import type { TargetCompletion } from './quarantine.ts'
import { TargetTree } from './target-tree.ts'
import type { Task } from './task.ts'

/** Maximum number of nodes of a target tree read in each part of a search, which bounds its cost. */
const MAX_NODES_PER_SEARCH = 400

/** A target with the amounts booked on it. */
export type TargetState = {
  target: Target
  readonly id: TargetId
  /** Booked amounts of its tasks, including claims, and of reservations for tasks that move here. */
  readonly booked: MutableResources
  /** Booked amounts of claims and of reservations for tasks that move here. */
  readonly claimed: MutableResources
  /** Capacity minus `booked`; negative where more is booked than the target has. */
  readonly free: MutableResources
  /** Booked amounts of tasks that may be preempted. */
  readonly preemptible: MutableResources
  /** Sum of `free` and `preemptible`. */
  readonly reclaimable: MutableResources
  readonly tasks: Set<Task>
  /** Most recent completions of tasks on the target, the latest last. */
  readonly completions: TargetCompletion[]
  quarantined: boolean
  removed: boolean
  domain: Domain
  /** Index of the target in `domain.targets` and in the trees of the domain. */
  leaf: number
}

/** A failure domain with its targets. */
export type Domain = {
  readonly name: FailureDomainName
  out: boolean
  /** Index of the free amounts. */
  freeTree: TargetTree
  /** Index of the amounts that are free or can be freed by preemption. */
  reclaimableTree: TargetTree
  readonly targets: TargetState[]
  /** Whether `targets` is in the order in which a search prefers them. */
  sorted: boolean
}

/** Parameters of a search for targets. */
export type TargetSearch = {
  readonly wanted: Resources
  readonly maxPerDomain: number
  /** Position at which the search begins, as a fraction of the targets of a domain; 0 fills the first targets first. */
  readonly startRatio: number
  readonly domain?: Domain
  /** Whether amounts that can be freed by preemption count as free. */
  readonly includeReclaimable?: boolean
}

/** All targets of the group, indexed by their free amounts. */
export class Fleet {
  readonly targets = new Map<TargetId, TargetState>()
  readonly domains = new Map<FailureDomainName, Domain>()
  /** Total capacity of the targets that accept work. */
  readonly capacity: MutableResources = createZeroResources()
  /** Total booked amounts on the targets that accept work. */
  readonly booked: MutableResources = createZeroResources()
  /** Distinct capacities of all targets that are not lost, with the number of targets of each. */
  readonly capacityClasses = new Map<string, { readonly capacity: Resources, count: number }>()
  private readonly searchResults: TargetState[] = []

  static create (): Fleet {
    return new Fleet()
  }

  getOrCreateDomain (name: FailureDomainName): Domain {
    const known = this.domains.get(name)
    if (known !== undefined) return known
    const domain: Domain = { name, out: false, freeTree: TargetTree.create(16), reclaimableTree: TargetTree.create(16), targets: [], sorted: true }
    this.domains.set(name, domain)
    return domain
  }

  /** Adds a target or changes a known one. */
  upsert (target: Target): TargetState {
    const known = this.targets.get(target.id)
    if (known !== undefined && known.target.failureDomain === target.failureDomain) return this.changeTarget(known, target)
    if (known !== undefined) this.detach(known)
    return this.attach(target, known)
  }

  private changeTarget (state: TargetState, target: Target): TargetState {
    this.updateWithTotals(state, () => {
      state.target = target
      state.removed = false
    })
    return state
  }

  private attach (target: Target, known: TargetState | undefined): TargetState {
    const domain = this.getOrCreateDomain(target.failureDomain)
    const state: TargetState = known ?? {
      target,
      id: target.id,
      booked: createZeroResources(),
      claimed: createZeroResources(),
      free: createZeroResources(),
      preemptible: createZeroResources(),
      reclaimable: createZeroResources(),
      tasks: new Set(),
      completions: [],
      quarantined: false,
      removed: false,
      domain,
      leaf: 0
    }
    Object.assign(state, { target, domain, removed: false, leaf: domain.targets.length })
    domain.targets.push(state)
    domain.sorted = false
    if (state.leaf >= domain.freeTree.leafCount) this.rebuildTrees(domain)
    this.targets.set(target.id, state)
    this.changeTotals(state, 1)
    this.updateFree(state)
    return state
  }

  /** Marks a target as lost; its state is removed when its last task has ended. */
  remove (id: TargetId): TargetState | undefined {
    const state = this.targets.get(id)
    if (state === undefined) return undefined
    this.updateWithTotals(state, () => { state.removed = true })
    this.removeIfEmpty(state)
    return state
  }

  removeIfEmpty (state: TargetState): void {
    if (!state.removed || state.tasks.size > 0) return
    this.detach(state)
    this.targets.delete(state.id)
  }

  private detach (state: TargetState): void {
    this.changeTotals(state, -1)
    const { targets, freeTree, reclaimableTree } = state.domain
    const last = targets.pop()!
    freeTree.set(targets.length, undefined)
    reclaimableTree.set(targets.length, undefined)
    if (last !== state) {
      targets[state.leaf] = last
      last.leaf = state.leaf
      state.domain.sorted = false
      this.updateFree(last)
    }
  }

  setDomainOut (name: FailureDomainName, out: boolean): Domain {
    const domain = this.getOrCreateDomain(name)
    if (domain.out === out) return domain
    for (const state of domain.targets) this.changeTotals(state, -1)
    domain.out = out
    for (const state of domain.targets) {
      this.changeTotals(state, 1)
      this.updateFree(state)
    }
    return domain
  }

  setQuarantined (state: TargetState, quarantined: boolean): void {
    this.updateWithTotals(state, () => { state.quarantined = quarantined })
  }

  private updateWithTotals (state: TargetState, change: () => void): void {
    this.changeTotals(state, -1)
    change()
    this.changeTotals(state, 1)
    this.updateFree(state)
  }

  private changeTotals (state: TargetState, factor: number): void {
    if (!state.removed) this.changeClassCount(state.target.capacity, factor)
    if (!acceptsWork(state)) return
    addScaled(this.capacity, state.target.capacity, factor)
    addScaled(this.booked, state.booked, factor)
  }

  private changeClassCount (capacity: Resources, change: number): void {
    const key = `${capacity.cpuMillis} ${capacity.memoryMiB} ${capacity.accelerators} ${capacity.slots} ${capacity.connections}`
    const known = this.capacityClasses.get(key)
    if (known === undefined) this.capacityClasses.set(key, { capacity, count: change })
    else known.count += change
    if (known?.count === 0) this.capacityClasses.delete(key)
  }

  /** Books (factor 1) or releases (factor -1) an amount on a target. */
  book (state: TargetState, amount: Resources, factor: 1 | -1): void {
    addScaled(state.booked, amount, factor)
    if (acceptsWork(state)) addScaled(this.booked, amount, factor)
    this.updateFree(state)
  }

  private updateFree (state: TargetState): void {
    Object.assign(state.free, state.target.capacity)
    addScaled(state.free, state.booked, -1)
    if (isAttached(state)) state.domain.freeTree.set(state.leaf, acceptsWork(state) ? state.free : undefined)
    this.updateReclaimable(state)
  }

  private updateReclaimable (state: TargetState): void {
    Object.assign(state.reclaimable, state.free)
    addScaled(state.reclaimable, state.preemptible, 1)
    if (isAttached(state)) state.domain.reclaimableTree.set(state.leaf, acceptsWork(state) ? state.reclaimable : undefined)
  }

  /** Adds to (factor 1) or subtracts from (factor -1) the preemptible amount of a target. */
  changePreemptible (state: TargetState, amount: Resources, factor: 1 | -1): void {
    addScaled(state.preemptible, amount, factor)
    this.updateReclaimable(state)
  }

  /** Sorts the domains whose targets have changed; targets without accelerators come before those with accelerators. */
  sortDomains (): void {
    for (const domain of this.domains.values()) {
      if (!domain.sorted) this.rebuildTrees(domain)
    }
  }

  private rebuildTrees (domain: Domain): void {
    domain.targets.sort(compareTargets)
    domain.freeTree = TargetTree.create(domain.targets.length * 2)
    domain.reclaimableTree = TargetTree.create(domain.targets.length * 2)
    domain.targets.forEach((state, leaf) => {
      state.leaf = leaf
      this.updateFree(state)
    })
    domain.sorted = true
  }

  /** Finds targets with enough free capacity for the wanted amount; the next search reuses the returned array. */
  search (search: TargetSearch): readonly TargetState[] {
    this.searchResults.length = 0
    if (search.domain !== undefined) this.searchDomain(search.domain, search)
    else for (const domain of this.domains.values()) this.searchDomain(domain, search)
    return this.searchResults
  }

  private searchDomain (domain: Domain, search: TargetSearch): void {
    if (domain.out || domain.targets.length === 0) return
    const start = Math.floor(search.startRatio * domain.targets.length)
    const tree = search.includeReclaimable === true ? domain.reclaimableTree : domain.freeTree
    for (const leaf of tree.collect(search.wanted, start, search.maxPerDomain, MAX_NODES_PER_SEARCH)) {
      const state = domain.targets[leaf]
      if (state !== undefined) this.searchResults.push(state)
    }
  }

  /** Returns, for each resource, the largest free amount on one target. */
  getLargestFree (): Resources {
    let largest = NO_RESOURCES
    for (const domain of this.domains.values()) {
      if (!domain.out) largest = maxResources(largest, domain.freeTree.getLargest())
    }
    return largest
  }
}

/** Whether the target still has its leaf; bookings can also be released on a target that was removed. */
function isAttached (state: TargetState): boolean {
  return state.domain.targets[state.leaf] === state
}

/** Whether new work may start on the target. */
export function acceptsWork (state: TargetState): boolean {
  return !state.removed && !state.quarantined && !state.domain.out && state.target.state === 'live'
}

/** Whether the target accepts work and the wanted amount fits beside its tasks and claims. */
export function hasFreeCapacity (state: TargetState, wanted: Resources): boolean {
  return acceptsWork(state) && fits(wanted, state.free)
}

/** Formats the key of a target's rack; rack names are unique only within a failure domain. */
export function formatRackKey (target: Target): RackName {
  return `${target.failureDomain}/${target.rack}`
}

function maxResources (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMiB: Math.max(left.memoryMiB, right.memoryMiB),
    accelerators: Math.max(left.accelerators, right.accelerators),
    slots: Math.max(left.slots, right.slots),
    connections: Math.max(left.connections, right.connections)
  }
}

function compareTargets (left: TargetState, right: TargetState): number {
  const a = left.target
  const b = right.target
  return a.capacity.accelerators - b.capacity.accelerators ||
    a.capacity.memoryMiB - b.capacity.memoryMiB ||
    compareText(a.rack, b.rack) ||
    compareText(a.id, b.id)
}

function compareText (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
