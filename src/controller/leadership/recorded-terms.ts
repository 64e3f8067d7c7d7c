import type { UnsettledTerm } from '../records/store-keys.ts'

/**
 * The earlier terms in the record of a leader's term. A successor takes the targets of a term that is settled from the stored list
 * alone, so that terms are settled no earlier than the list that the leader has made by then is stored.
 */
export class RecordedTerms {
  private areTargetsMissing = false

  private constructor (private recorded: readonly UnsettledTerm[]) {}

  /**
   * Creates them as the claim of the term has recorded them.
   *
   * @example
   * const recordedTerms = RecordedTerms.create(term.unsettled)
   * recordedTerms.expectTargets()
   * recordedTerms.select([], false) // those of the claim
   */
  static create (claimed: readonly UnsettledTerm[]): RecordedTerms {
    return new RecordedTerms(claimed)
  }

  /** Records that a list of targets is to be stored. */
  expectTargets (): void {
    this.areTargetsMissing = true
  }

  /** Selects the terms for a transaction: what it says of those that stay is older, and so ends no wait too early. */
  select (unsettled: readonly UnsettledTerm[], hasTargets: boolean): readonly UnsettledTerm[] {
    return unsettled.length === 0 && this.areTargetsMissing && !hasTargets ? this.recorded : unsettled
  }

  /** Records a transaction that was applied. `hasLatestTargets`: no other list was to be stored since it was made. */
  recordStored (unsettled: readonly UnsettledTerm[], hasLatestTargets: boolean): void {
    this.recorded = unsettled
    if (hasLatestTargets) this.areTargetsMissing = false
  }
}
