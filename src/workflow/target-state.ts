import type { Demand } from './job.ts'
import { NO_DEMAND, addDemands } from './job.ts'
import type { LiveRun } from './live-run.ts'
import type { CellOptions } from './options.ts'
import { formatRunKey } from './run-key.ts'
import type { TargetEntry, TargetListing } from './target-entry.ts'
import { LATE_COMMAND_MS } from './commands/unanswered-starts.ts'
import type { UnansweredStart } from './commands/unanswered-starts.ts'

/** Minimum rate of a target's monotonic clock relative to ours. */
const MIN_CLOCK_RATE_RATIO = 0.98
/** Allowance for the transmission of a command and for timers. */
const EXPIRY_MARGIN_MS = 150

/** Leases on a target that never responded have expired after this time, which is longer than any lease. */
const UNKNOWN_CLOCK_EXPIRY_MS = 12_000

/** Weight of the latest run in the moving average of a target's slowness. */
const SLOWNESS_SMOOTHING_FACTOR = 0.25

/** Time constant with which recorded failures and successes of a target decay. */
const FAILURE_DECAY_MS = 6_000

/** State of one incarnation of a target: its bookings, its runs, and when all their leases have certainly expired. */
export class TargetState {
  readonly runs = new Map<string, LiveRun>()
  /** Starts that may still be executed, by the keys of their runs; also of runs that have ended. */
  readonly unansweredStarts = new Map<string, UnansweredStart>()
  /** False before the first listing, and from a failed list request until the next listing. */
  reachable = false
  /** Whether its runs have been listed in the current epoch. */
  listed = false
  /** Completions up to this number have been processed. */
  lastProcessed = 0
  /** The target may discard completions up to this number. */
  lastAcknowledged = 0
  /** Cursor in the last list request. */
  sentCursor = 0
  /** Highest cursor that the target has answered. */
  answeredCursor = 0
  /** Listings in a row that were requested without lease and cursor. */
  reducedListings = 0
  /** Whether the last list request had no answer, so that the target may have restarted. */
  listUnanswered = false
  /** Latest lease expiry that any command or list request has set, on the target's clock. */
  leaseUntilMs = 0
  /** Whether its host refuses connections or another target responds there; reset by a listing. */
  processEnded = false
  /** When the last start command was sent, on the scheduler's clock. */
  lastStartAt = -Infinity
  /** No task starts before this time, on the scheduler's clock. */
  pausedUntil = 0
  /** Number of listed runs of unknown jobs; their demand is unknown too. */
  unknownRunCount = 0
  booked: Demand = NO_DEMAND
  /** Part of `booked` for non-urgent tasks. */
  bookedNonUrgent: Demand = NO_DEMAND
  /** Cpu demand of best-effort runs; not part of `booked`. */
  bestEffortCpuMillis = 0
  latencyBoundRuns = 0
  recentFailures = 0
  recentSuccesses = 0
  /** When a run last failed, on the scheduler's clock. */
  lastFailureAt = -Infinity
  /** Moving average of run durations as a multiple of the estimated ones. */
  slowness = 1
  entry: TargetEntry
  /** Whether its entry is that of an earlier incarnation, so that its capacity is unknown. */
  awaitsEntry = false
  /** Whether the entry is still published. */
  published = true
  /** Whether it has restarted and gets no starts while others have room, so that nobody has to wait for its leases. */
  spare = false
  /** How often this owner has revoked its commands to targets of this id. */
  revocations = 0
  /** Whether no owner had it on the stored list when it was first seen, so that nothing had been started there. */
  unused = false
  private clock: { readonly clockMs: number, readonly readAt: number } | undefined
  /** When a command or list request last asked for a lease, on the scheduler's clock. */
  leaseRequestedAt = -Infinity
  /** When the leases that were measured on the clocks of earlier incarnations have expired, on the scheduler's clock. */
  private earlierLeasesEndAt = -Infinity
  /** How long leases may go on that were given before its first response here. */
  private unknownClockExpiryMs = UNKNOWN_CLOCK_EXPIRY_MS
  /** When it first answered a request that was sent to it as this incarnation; undefined before that. */
  private fencedAt: number | undefined
  private decayedAt = 0

