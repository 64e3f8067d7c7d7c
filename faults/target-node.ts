import { err, type Result } from 'neverthrow'
import type { Target } from '../src/model/target.ts'
import { scale } from '../src/model/resources.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../src/ports/target-client.ts'
import { InMemoryTarget, type Checkpoints, type Execution } from '../src/standins/target.ts'
import type { EventQueue } from './event-queue.ts'
import type { ObservedEvent } from './history.ts'

type CallResult = Result<TargetResponse, TargetFailure>
type Respond = (answer: CallResult) => void
type SyncCall = Extract<TargetCall, { type: 'sync' }>
type PendingSync = { readonly call: SyncCall, readonly startedAt: number, readonly respond: Respond }

export type TargetNodeOptions = {
  readonly target: Target
  readonly queue: EventQueue
  readonly checkpoints: Checkpoints
  readonly observe: (observed: ObservedEvent) => void
  /** Changes each call before it is handled; used by broken variants of the target. */
  readonly alterCall?: (call: TargetCall) => TargetCall
}

/**
 * Capacity of the stand-in relative to the listed capacity. With the listed capacity, the stand-in would refuse a start
 * that exceeds it, and the check of guarantee 1 would not see the start.
 */
const CAPACITY_FACTOR = 3
/**
 * Uptime of the targets when the members start. It exceeds the retention time of results, because an owner does not rely
 * on the results of a target that has run for less, and would refuse every repeatable request of the run.
 */
const UPTIME_MS = 1_000_000

/** Process of a target: adds crashes, pauses and pending syncs to the in-memory target, and observes its tasks. */
export class TargetNode {
  private readonly target: InMemoryTarget
  private pendingSyncs: PendingSync[] = []
  private observedExecutionCount = 0
  private runningExecutions: Execution[] = []
  private nextWakeUpAt = Infinity
  private downUntil = 0
  private pausedUntil = 0

  private constructor (private readonly options: TargetNodeOptions) {
    this.target = InMemoryTarget.create({ capacity: scale(options.target.capacity, CAPACITY_FACTOR), checkpoints: options.checkpoints })
  }

  static create (options: TargetNodeOptions): TargetNode {
    return new TargetNode(options)
  }

  get listed (): Target {
    return this.options.target
  }

  get runningCount (): number {
    return this.runningExecutions.length
  }

  /** Kills the process, which loses all tasks and restarts after `forMs`. */
  kill (forMs: number): void {
    const { queue, observe, target } = this.options
    this.advance()
    this.downUntil = queue.now + forMs
    this.pendingSyncs = []
    this.runningExecutions = []
    this.target.restart(this.now)
    observe({ type: 'target-died', target: target.id })
    queue.after(forMs, () => this.target.restart(this.now))
  }

  /** Handles no calls for `forMs`; the tasks and the task lease continue. */
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
    const altered = this.options.alterCall?.(call) ?? call
    const answer = this.target.call(this.now, altered)
    if (answer !== 'waiting') respond(this.withListedCapacity(answer))
    else if (altered.type === 'sync') this.addPendingSync({ call: altered, startedAt: this.now, respond })
    this.advance()
  }

  /** Current time on the target's own clock. */
  private get now (): number {
    return this.options.queue.now + UPTIME_MS
  }

  private withListedCapacity (answer: CallResult): CallResult {
    return answer.map((value) => value.type === 'adopt' ? { ...value, capacity: this.options.target.capacity } : value)
  }

  private addPendingSync (waiting: PendingSync): void {
    this.pendingSyncs.push(waiting)
    this.options.queue.after(waiting.call.waitMs, () => this.advance())
  }

  /** Advances the stand-in to the current time, observes completions before starts, answers syncs and schedules the next wake-up. */
  private advance (): void {
    this.target.advance(this.now)
    this.observeCompletions()
    this.observeStarts()
    this.resumePendingSyncs()
    this.scheduleWakeUp()
  }

  private observeCompletions (): void {
    const ended = this.runningExecutions.filter((execution) => execution.endedAt !== undefined)
    this.runningExecutions = this.runningExecutions.filter((execution) => execution.endedAt === undefined)
    ended.forEach((execution) => this.observeCompletion(execution))
  }

  private observeCompletion ({ taskId, attempt, outcome }: Execution): void {
    const stopped = { type: 'stopped', checkpointed: false } as const
    this.options.observe({ type: 'task-ended', target: this.options.target.id, taskId, attempt, outcome: outcome ?? stopped })
  }

  private observeStarts (): void {
    const started = this.target.executions.slice(this.observedExecutionCount)
    this.observedExecutionCount += started.length
    for (const execution of started) {
      const { taskId, attempt, work } = execution
      const token = (work.payload as { readonly token?: string } | undefined)?.token ?? 'none'
      this.options.observe({ type: 'task-started', target: this.options.target.id, taskId, attempt, token, team: work.team, resources: work.resources })
      if (execution.endedAt === undefined) this.runningExecutions.push(execution)
      else this.observeCompletion(execution)
    }
  }

  private resumePendingSyncs (): void {
    const waiting = this.pendingSyncs
    this.pendingSyncs = []
    for (const entry of waiting) {
      const answer = this.target.resume(this.now, entry.call, entry.startedAt)
      if (answer === 'waiting') this.pendingSyncs.push(entry)
      else entry.respond(answer)
    }
  }

  private scheduleWakeUp (): void {
    const { queue } = this.options
    const next = (this.target.nextEventAt() ?? Infinity) - UPTIME_MS
    if (next === Infinity || (this.nextWakeUpAt > queue.now && this.nextWakeUpAt <= next)) return
    this.nextWakeUpAt = next
    queue.at(next, () => this.advance())
  }
}
