import { fits, type Resources } from '../model/resources.ts'

/** Maximum number of amounts; comparing more would cost more than the searches that it saves. */
const MAX_AMOUNTS = 16

/**
 * Amounts for which a search found no target. A search for an amount that is at least as large in every resource would
 * fail too, so it is skipped until a target has enough free capacity for the smaller amount.
 */
export class FailedSearches {
  private amounts: Resources[] = []

  static create (): FailedSearches {
    return new FailedSearches()
  }

  /** Records that a search for the amount failed. */
  recordFailure (amount: Resources): void {
    this.amounts = this.amounts.filter((other) => !fits(amount, other))
    if (this.amounts.length === MAX_AMOUNTS) this.amounts.shift()
    this.amounts.push(amount)
  }

  /** Whether a search for the amount would fail, because one for a smaller or equal amount failed. */
  wouldFail (amount: Resources): boolean {
    return this.amounts.some((other) => fits(other, amount))
  }

  /** Removes the amounts that fit in the free capacity of a target. */
  removeFitting (free: Resources): void {
    if (this.amounts.some((amount) => fits(amount, free))) this.amounts = this.amounts.filter((amount) => !fits(amount, free))
  }

  clear (): void {
    this.amounts = []
  }
}
