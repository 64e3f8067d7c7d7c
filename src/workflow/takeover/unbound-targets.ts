/**
 * So many listings in a row without their lease and cursor show that a target keeps no connections open. Others have a few in a row
 * while their connections are opened.
 */
const REDUCED_LISTINGS = 15

/**
 * The targets whose commands may reach a later incarnation than the one that is meant. Commands to all others are bound to
 * connections on which that incarnation has answered. A mark of this owner applies once it is stored, so that each successor knows
 * of it; a mark of an earlier owner applies until none of its commands has an effect any more.
 */
export class UnboundTargets {
  /** Targets that this owner has marked. */
  private readonly marked = new Set<string>()
  /** Those of them that are stored as marked. */
  private readonly stored = new Set<string>()
  /** Targets that earlier owners have marked; all, if one of them did not bind its commands. */
  private inherited: ReadonlySet<string> | 'all' = new Set()
  private inheritedAt = -Infinity

  private constructor (private readonly areCommandsBound: boolean) {}

  /**
   * Creates the marks of an owner. Without bound commands all targets are unbound.
   *
   * @example
   * const unboundTargets = UnboundTargets.create(true)
   * unboundTargets.has('t1') // false
   */
  static create (areCommandsBound: boolean): UnboundTargets {
    return new UnboundTargets(areCommandsBound)
  }

  /** Whether commands of this owner or of earlier ones to the target may have reached a later incarnation. */
  has (id: string): boolean {
    return !this.areCommandsBound || this.marked.has(id) || this.inherited === 'all' || this.inherited.has(id)
  }

  /** Whether this owner's commands to a target may reach a later incarnation, and that is stored. */
  mayReachNext (id: string): boolean {
    return this.stored.has(id)
  }

  /**
   * Whether earlier owners have marked the target, so that their commands may have reached an incarnation that nobody has heard of. The
   * same holds for all targets after an owner of an older release; tasks would wait too long if it counted for each that is silent.
   */
  mayEarlierHaveReachedUnheard (id: string): boolean {
    return this.areCommandsBound && this.inherited !== 'all' && this.inherited.has(id)
  }

  /** Takes over the marks of earlier owners; undefined if their commands were not bound. */
  restore (ids: readonly string[] | undefined, now: number): void {
    this.inherited = ids === undefined ? 'all' : new Set(ids)
    this.inheritedAt = now
  }

  /** Marks a target whose listings were reduced so often in a row. Returns whether the mark is new. */
  markIfReduced (id: string, reducedListings: number): boolean {
    if (!this.areCommandsBound || reducedListings < REDUCED_LISTINGS || this.marked.has(id)) return false
    this.marked.add(id)
    return true
  }

  /** Records the marks that were stored. */
  recordStored (ids: readonly string[]): void {
    for (const id of ids) {
      if (this.marked.has(id)) this.stored.add(id)
    }
  }

  /** Forgets the marks of earlier owners once their commands have had no effect for `effectMs`. Returns whether there were any. */
  forgetInherited (now: number, earlierCommandsEndAt: number, effectMs: number): boolean {
    if (this.inherited !== 'all' && this.inherited.size === 0) return false
    if (now < Math.max(this.inheritedAt, earlierCommandsEndAt) + effectMs) return false
    this.inherited = new Set()
    return true
  }

  /** Forgets a target to which no command can be executed any more. */
  forget (id: string): void {
    this.marked.delete(id)
    this.stored.delete(id)
  }

  /** Formats the marks among these targets for the stored record; undefined if commands are not bound. */
  toStored (ids: readonly string[]): readonly string[] | undefined {
    return this.areCommandsBound ? ids.filter((id) => this.has(id)) : undefined
  }
}
