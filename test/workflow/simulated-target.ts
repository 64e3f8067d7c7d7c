import type { Random } from '../../src/util/random.ts'
import type { ListedEnd, RunEnding, TargetEntry, TargetListing } from '../../src/workflow/target-entry.ts'
import { entry } from './harness.ts'

export type SimulatedRun = { readonly task: string, readonly run: number, readonly startedAt: number, readonly endsAt: number, readonly fails: boolean }

export type StartRequest = { readonly task: string, readonly run: number, readonly leaseUntilMs: number, readonly epoch: number, readonly durationMs: number, readonly fails: boolean }

export type Outcome = 'accepted' | 'fenced' | 'superseded' | 'expired'

/** A target in virtual time that keeps to the rules for leases, epochs and run numbers; its clock may be 2% slow. */
export class SimulatedTarget {
  readonly runs = new Map<string, SimulatedRun>()
  /** Until then nothing reaches it and it answers nothing; it runs on. */
  silentUntil = 0
  incarnation = 1
  private bornAt = 0
  private epoch = 0
  private leaseUntilMs = 0
  private ended: ListedEnd[] = []
  private endNumber = 0
  private readonly highestRun = new Map<string, number>()

  private constructor (readonly id: string, private readonly clockRate: number, private readonly onEnd: (end: ListedEnd) => void, private readonly onAcknowledged: (end: ListedEnd) => void) {}

  static create (id: string, random: Random, onEnd: (end: ListedEnd) => void, onAcknowledged: (end: ListedEnd) => void): SimulatedTarget {
    return new SimulatedTarget(id, 0.98 + 0.02 * random.next(), onEnd, onAcknowledged)
  }

  published (): TargetEntry {
    return entry(this.id, { incarnation: this.incarnation })
  }

  clockAt (now: number): number {
    return (now - this.bornAt) * this.clockRate
  }

  /** Loses everything and starts anew under its id. */
  crash (now: number): void {
    this.incarnation += 1
    this.bornAt = now
    this.epoch = 0
    this.leaseUntilMs = 0
    this.endNumber = 0
    this.ended = []
    this.runs.clear()
    this.highestRun.clear()
  }

  start (request: StartRequest, now: number): Outcome {
    this.settle(now)
    if (request.epoch < this.epoch) return 'fenced'
    this.epoch = request.epoch
    if (this.runs.get(request.task)?.run === request.run) return 'accepted'
    if (request.leaseUntilMs <= this.clockAt(now)) return 'expired'
    this.leaseUntilMs = Math.max(this.leaseUntilMs, request.leaseUntilMs)
    if (request.run <= (this.highestRun.get(request.task) ?? 0)) return 'superseded'
    this.highestRun.set(request.task, request.run)
    this.runs.set(request.task, { task: request.task, run: request.run, startedAt: now, endsAt: now + request.durationMs, fails: request.fails })
    return 'accepted'
  }

  stop (task: string, run: number, epoch: number, now: number): Outcome {
    this.settle(now)
    if (epoch < this.epoch) return 'fenced'
    this.epoch = epoch
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped')
    return 'accepted'
  }

  list (epoch: number, acknowledged: number, leaseUntilMs: number | undefined, now: number): TargetListing | 'fenced' {
    this.settle(now)
    if (epoch < this.epoch) return 'fenced'
    this.epoch = epoch
    if (leaseUntilMs !== undefined) this.leaseUntilMs = Math.max(this.leaseUntilMs, leaseUntilMs)
    for (const end of this.ended) {
      if (end.number <= acknowledged) this.onAcknowledged(end)
    }
    this.ended = this.ended.filter(({ number }) => number > acknowledged)
    const running = [...this.runs.values()].map(({ task, run, startedAt, endsAt }) => ({ task, run, checkpoint: '', percent: Math.floor(100 * (now - startedAt) / (endsAt - startedAt)), gauge: undefined }))
    return { incarnation: this.incarnation, clockMs: Math.floor(this.clockAt(now)), running, ended: [...this.ended] }
  }

  /** Ends what is due by now. */
  settle (now: number): void {
    const lapsed = this.clockAt(now) > this.leaseUntilMs
    for (const { task, endsAt, fails } of [...this.runs.values()]) {
      if (lapsed) this.end(task, 'lapsed')
      else if (endsAt <= now) this.end(task, fails ? 'failed' : 'done')
    }
  }

  private end (task: string, ending: RunEnding): void {
    const { run } = this.runs.get(task)!
    this.runs.delete(task)
    this.endNumber += 1
    const end = { number: this.endNumber, task, run, ending, checkpoint: '' }
    this.ended.push(end)
    this.onEnd(end)
  }
}
