import { fits, type Resources } from '../model/resources.ts'

/** Amounts kept; more would cost more to compare than the searches that they save. */
const AMOUNTS_KEPT = 16

/**
 * Amounts for which a search has found no room anywhere. Whatever is as large in each resource has none either, so
 * it need not be searched for until a target frees room for the smaller amount.
 */
export class NoRoom {
  private amounts: Resources[] = []

  static create (): NoRoom {
    return new NoRoom()
  }

  /** Notes that a search for the amount has failed. */
  note (amount: Resources): void {
    this.amounts = this.amounts.filter((other) => !fits(amount, other))
    if (this.amounts.length === AMOUNTS_KEPT) this.amounts.shift()
    this.amounts.push(amount)
  }

  /** Whether a search for the amount would fail. */
  covers (amount: Resources): boolean {
    return this.amounts.some((other) => fits(other, amount))
  }

  /** Forgets what fits into the room that a target has now. */
  noteFreed (free: Resources): void {
    if (this.amounts.some((amount) => fits(amount, free))) this.amounts = this.amounts.filter((amount) => !fits(amount, free))
  }

  clear (): void {
    this.amounts = []
  }
}
