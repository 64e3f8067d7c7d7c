import type { Random } from '../../src/util/random.ts'
import type { ListedCompletion, RunOutcome, TargetEntry, TargetListing } from '../../src/workflow/target-entry.ts'
import { STEP, buildEntry } from './harness.ts'

export type SimulatedRun = { readonly task: string, readonly run: number, readonly startedAt: number, readonly endsAt: number, readonly fails: boolean, /** Whether it lasts until it is stopped; it has made all its progress then. */ readonly lasts: boolean }

export type StartRequest = { readonly task: string, readonly run: number, readonly leaseUntilMs: number, readonly epoch: number, readonly durationMs: number, readonly fails: boolean, /** Whether the target has no room for it. */ readonly lacksRoom: boolean }

/** Capacity of a target that did not shrink, in thousandths of a core. */
export const TARGET_CPU_MILLIS = 4_000
/** How long a capacity that has shrunk still counts: until the target must have told of it, and one report more. */
const SHRINK_GRACE_MS = 4_500
/** A longer lease is shortened to this, on the target's clock, unless its options say otherwise. */
export const LONGEST_LEASE_MS = 10_000
const MIN_CLOCK_RATE = 0.98

export const FIRST_INCARNATION = 1

export type CommandOutcome = 'accepted' | 'fenced' | 'superseded' | 'expired' | 'no-room'

export type SimulatedTargetOptions = {
  readonly id: string
  /** Rate of its clock; drawn if it is undefined. */
  readonly clockRate?: number | undefined
  /** A longer lease is shortened to this, on its clock. */
  readonly longestLeaseMs?: number
  readonly random: Random
  readonly onCompletion: (completion: ListedCompletion) => void
  /** `lapsed`: its lease lapsed between the completion and the acknowledgement. */
  readonly onAcknowledged: (completion: ListedCompletion, lapsed: boolean) => void
}

/** Simulates a target in virtual time, with its rules for leases, epochs and run numbers. Its clock may be 2% slow. */
export class SimulatedTarget {
  readonly runs = new Map<string, SimulatedRun>()
  /** Until then no command arrives and no response is sent, but its runs continue. */
  unreachableUntil = 0
  /** How requests end while it is away with all of its runs: without an answer, or refused by its host. */
  away: 'silent' | 'refusing' | undefined
  /** When this incarnation started, in virtual time. */
  incarnation = FIRST_INCARNATION
  draining = false
  /** When a leader first got a listing of this incarnation. */
  firstAnsweredAt = Infinity
  /** Whether it has left: nothing runs on it and it never responds again. */
  left = false
  private capacities = [{ at: 0, cpuMillis: TARGET_CPU_MILLIS }]
  private incarnationStartedAt = 0
  private epoch = 0
  private leaseUntilMs = 0
  private completions: ListedCompletion[] = []
  private completionNumber = 0
  /** The lease lapsed after the completions up to this number. */
  private lastNumberBeforeLapse = 0
  private readonly highestRunByTask = new Map<string, number>()

  private constructor (private readonly options: SimulatedTargetOptions, private readonly clockRate: number) {}

  static create (options: SimulatedTargetOptions): SimulatedTarget {
    return new SimulatedTarget(options, options.clockRate ?? MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * options.random.next())
  }

  get id (): string {
    return this.options.id
  }

  toEntry (): TargetEntry {
    const capacity = { ...buildEntry(this.id).capacity, cpuMillis: this.cpuMillis }
    return buildEntry(this.id, { incarnation: this.incarnation, draining: this.draining, capacity })
  }

  get cpuMillis (): number {
    return this.capacities.at(-1)!.cpuMillis
  }

  get usedCpuMillis (): number {
    return this.runs.size * STEP.demand.cpuMillis
  }

  /** Whether commands reach it. */
  isReachable (now: number): boolean {
    return this.away === undefined && this.unreachableUntil <= now
  }

  /** Goes away until it returns; its runs end without a completion. */
  goAway (away: 'silent' | 'refusing'): void {
    this.away = away
    this.runs.clear()
  }

  /** Returns as a new incarnation. */
  comeBack (now: number): void {
    this.away = undefined
    this.crash(now)
  }

  /** Changes the capacity; what runs goes on. */
  resize (cpuMillis: number, now: number): void {
    this.capacities.push({ at: now, cpuMillis })
  }

  /** The highest capacity that still counts. */
  getCpuLimit (now: number): number {
    const current = this.capacities.findLastIndex(({ at }) => at <= now - SHRINK_GRACE_MS)
    return Math.max(...this.capacities.slice(Math.max(0, current)).map(({ cpuMillis }) => cpuMillis))
  }

