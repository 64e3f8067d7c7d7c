import type { Demand } from './job.ts'
import { NO_DEMAND, sum } from './job.ts'
import type { LiveRun } from './live-run.ts'
import type { TargetEntry, TargetListing } from './target-entry.ts'

/** A target's steady clock may be this much slower than ours. */
const SLOWEST_CLOCK = 0.98
/** Allowance for the way of an order and for timers. */
const LAPSE_MARGIN_MS = 150

/** Runs on a target that never answered have lapsed after this time; more than any lease, in milliseconds. */
const UNHEARD_LAPSE_MS = 12_000

/** Weight of the newest run in the slowness of a target. */
const SLOWNESS_GAIN = 0.25

/** Failures and successes on a target in the recent past, weighed by age. */
const FAILURE_MEMORY_MS = 6_000

/** One target in one life: its room, what runs there, and when everything there has certainly lapsed. */
export class TargetState {
  readonly runs = new Map<string, LiveRun>()
  /** False from an unanswered order or listing until the next listing. */
  reachable = false
  /** Whether its runs have been listed under the present epoch. */
  listed = false
  /** Ends up to this number have been processed. */
  processed = 0
  /** Ends up to this number may be forgotten by the target. */
  acknowledged = 0
  /** Latest lease end that any order has named, on the target's clock. */
  leaseUntilMs = 0
  /** No start before this time, on the scheduler's clock. */
  pausedUntil = 0
  /** Listed runs of jobs that are not known here; the room they take is not known either. */
  unknownRuns = 0
  booked: Demand = NO_DEMAND
  /** Part of what is booked that is not urgent. */
  bookedByOthers: Demand = NO_DEMAND
  fillCpuMillis = 0
  serving = 0
  failures = 0
  successes = 0
  /** When a run failed last. */
  failedAt = -Infinity
  /** Recent run times as a multiple of the declared ones. */
  slowness = 1
  entry: TargetEntry
  /** Whether the entry is still published. */
  published = true
  private clock: { readonly clockMs: number, readonly at: number } | undefined
  private decayedAt = 0

  private constructor (entry: TargetEntry, readonly seenAt: number) {
    this.entry = entry
  }

  static create (entry: TargetEntry, now: number): TargetState {
    return new TargetState(entry, now)
  }

  get id (): string {
    return this.entry.id
  }

  noteClock (clockMs: number, now: number): void {
    this.clock = { clockMs, at: now }
  }

  /** Time on the target's clock, at most; undefined before its first answer. */
  clockAt (now: number): number | undefined {
    return this.clock === undefined ? undefined : this.clock.clockMs + (now - this.clock.at)
  }

  /** When all runs have certainly lapsed, on the scheduler's clock. */
  lapsesAt (): number {
    if (this.clock === undefined) return this.seenAt + UNHEARD_LAPSE_MS
    const remaining = Math.max(0, this.leaseUntilMs - this.clock.clockMs)
    return this.clock.at + remaining / SLOWEST_CLOCK + LAPSE_MARGIN_MS
  }

  /** Room that is not booked. */
  free (): Demand {
    const { capacity } = this.entry
    return {
      cpuMillis: capacity.cpuMillis - this.booked.cpuMillis,
      memoryMiB: capacity.memoryMiB - this.booked.memoryMiB,
      accelerators: capacity.accelerators - this.booked.accelerators
    }
  }

  add (run: LiveRun): void {
    this.runs.set(runKey(run), run)
    this.book(run, 1)
  }

  remove (run: LiveRun): void {
    if (this.runs.delete(runKey(run))) this.book(run, -1)
  }

  find (task: string, run: number): LiveRun | undefined {
    return this.runs.get(`${task}#${run}`)
  }

  /** Whether a listing is of this life of the target. */
  isOf (listing: TargetListing): boolean {
    return listing.incarnation === this.entry.incarnation
  }

  noteOutcome (failed: boolean, now: number): void {
    this.decay(now)
    if (failed) {
      this.failures += 1
      this.failedAt = now
    } else {
      this.successes += 1
    }
  }

  noteDuration (durationMs: number, estimatedMs: number): void {
    if (estimatedMs > 0) this.slowness += SLOWNESS_GAIN * (durationMs / estimatedMs - this.slowness)
  }

  /** Part of the recent ends that were failures, with one success assumed. */
  failureShare (now: number): number {
    this.decay(now)
    return this.failures / (this.failures + this.successes + 1)
  }

  private decay (now: number): void {
    const factor = Math.exp(-(now - this.decayedAt) / FAILURE_MEMORY_MS)
    this.decayedAt = now
    this.failures *= factor
    this.successes *= factor
  }

  private book (run: LiveRun, sign: 1 | -1): void {
    const { demand, fills, latencyTargetMs } = run.task.step.spec
    const change = { cpuMillis: fills ? 0 : sign * demand.cpuMillis, memoryMiB: sign * demand.memoryMiB, accelerators: sign * demand.accelerators }
    this.booked = sum(this.booked, change)
    if (!run.urgent) this.bookedByOthers = sum(this.bookedByOthers, change)
    if (fills) this.fillCpuMillis += sign * demand.cpuMillis
    if (latencyTargetMs > 0) this.serving += sign
  }
}

function runKey (run: LiveRun): string {
  return `${run.task.key}#${run.run}`
}