  /** `restarts`: how often a target of this id has restarted under this owner. */
  private constructor (entry: TargetEntry, readonly firstSeenAt: number, readonly restarts: number) {
    this.entry = entry
  }

  static create (entry: TargetEntry, now: number, restarts = 0): TargetState {
    return new TargetState(entry, now, restarts)
  }

  get id (): string {
    return this.entry.id
  }

  /** The series of commands that this owner sends now. A target that has got a command of a later series does nothing for an earlier one. */
  get commandSeries (): number {
    return this.restarts + this.revocations
  }

  recordClock (clockMs: number, now: number): void {
    this.clock = { clockMs, readAt: now }
  }

  /** Records that a command or list request asks for a lease, which ends at this time on the target's clock. */
  extendLease (leaseUntilMs: number, now: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, leaseUntilMs)
    this.leaseRequestedAt = now
  }

  /**
   * Records the leases that other owners may have given until the first listing. They asked for `leaseMs`; but a lease measured
   * on the clock of the incarnation before is as long as a lease can be, and one that is cut off may not notice the restart.
   */
  recordEarlierLeases (clockMs: number, mayBeForeign: boolean, { leaseMs, longestLeaseMs }: Pick<CellOptions, 'leaseMs' | 'longestLeaseMs'>): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.floor(clockMs + (mayBeForeign ? longestLeaseMs : leaseMs)))
  }

  /**
   * Records that it has answered a request sent at that time. The request carried a higher fencing number than any to earlier
   * incarnations or by earlier owners, which give no more leases from then on.
   */
  recordFirstAnswer (sentAt: number, now: number, longestLeaseMs: number): void {
    if (this.fencedAt !== undefined || sentAt <= this.firstSeenAt) return
    this.fencedAt = now
    this.earlierLeasesEndAt = Math.min(this.earlierLeasesEndAt, computeLastExpiry(now, longestLeaseMs))
  }

  /** Whether calls to earlier incarnations and of earlier owners have no effect any more. */
  get fenced (): boolean {
    return this.fencedAt !== undefined
  }

  /** Whether all leases that were measured on the clocks of earlier incarnations have certainly expired by this time. */
  haveEarlierLeasesExpiredBy (time: number, longestLeaseMs: number): boolean {
    return this.fencedAt !== undefined && time >= computeLastExpiry(this.fencedAt, longestLeaseMs)
  }

  /** When all leases that were measured on the clocks of earlier incarnations have certainly expired; undefined before it has answered. */
  getLastEarlierExpiry (longestLeaseMs: number): number | undefined {
    return this.fencedAt === undefined ? undefined : computeLastExpiry(this.fencedAt, longestLeaseMs)
  }

  /** Records when the leases have ended that were measured on the clocks of earlier incarnations, as an earlier owner knew it. */
  recordEarlierLeasesEnd (endsAt: number): void {
    this.earlierLeasesEndAt = Math.max(this.earlierLeasesEndAt, endsAt)
  }

  /** Records that commands to the incarnation before may still reach this one, which takes their leases for the longest ones. */
  inheritLeases (previous: TargetState, longestLeaseMs: number): void {
    const lastEndsAt = computeLastExpiry(previous.leaseRequestedAt + LATE_COMMAND_MS, longestLeaseMs)
    this.earlierLeasesEndAt = Math.max(previous.earlierLeasesEndAt, lastEndsAt)
  }

  /** Records that no command to the incarnation before reaches this one, so that an earlier owner gave the only leases, if any. */
  expectOwnLeases (previous: TargetState, leaseMs: number): void {
    this.earlierLeasesEndAt = previous.earlierLeasesEndAt
    this.unknownClockExpiryMs = toSchedulerTime(leaseMs) + EXPIRY_MARGIN_MS
  }

  /** When it last responded, on the scheduler's clock. */
  get lastHeardAt (): number {
    return this.clock?.readAt ?? this.firstSeenAt
  }

  /** Whether this incarnation has answered this owner. */
  get hasAnswered (): boolean {
    return this.clock !== undefined
  }

  /** Upper estimate of the time on the target's clock; undefined before its first response. */
  estimateClockMs (now: number): number | undefined {
    return this.clock === undefined ? undefined : this.clock.clockMs + (now - this.clock.readAt)
  }

  /** When all leases have certainly expired, on the scheduler's clock. */
  getExpiryTime (): number {
    return Math.max(this.earlierLeasesEndAt, this.getOwnLeaseExpiryTime())
  }

  private getOwnLeaseExpiryTime (): number {
    if (this.clock === undefined) return this.firstSeenAt + this.unknownClockExpiryMs
    const remainingMs = Math.max(0, this.leaseUntilMs - this.clock.clockMs)
    return this.clock.readAt + toSchedulerTime(remainingMs) + EXPIRY_MARGIN_MS
  }

  /** Capacity that is not booked. */
  getFreeCapacity (): Demand {
    const { capacity } = this.entry
    return {
      cpuMillis: capacity.cpuMillis - this.booked.cpuMillis,
      memoryMiB: capacity.memoryMiB - this.booked.memoryMiB,
      accelerators: capacity.accelerators - this.booked.accelerators
    }
  }

  add (run: LiveRun): void {
    this.runs.set(formatRunKey(run.task.key, run.run), run)
    this.updateBookings(run, 1)
  }

  remove (run: LiveRun): void {
    if (this.runs.delete(formatRunKey(run.task.key, run.run))) this.updateBookings(run, -1)
  }

  find (task: string, run: number): LiveRun | undefined {
    return this.runs.get(formatRunKey(task, run))
  }

  /** Whether a listing is of this incarnation of the target. */
  matchesIncarnation (listing: TargetListing): boolean {
    return listing.incarnation === this.entry.incarnation
  }

  recordOutcome (failed: boolean, now: number): void {
    this.decay(now)
    if (failed) {
      this.recentFailures += 1
      this.lastFailureAt = now
    } else {
      this.recentSuccesses += 1
    }
  }

  recordDuration (durationMs: number, estimatedMs: number): void {
    if (estimatedMs > 0) this.slowness += SLOWNESS_SMOOTHING_FACTOR * (durationMs / estimatedMs - this.slowness)
  }

  /** Ratio of failures among recent completions. One success is added, so that a single failure does not give a ratio of 1. */
  computeFailureRatio (now: number): number {
    this.decay(now)
    return this.recentFailures / (this.recentFailures + this.recentSuccesses + 1)
  }

  private decay (now: number): void {
    const factor = Math.exp(-(now - this.decayedAt) / FAILURE_DECAY_MS)
    this.decayedAt = now
    this.recentFailures *= factor
    this.recentSuccesses *= factor
  }

  private updateBookings (run: LiveRun, sign: 1 | -1): void {
    const { demand, fills, latencyTargetMs } = run.task.step.spec
    const change = { cpuMillis: fills ? 0 : sign * demand.cpuMillis, memoryMiB: sign * demand.memoryMiB, accelerators: sign * demand.accelerators }
    this.booked = addDemands(this.booked, change)
    if (!run.urgent) this.bookedNonUrgent = addDemands(this.bookedNonUrgent, change)
    if (fills) this.bestEffortCpuMillis += sign * demand.cpuMillis
    if (latencyTargetMs > 0) this.latencyBoundRuns += sign
  }
}

/**
 * Computes when all leases have certainly expired that were given up to a time, on the scheduler's clock.
 *
 * @example
 * computeLastExpiry(1_000, 3_500) // 4_722: the slowest clock of a target runs at 98%
 */
export function computeLastExpiry (givenUntil: number, longestLeaseMs: number): number {
  return givenUntil + toSchedulerTime(longestLeaseMs) + EXPIRY_MARGIN_MS
}

/** Longest time that a period on a target's clock takes on the scheduler's clock. */
function toSchedulerTime (periodMs: number): number {
  return periodMs / MIN_CLOCK_RATE_RATIO
}
