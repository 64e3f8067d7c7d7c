import { err, type Result } from 'neverthrow'
import type { Target } from '../src/model/target.ts'
import { scale } from '../src/model/resources.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../src/ports/target-client.ts'
import { InMemoryTarget, type Checkpoints, type Execution } from '../src/standins/target.ts'
import type { EventQueue } from './event-queue.ts'
import type { Observed } from './history.ts'

type Answer = Result<TargetResponse, TargetFailure>
type Respond = (answer: Answer) => void
type SyncCall = Extract<TargetCall, { type: 'sync' }>
type Waiting = { readonly call: SyncCall, readonly startedAt: number, readonly respond: Respond }

export type TargetNodeOptions = {
  readonly target: Target
  readonly queue: EventQueue
  readonly checkpoints: Checkpoints
  readonly observe: (observed: Observed) => void
  /** Changes a call before it is handled; used by broken variants of the target. */
  readonly alter?: (call: TargetCall) => TargetCall
}

/**
 * The stand-in has more room than its host, so that a start without room is seen by the check of guarantee 1 instead of
 * being hidden by a refusal of the stand-in.
 */
const HIDDEN_ROOM_FACTOR = 3
/**
 * Time that the targets have run before the members start. It is above the retention of results, because an owner doubts
 * the results of younger targets and would refuse every repeatable request of the run.
 */
const UPTIME_MS = 1_000_000

/** A target's process: death, pause and waiting syncs around the in-memory target, with what it shows of its tasks. */
export class TargetNode {
  private readonly target: InMemoryTarget
  private waiting: Waiting[] = []
  private seen = 0
  private open: Execution[] = []
  private wakesAt = Infinity
  private downUntil = 0
  private pausedUntil = 0

  private constructor (private readonly options: TargetNodeOptions) {
    this.target = InMemoryTarget.create({ capacity: scale(options.target.capacity, HIDDEN_ROOM_FACTOR), checkpoints: options.checkpoints })
  }

  static create (options: TargetNodeOptions): TargetNode {
    return new TargetNode(options)
  }

  get listed (): Target {
    return this.options.target
  }

  get running (): number {
    return this.open.length
  }

  /** Loses all tasks and starts again after a while. */
  die (forMs: number): void {
    const { queue, observe, target } = this.options
    this.advance()
    this.downUntil = queue.now + forMs
    this.waiting = []
    this.open = []
    this.target.restart(this.now)
    observe({ type: 'target-died', target: target.id })
    queue.after(forMs, () => this.target.restart(this.now))
  }

  /** Handles no call for a while; the tasks and the task lease run on. */
  pause (forMs: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.options.queue.now + forMs)
  }

  setFailing (failing: boolean): void {
    this.target.setFailing(failing)
  }

  handle (call: TargetCall, respond: Respond): void {
    const { queue } = this.options
    if (queue.now < this.pausedUntil) {
      queue.at(this.pausedUntil, () => this.handle(call, respond))
      return
    }
    if (queue.now < this.downUntil) {
      respond(err({ reason: 'unavailable', verdict: 'not-run' }))
      return
    }
    this.advance()
    const altered = this.options.alter?.(call) ?? call
    const answer = this.target.call(this.now, altered)
    if (answer !== 'waiting') respond(this.withListedCapacity(answer))
    else if (altered.type === 'sync') this.wait({ call: altered, startedAt: this.now, respond })
    this.advance()
  }

  /** The target's own clock. */
  private get now (): number {
    return this.options.queue.now + UPTIME_MS
  }

  private withListedCapacity (answer: Answer): Answer {
    return answer.map((value) => value.type === 'adopt' ? { ...value, capacity: this.options.target.capacity } : value)
  }

  private wait (waiting: Waiting): void {
    this.waiting.push(waiting)
    this.options.queue.after(waiting.call.waitMs, () => this.advance())
  }

  /** Brings the stand-in to the present, reports ends before starts, answers syncs and plans the next wake-up. */
  private advance (): void {
    this.target.advance(this.now)
    this.reportEnds()
    this.reportStarts()
    this.resume()
    this.planWake()
  }

  private reportEnds (): void {
    const ended = this.open.filter((execution) => execution.endedAt !== undefined)
    this.open = this.open.filter((execution) => execution.endedAt === undefined)
    ended.forEach((execution) => this.reportEnd(execution))
  }

  private reportEnd ({ taskId, attempt, outcome }: Execution): void {
    const stopped = { type: 'stopped', checkpointed: false } as const
    this.options.observe({ type: 'task-ended', target: this.options.target.id, taskId, attempt, outcome: outcome ?? stopped })
  }

  private reportStarts (): void {
    const started = this.target.executions.slice(this.seen)
    this.seen += started.length
    for (const execution of started) {
      const { taskId, attempt, work } = execution
      const token = (work.payload as { readonly token?: string } | undefined)?.token ?? 'none'
      this.options.observe({ type: 'task-started', target: this.options.target.id, taskId, attempt, token, team: work.team, resources: work.resources })
      if (execution.endedAt === undefined) this.open.push(execution)
      else this.reportEnd(execution)
    }
  }

  private resume (): void {
    const waiting = this.waiting
    this.waiting = []
    for (const entry of waiting) {
      const answer = this.target.resume(this.now, entry.call, entry.startedAt)
      if (answer === 'waiting') this.waiting.push(entry)
      else entry.respond(answer)
    }
  }

  private planWake (): void {
    const { queue } = this.options
    const next = (this.target.nextEventAt() ?? Infinity) - UPTIME_MS
    if (next === Infinity || (this.wakesAt > queue.now && this.wakesAt <= next)) return
    this.wakesAt = next
    queue.at(next, () => this.advance())
  }
}
