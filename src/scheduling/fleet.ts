import type { FailureDomainName, RackName, TargetId } from '../model/ids.ts'
import { fits, NO_RESOURCES, type Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import { type Amounts, increase, noAmounts } from './mutable-resources.ts'
import type { TargetEnd } from './quarantine.ts'
import { TargetTree } from './target-tree.ts'
import type { Task } from './task.ts'

/** Nodes of a target tree read in one search, so that a search has a bounded cost. */
const VISITS_PER_SEARCH = 400

/** A target with what is booked on it. */
export type TargetState = {
  target: Target
  readonly id: TargetId
  /** Booked amounts of its tasks, and of claims of tasks that wait for room here. */
  readonly booked: Amounts
  /** Booked amounts of claims alone. */
  readonly claimed: Amounts
  readonly free: Amounts
  /** Booked amounts of tasks that can be made to yield. */
  readonly yielding: Amounts
  /** `free` and `yielding` together. */
  readonly reclaimable: Amounts
  readonly tasks: Set<Task>
  /** Last ends of tasks on it. */
  readonly ends: TargetEnd[]
  quarantined: boolean
  removed: boolean
  domain: Domain
  leaf: number
}

/** A failure domain with its targets. */
export type Domain = {
  readonly name: FailureDomainName
  out: boolean
  tree: TargetTree
  /** Index of what is free or can be made free by preemption. */
  yieldTree: TargetTree
  readonly targets: TargetState[]
  sorted: boolean
}

/** What a search looks for. */
export type Search = {
  readonly wanted: Resources
  readonly perDomain: number
  /** Part of the leaves to begin at, 0 to 1; 0 fills the first targets first. */
  readonly startPart: number
  readonly domain?: Domain
  /** Whether amounts that can be made free by preemption count as free. */
  readonly reclaiming?: boolean
}

/** All targets of the group, indexed by what they have free. */
export class Fleet {
  readonly targets = new Map<TargetId, TargetState>()
  readonly domains = new Map<FailureDomainName, Domain>()
  /** Capacity of the targets that take work. */
  readonly capacity: Amounts = noAmounts()
  /** Booked amounts on the targets that take work. */
  readonly booked: Amounts = noAmounts()
  /** Distinct capacities of all known targets with the number of targets of each. */
  readonly classes = new Map<string, { readonly capacity: Resources, count: number }>()
  private readonly found: TargetState[] = []

  static create (): Fleet {
    return new Fleet()
  }

  domain (name: FailureDomainName): Domain {
    const known = this.domains.get(name)
    if (known !== undefined) return known
    const domain: Domain = { name, out: false, tree: TargetTree.create(16), yieldTree: TargetTree.create(16), targets: [], sorted: true }
    this.domains.set(name, domain)
    return domain
  }

  /** Adds a target or changes a known one. */
  upsert (target: Target): TargetState {
    const known = this.targets.get(target.id)
    if (known !== undefined && known.target.failureDomain === target.failureDomain) return this.change(known, target)
    if (known !== undefined) this.detach(known)
    return this.attach(target, known)
  }

  private change (state: TargetState, target: Target): TargetState {
    this.withTotals(state, () => {
      state.target = target
      state.removed = false
    })
    return state
  }

  private attach (target: Target, known: TargetState | undefined): TargetState {
    const domain = this.domain(target.failureDomain)
    const state: TargetState = known ?? {
      target,
      id: target.id,
      booked: noAmounts(),
      claimed: noAmounts(),
      free: noAmounts(),
      yielding: noAmounts(),
      reclaimable: noAmounts(),
      tasks: new Set(),
      ends: [],
      quarantined: false,
      removed: false,
      domain,
      leaf: 0
    }
    Object.assign(state, { target, domain, removed: false, leaf: domain.targets.length })
    domain.targets.push(state)
    domain.sorted = false
    if (state.leaf >= domain.tree.room) this.rebuild(domain)
    this.targets.set(target.id, state)
    this.addTotals(state, 1)
    this.refresh(state)
    return state
  }

  /** Takes a lost target out; its state stays until its last task has ended. */
  remove (id: TargetId): TargetState | undefined {
    const state = this.targets.get(id)
    if (state === undefined) return undefined
    this.withTotals(state, () => { state.removed = true })
    this.dropWhenEmpty(state)
    return state
  }

  dropWhenEmpty (state: TargetState): void {
    if (!state.removed || state.tasks.size > 0) return
    this.detach(state)
    this.targets.delete(state.id)
  }

  private detach (state: TargetState): void {
    this.addTotals(state, -1)
    const { targets, tree, yieldTree } = state.domain
    const last = targets.pop()!
    tree.set(targets.length, undefined)
    yieldTree.set(targets.length, undefined)
    if (last !== state) {
      targets[state.leaf] = last
      last.leaf = state.leaf
      state.domain.sorted = false
      this.refresh(last)
    }
  }

  setDomainOut (name: FailureDomainName, out: boolean): Domain {
    const domain = this.domain(name)
    if (domain.out === out) return domain
    for (const state of domain.targets) this.addTotals(state, -1)
    domain.out = out
    for (const state of domain.targets) {
      this.addTotals(state, 1)
      this.refresh(state)
    }
    return domain
  }

  setQuarantined (state: TargetState, quarantined: boolean): void {
    this.withTotals(state, () => { state.quarantined = quarantined })
  }

  private withTotals (state: TargetState, change: () => void): void {
    this.addTotals(state, -1)
    change()
    this.addTotals(state, 1)
    this.refresh(state)
  }

  private addTotals (state: TargetState, factor: number): void {
    if (!state.removed) this.countClass(state.target.capacity, factor)
    if (!takesWork(state)) return
    increase(this.capacity, state.target.capacity, factor)
    increase(this.booked, state.booked, factor)
  }

  private countClass (capacity: Resources, change: number): void {
    const key = `${capacity.cpuMillis} ${capacity.memoryMiB} ${capacity.accelerators} ${capacity.slots} ${capacity.connections}`
    const known = this.classes.get(key)
    if (known === undefined) this.classes.set(key, { capacity, count: change })
    else known.count += change
    if (known?.count === 0) this.classes.delete(key)
  }

  /** Books (factor 1) or releases (factor -1) an amount on a target. */
  book (state: TargetState, amount: Resources, factor: 1 | -1): void {
    increase(state.booked, amount, factor)
    if (takesWork(state)) increase(this.booked, amount, factor)
    this.refresh(state)
  }

  private refresh (state: TargetState): void {
    Object.assign(state.free, state.target.capacity)
    increase(state.free, state.booked, -1)
    if (isAttached(state)) state.domain.tree.set(state.leaf, takesWork(state) ? state.free : undefined)
    this.refreshReclaimable(state)
  }

  private refreshReclaimable (state: TargetState): void {
    Object.assign(state.reclaimable, state.free)
    increase(state.reclaimable, state.yielding, 1)
    if (isAttached(state)) state.domain.yieldTree.set(state.leaf, takesWork(state) ? state.reclaimable : undefined)
  }

  /** Adds to (factor 1) or takes from (factor -1) what can be made to yield on a target. */
  changeYielding (state: TargetState, amount: Resources, factor: 1 | -1): void {
    increase(state.yielding, amount, factor)
    this.refreshReclaimable(state)
  }

  /** Sorts the domains whose targets have changed, so that plain targets come before those with accelerators. */
  sortDomains (): void {
    for (const domain of this.domains.values()) {
      if (!domain.sorted) this.rebuild(domain)
    }
  }

  private rebuild (domain: Domain): void {
    domain.targets.sort(compareTargets)
    domain.tree = TargetTree.create(domain.targets.length * 2)
    domain.yieldTree = TargetTree.create(domain.targets.length * 2)
    domain.targets.forEach((state, leaf) => {
      state.leaf = leaf
      this.refresh(state)
    })
    domain.sorted = true
  }

  /** Targets with room for the wanted amount; the returned array is reused by the next search. */
  search (search: Search): readonly TargetState[] {
    this.found.length = 0
    if (search.domain !== undefined) this.searchDomain(search.domain, search)
    else for (const domain of this.domains.values()) this.searchDomain(domain, search)
    return this.found
  }

  private searchDomain (domain: Domain, search: Search): void {
    if (domain.out || domain.targets.length === 0) return
    const start = Math.floor(search.startPart * domain.targets.length)
    const tree = search.reclaiming === true ? domain.yieldTree : domain.tree
    for (const leaf of tree.collect(search.wanted, start, search.perDomain, VISITS_PER_SEARCH)) {
      const state = domain.targets[leaf]
      if (state !== undefined) this.found.push(state)
    }
  }

  /** Largest free amount of one target in each resource. */
  largestFree (): Resources {
    let largest = NO_RESOURCES
    for (const domain of this.domains.values()) {
      if (!domain.out) largest = greater(largest, domain.tree.largest())
    }
    return largest
  }
}

/** Whether the leaf is still that of the target; room may be given back on a target that has been taken out. */
function isAttached (state: TargetState): boolean {
  return state.domain.targets[state.leaf] === state
}

/** Whether new work may start on the target. */
export function takesWork (state: TargetState): boolean {
  return !state.removed && !state.quarantined && !state.domain.out && state.target.state === 'live'
}

/** Whether a task of the shape fits beside the running tasks and claims of a target that takes work. */
export function hasRoom (state: TargetState, wanted: Resources): boolean {
  return takesWork(state) && fits(wanted, state.free)
}

/** Key of the rack of a target; rack names are unique only inside their failure domain. */
export function rackKey (target: Target): RackName {
  return `${target.failureDomain}/${target.rack}`
}

function greater (left: Resources, right: Resources): Resources {
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
