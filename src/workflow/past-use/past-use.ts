import type { Demand } from '../job.ts'
import { NO_DEMAND } from '../job.ts'
import { computeCellShares } from './cell-shares.ts'
import { UseAccount } from './use-account.ts'
import type { UseMeans } from './use-account.ts'

/**
 * Accounts are forgotten after so many half-lives without use, when a millionth of them is left. A smallest amount would not do:
 * with a long half-life or a large weight, an account that decides orders is small too.
 */
const FORGOTTEN_HALF_LIVES = 20

/**
 * How much more the account counts than present use. At the moment when an organisation starts work, its present use is below its
 * mean, by more the larger its jobs are for its share; a small factor lets that decide.
 */
const ACCOUNT_FACTOR = 20

/** Use of an organisation at a time. `weight`: that of its share; `now`: the scheduler's clock, in milliseconds. */
export type PresentUse = { readonly organisation: string, readonly usage: Demand, readonly weight: number, readonly now: number }

/** Account as it is stored. */
export type StoredAccount = Pick<AccountEntry, 'organisation' | 'past'>

/** When the accounts were last stored and logged, on the scheduler's clock; undefined before the first tick. */
export type PastUseTimes = { storedAt: number | undefined, loggedAt: number | undefined, decisionLoggedAt: number, chargedSinceStored: boolean }

/** Account of an organisation: decayed means of its dominant share of the cell, divided by its weight. */
export type AccountEntry = UseMeans & { readonly organisation: string }

/**
 * The accounts of what the organisations have used. They are charged with each change of use, so that short runs count as
 * exactly as long ones.
 */
export class PastUse {
  readonly times: PastUseTimes = { storedAt: undefined, loggedAt: undefined, decisionLoggedAt: -Infinity, chargedSinceStored: false }
  private readonly accounts = new Map<string, UseAccount>()
  private capacity: Demand = NO_DEMAND

  private constructor (private readonly halfLifeS: number) {}

  /**
   * Creates empty accounts; with a half-life of 0 seconds nothing is charged and no order changes.
   *
   * @example
   * const pastUse = PastUse.create(3_600)
   * pastUse.setCapacity({ cpuMillis: 64_000, memoryMiB: 256_000, accelerators: 0 })
   * pastUse.charge({ organisation: 'zuu', usage, weight: 2, now })
   * pastUse.computeOrderKey({ organisation: 'zuu', usage, weight: 2, now: now + 50 })
   */
  static create (halfLifeS: number): PastUse {
    return new PastUse(halfLifeS)
  }

  get enabled (): boolean {
    return this.halfLifeS > 0
  }

  /** Sets the capacity of the cell, which counts with the next charge of each organisation. */
  setCapacity (capacity: Demand): void {
    this.capacity = capacity
  }

  /**
   * Charges an organisation for this use from now on. The weight is the one in force at the time of the use, so that a change
   * of it doesn't revalue the past. Use under a weight of 0 is charged as under 1: divided by next to nothing it would keep
   * the organisation behind all others long after it has got a weight.
   */
  charge ({ organisation, usage, weight, now }: PresentUse): void {
    if (!this.enabled) return
    const { dominant } = computeCellShares(usage, this.capacity)
    this.getAccount(organisation, now).charge(weight > 0 ? dominant / weight : dominant, now)
  }

  /**
   * Computes the value by which waiting work is ordered; smaller values go first, 0 without past use as a feature. It is
   * the account plus present use. Present use is measured in processors, as without the feature, so that equal accounts leave
   * the order as it is.
   */
  computeOrderKey ({ organisation, usage, weight, now }: PresentUse): number {
    if (!this.enabled) return 0
    const present = computeCellShares(usage, this.capacity).processors / Math.max(weight, Number.MIN_VALUE)
    const past = this.accounts.get(organisation)?.settle(now)
    return past === undefined ? present : present + ACCOUNT_FACTOR * (past.past + past.recent)
  }

  /** Whether any organisation is being charged. */
  get isCharging (): boolean {
    return [...this.accounts.values()].some(({ isCharging }) => isCharging)
  }

  /** Lists the accounts, largest first. */
  list (now: number): readonly AccountEntry[] {
    return [...this.accounts].map(([organisation, account]) => ({ organisation, ...account.settle(now) })).sort((left, right) => right.past - left.past)
  }

  /** Forgets the accounts of organisations that have used nothing for a long time. */
  prune (now: number): void {
    for (const [organisation, account] of this.accounts) {
      if (account.computeIdleHalfLives(now) > FORGOTTEN_HALF_LIVES) this.accounts.delete(organisation)
    }
  }

  /** Adds accounts that were stored `ageMs` ago. */
  restore (entries: readonly StoredAccount[], ageMs: number, now: number): void {
    for (const { organisation, past } of entries) this.getAccount(organisation, now).restore(past, ageMs, now)
  }

  private getAccount (organisation: string, now: number): UseAccount {
    const known = this.accounts.get(organisation)
    if (known !== undefined) return known
    const account = UseAccount.create(this.halfLifeS, now)
    this.accounts.set(organisation, account)
    return account
  }
}
