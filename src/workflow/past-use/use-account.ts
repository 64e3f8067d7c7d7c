const MS_PER_S = 1_000

/**
 * Half-life of the recent mean, in seconds; also at most that of the account. A shorter one follows single jobs. A longer one
 * lets an organisation that was idle take all free room for about half as long.
 */
const RECENT_HALF_LIFE_S = 5

/** Dominant share of the cell by weight: the mean over the half-life of the account, and that over the last seconds. */
export type UseMeans = { readonly past: number, readonly recent: number }

/**
 * What one organisation has used: means of its share by weight, in which use that is one half-life old counts half. Means and
 * not sums, so that they have the unit of present use and survive a change of the half-life.
 */
export class UseAccount {
  private means: UseMeans = { past: 0, recent: 0 }
  /** Share by weight that is being charged since `settledAt`. */
  private rate = 0

  /** When it was last charged, or restored. */
  private usedAt: number

  private constructor (private readonly halfLifeS: number, private settledAt: number) {
    this.usedAt = settledAt
  }

  /**
   * Creates an account without use. `now` is the scheduler's clock, in milliseconds.
   *
   * @example
   * const account = UseAccount.create(3_600, now)
   * account.charge(0.25, now)
   * account.settle(now + 60_000) // { past: 0.0029, recent: 0.2499 }
   */
  static create (halfLifeS: number, now: number): UseAccount {
    return new UseAccount(halfLifeS, now)
  }

  /** Whether something is being charged. */
  get isCharging (): boolean {
    return this.rate > 0
  }

  /** How long nothing has been charged, in half-lives of the account. */
  computeIdleHalfLives (now: number): number {
    return this.isCharging ? 0 : (now - this.usedAt) / (this.halfLifeS * MS_PER_S)
  }

  /** Charges this share by weight from now on. */
  charge (rate: number, now: number): void {
    this.settle(now)
    if (rate > 0 || this.rate > 0) this.usedAt = now
    this.rate = rate
  }

  /** Brings the means up to `now`, and returns them. Between two calls the rate is constant, so that the result is exact. */
  settle (now: number): UseMeans {
    const elapsedMs = now - this.settledAt
    if (elapsedMs <= 0) return this.means
    this.settledAt = now
    const { past, recent } = this.means
    this.means = {
      past: past + (this.rate - past) * computeForgottenPart(elapsedMs, this.halfLifeS),
      recent: recent + (this.rate - recent) * computeForgottenPart(elapsedMs, Math.min(RECENT_HALF_LIFE_S, this.halfLifeS))
    }
    return this.means
  }

  /** Adds a past mean that was stored `ageMs` ago. */
  restore (past: number, ageMs: number, now: number): void {
    const means = this.settle(now)
    this.means = { ...means, past: means.past + past * (1 - computeForgottenPart(ageMs, this.halfLifeS)) }
  }
}

/** Part of a mean that the time since has replaced; precise for short times too. */
function computeForgottenPart (elapsedMs: number, halfLifeS: number): number {
  return -Math.expm1(-Math.LN2 * elapsedMs / (halfLifeS * MS_PER_S))
}
