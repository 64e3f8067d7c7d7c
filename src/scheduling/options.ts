import type { Profile } from '../model/configuration.ts'

/** How a target is chosen among those with enough free capacity. */
export type PackingPolicy = 'best-fit' | 'dot-product' | 'least-fragmentation' | 'first-fit'

/** Options of `Scheduler.create`; each has a default in `DEFAULT_OPTIONS`. */
export type SchedulerOptions = {
  /** Seed of the random numbers used for spreading and jitter. */
  readonly seed: number
  readonly packingPolicy: PackingPolicy
  /** Number of placement attempts after one event other than `tick`. */
  readonly attemptsPerEvent: number
  /** Number of placement attempts after one `tick`. */
  readonly attemptsPerTick: number
  /** Number of targets compared in each failure domain for one placement. */
  readonly candidatesPerDomain: number
  /**
   * Minimum ratio of booked to declared processor time and memory, 0 to 1; estimates do not lower a booking below it.
   * With 1 a task never books less than declared, as required by targets that check declared sizes.
   */
  readonly minBookedRatio: number
  /** Number of targets in the group from which on capacity is reserved for urgent work. */
  readonly minTargetsForReserve: number
}

/** Options that apply when `Scheduler.create` is not given others. */
export const DEFAULT_OPTIONS: SchedulerOptions = {
  seed: 1,
  packingPolicy: 'best-fit',
  attemptsPerEvent: 16,
  attemptsPerTick: 256,
  candidatesPerDomain: 6,
  minBookedRatio: 1,
  minTargetsForReserve: 20
}

/** Settings in which the two profiles differ. */
export type ProfileSettings = {
  /** Fraction of each resource that only urgent work may use. */
  readonly urgentReserveRatio: number
  /** Whether batch work is moved immediately from a failure domain that is out or a target that is leaving. */
  readonly movesBatchImmediately: boolean
  /** How long a team below its entitled share waits before lent capacity is reclaimed for it. */
  readonly reclaimAfterMs: number
  /** Duration of the first reservation of a gang. */
  readonly gangReservationMs: number
}

const PROFILES: Readonly<Record<Profile['weighs'], ProfileSettings>> = {
  packing: { urgentReserveRatio: 0.01, movesBatchImmediately: false, reclaimAfterMs: 2000, gangReservationMs: 30_000 },
  prompt: { urgentReserveRatio: 0.03, movesBatchImmediately: true, reclaimAfterMs: 1000, gangReservationMs: 15_000 }
}

/**
 * Returns the settings of a profile.
 *
 * @example
 * getProfileSettings('prompt').urgentReserveRatio // 0.03
 */
export function getProfileSettings (weighs: Profile['weighs']): ProfileSettings {
  return PROFILES[weighs]
}