  clockAt (now: number): number {
    return (now - this.incarnationStartedAt) * this.clockRate
  }

  /** Leaves for good; its runs end without a completion. */
  leave (): void {
    this.left = true
    this.unreachableUntil = Infinity
    this.runs.clear()
  }

  /** Restarts with the same id and without any state. */
  crash (now: number): void {
    this.incarnation = Math.max(this.incarnation + 1, Math.floor(now))
    this.incarnationStartedAt = now
    this.epoch = 0
    this.firstAnsweredAt = Infinity
    this.leaseUntilMs = 0
    this.completionNumber = 0
    this.lastNumberBeforeLapse = 0
    this.completions = []
    this.runs.clear()
    this.highestRunByTask.clear()
  }

  start (request: StartRequest, now: number): CommandOutcome {
    this.completeDueRuns(now)
    if (request.epoch < this.epoch) return 'fenced'
    this.epoch = request.epoch
    if (this.runs.get(request.task)?.run === request.run) return 'accepted'
    if (request.leaseUntilMs <= this.clockAt(now)) return 'expired'
    this.extendLease(request.leaseUntilMs, now)
    if (request.run <= (this.highestRunByTask.get(request.task) ?? 0)) return 'superseded'
    if (request.lacksRoom) return 'no-room'
    this.highestRunByTask.set(request.task, request.run)
    this.runs.set(request.task, { task: request.task, run: request.run, startedAt: now, endsAt: now + request.durationMs, fails: request.fails, lasts: request.durationMs === Infinity })
    return 'accepted'
  }

  stop (task: string, run: number, epoch: number, now: number): CommandOutcome {
    this.completeDueRuns(now)
    if (epoch < this.epoch) return 'fenced'
    this.epoch = epoch
    this.highestRunByTask.set(task, Math.max(run, this.highestRunByTask.get(task) ?? 0))
    if (this.runs.get(task)?.run === run) this.completeRun(task, 'stopped')
    return 'accepted'
  }

  list (epoch: number, acknowledged: number, leaseUntilMs: number | undefined, now: number): TargetListing | 'fenced' {
    this.completeDueRuns(now)
    if (epoch < this.epoch) return 'fenced'
    this.epoch = epoch
    if (leaseUntilMs !== undefined) this.extendLease(leaseUntilMs, now)
    for (const completion of this.completions) {
      if (completion.number <= acknowledged) this.options.onAcknowledged(completion, completion.number <= this.lastNumberBeforeLapse)
    }
    this.completions = this.completions.filter(({ number }) => number > acknowledged)
    const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt, lasts }) => ({ task, run, checkpoint: '', percent: lasts ? 100 : Math.floor(100 * (now - startedAt) / (endsAt - startedAt)), gauge: undefined }))
    return { incarnation: this.incarnation, clockMs: Math.floor(this.clockAt(now)), running, ended: [...this.completions] }
  }

  /** Changes when a run ends. */
  setEnd (run: SimulatedRun, endsAt: number): void {
    this.runs.set(run.task, { ...run, endsAt })
  }

  /** Ends a run if it is present. */
  endRun (task: string, run: number, outcome: RunOutcome): void {
    if (this.runs.get(task)?.run === run) this.completeRun(task, outcome)
  }

  /** Completes the runs whose duration has passed or whose lease has expired. */
  completeDueRuns (now: number): void {
    const leaseEndsAt = this.incarnationStartedAt + this.leaseUntilMs / this.clockRate
    for (const { task, endsAt, fails } of [...this.runs.values()]) {
      if (endsAt <= Math.min(now, leaseEndsAt)) this.completeRun(task, fails ? 'failed' : 'done')
    }
    if (now <= leaseEndsAt) return
    this.lastNumberBeforeLapse = this.completionNumber
    for (const task of [...this.runs.keys()]) this.completeRun(task, 'lapsed')
  }

  private extendLease (leaseUntilMs: number, now: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(leaseUntilMs, this.clockAt(now) + (this.options.longestLeaseMs ?? LONGEST_LEASE_MS)))
  }

  private completeRun (task: string, outcome: RunOutcome): void {
    const { run } = this.runs.get(task)!
    this.runs.delete(task)
    this.completionNumber += 1
    const completion = { number: this.completionNumber, task, run, outcome, checkpoint: '' }
    this.completions.push(completion)
    this.options.onCompletion(completion)
  }
}
