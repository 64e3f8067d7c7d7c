import type { Resources } from '../model/resources.ts'

/** Number of amounts stored for each node. */
const RESOURCES_PER_NODE = 5
/** Free amount of a leaf that accepts no work; every wanted amount is larger, because it is at least 0. */
const UNUSABLE_AMOUNT = -1

/**
 * Tournament tree over the targets of one failure domain: each inner node holds, for each resource, the largest free
 * amount below it. A search skips subtrees in which a resource is too small, so it need not read every target.
 */
export class TargetTree {
  private readonly maxima: Float64Array
  private readonly foundLeaves: number[] = []
  private maxLeaves = 0
  private remainingNodes = 0

  private constructor (private readonly size: number) {
    this.maxima = new Float64Array(2 * size * RESOURCES_PER_NODE).fill(UNUSABLE_AMOUNT)
  }

  /** Creates a tree with at least `count` leaves. */
  static create (count: number): TargetTree {
    return new TargetTree(2 ** Math.ceil(Math.log2(Math.max(2, count))))
  }

  /** Number of leaves, used or not. */
  get leafCount (): number {
    return this.size
  }

  /** Sets the free amount of a leaf; undefined excludes the leaf from searches. */
  set (leaf: number, free: Resources | undefined): void {
    const offset = (this.size + leaf) * RESOURCES_PER_NODE
    this.maxima[offset] = free?.cpuMillis ?? UNUSABLE_AMOUNT
    this.maxima[offset + 1] = free?.memoryMiB ?? UNUSABLE_AMOUNT
    this.maxima[offset + 2] = free?.accelerators ?? UNUSABLE_AMOUNT
    this.maxima[offset + 3] = free?.slots ?? UNUSABLE_AMOUNT
    this.maxima[offset + 4] = free?.connections ?? UNUSABLE_AMOUNT
    this.updateAncestors(this.size + leaf)
  }

  private updateAncestors (leaf: number): void {
    for (let node = leaf >> 1; node >= 1; node >>= 1) {
      if (!this.updateNode(node)) return
    }
  }

  /** Recalculates one inner node; false when nothing changed, so that its ancestors are unchanged too. */
  private updateNode (node: number): boolean {
    const { maxima } = this
    const offset = node * RESOURCES_PER_NODE
    const leftOffset = 2 * offset
    let changed = false
    for (let field = 0; field < RESOURCES_PER_NODE; field += 1) {
      const largest = Math.max(maxima[leftOffset + field]!, maxima[leftOffset + RESOURCES_PER_NODE + field]!)
      if (maxima[offset + field] !== largest) {
        maxima[offset + field] = largest
        changed = true
      }
    }
    return changed
  }

  /**
   * Returns up to `maxLeaves` leaves on which `wanted` fits, in order from `start` on and then from the first leaf.
   * At most `maxNodes` nodes are read in each of the two parts, so the cost is bounded even where the largest free
   * amounts of a subtree belong to different targets. The next call reuses the returned array.
   */
  collect (wanted: Resources, start: number, maxLeaves: number, maxNodes: number): readonly number[] {
    this.foundLeaves.length = 0
    this.maxLeaves = maxLeaves
    this.remainingNodes = maxNodes
    this.descend(1, 0, this.size, wanted, start, this.size)
    this.remainingNodes = maxNodes
    if (start > 0) this.descend(1, 0, this.size, wanted, 0, start)
    return this.foundLeaves
  }

  private descend (node: number, low: number, high: number, wanted: Resources, from: number, to: number): void {
    if (high <= from || low >= to || this.foundLeaves.length >= this.maxLeaves || this.remainingNodes <= 0) return
    this.remainingNodes -= 1
    if (!this.mayFit(node, wanted)) return
    if (high - low === 1) {
      this.foundLeaves.push(low)
      return
    }
    const middle = (low + high) >> 1
    this.descend(2 * node, low, middle, wanted, from, to)
    this.descend(2 * node + 1, middle, high, wanted, from, to)
  }

  private mayFit (node: number, wanted: Resources): boolean {
    const { maxima } = this
    const offset = node * RESOURCES_PER_NODE
    return maxima[offset]! >= wanted.cpuMillis &&
      maxima[offset + 1]! >= wanted.memoryMiB &&
      maxima[offset + 2]! >= wanted.accelerators &&
      maxima[offset + 3]! >= wanted.slots &&
      maxima[offset + 4]! >= wanted.connections
  }

  /** Returns the largest free amount of each resource over all leaves; negative when no leaf accepts work. */
  getLargest (): Resources {
    const [cpuMillis = 0, memoryMiB = 0, accelerators = 0, slots = 0, connections = 0] = this.maxima.subarray(RESOURCES_PER_NODE, 2 * RESOURCES_PER_NODE)
    return { cpuMillis, memoryMiB, accelerators, slots, connections }
  }
}
