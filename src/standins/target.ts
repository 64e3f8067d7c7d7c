import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Epoch, GroupNumber, TaskId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import { NO_RESOURCES, add, fits, subtract } from '../model/resources.ts'
import type { TaskUsage } from '../model/target.ts'
import type { TaskOutcome, Work } from '../model/work.ts'
import type { StartRefusal, TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import { assertNever } from '../util/assert-never.ts'
import { EndedTasks } from './ended-tasks.ts'
import { parsePayload } from './payload.ts'

/** Run time in milliseconds that a checkpointed task has behind it; shared by the targets of one fleet. */
export type Checkpoints = Map<TaskId, number>

export type InMemoryTargetOptions = {
  readonly capacity: Resources
  /** Age of the usage that `sync` reports, in milliseconds. Default 2,000. */
  readonly usageLagMs?: number
  /** Where checkpointed tasks leave their progress. Default: a map of this target alone. */
  readonly checkpoints?: Checkpoints
  /** When the target was started, for `upMs`. Default 0. */
  readonly startedAt?: number
}

/** One run of a task, for checks; `endedAt` is undefined while it runs. */
export type Execution = {
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly startedAt: number
  readonly endedAt: number | undefined
  /** Undefined while the task runs, and after a restart of the target. */
  readonly outcome: TaskOutcome | undefined
}

type Running = {
  readonly group: GroupNumber
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly startedAt: number
  /** Progress that an earlier attempt saved, in milliseconds of run time. */
  readonly savedMs: number
  endsAt: number
  throttledAt: number | undefined
  readonly execution: { endedAt: number | undefined, outcome: TaskOutcome | undefined }
}

/** The present task lease of a group. */
type Ownership = { readonly epoch: Epoch, readonly lease: number, leaseUntil: number }

type AdoptCall = Extract<TargetCall, { type: 'adopt' }>
type SyncCall = Extract<TargetCall, { type: 'sync' }>
type Answer = Result<TargetResponse, TargetFailure>

const DEFAULT_USAGE_LAG_MS = 2_000

/**
 * A target as a pure in-memory state machine: time is the argument `now`, nothing runs on its own.
 *
 * A call that returns `waiting` is a `sync` without news; the driver calls `resume` when a task may have ended and once
 * its `waitMs` has passed. Tasks of a group whose task lease has lapsed end as stopped at the moment of the lapse.
 *
 * @example
 * const target = InMemoryTarget.create({ capacity })
 * target.call(0, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
 * target.call(0, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: 'g0-a/0', attempt: 1, work })
 */
export class InMemoryTarget {
  private readonly running = new Map<TaskId, Running>()
  private readonly owners = new Map<GroupNumber, Ownership>()
  private readonly log: Execution[] = []
  private ended = EndedTasks.create()
  private used: Resources = NO_RESOURCES
  private leaving = false
  private failing = false

  private constructor (
    private readonly capacity: Resources,
    private readonly usageLagMs: number,
    private readonly checkpoints: Checkpoints,
    private startedAt: number
  ) {}

  static create (options: InMemoryTargetOptions): InMemoryTarget {
    return new InMemoryTarget(options.capacity, options.usageLagMs ?? DEFAULT_USAGE_LAG_MS, options.checkpoints ?? new Map(), options.startedAt ?? 0)
  }

  /** All runs since the creation of the stand-in, in the order of their start; a restart does not clear them. */
  get executions (): readonly Execution[] {
    return this.log
  }

  /** Sum of the declared resources of the running tasks. */
  get usedResources (): Resources {
    return this.used
  }

  /** A leaving target refuses starts and keeps what runs. */
  setLeaving (leaving: boolean): void {
    this.leaving = leaving
  }

  /** A failing target accepts every start and fails the task at once. */
  setFailing (failing: boolean): void {
    this.failing = failing
  }

  /** The process of the target ends and starts again: tasks, results, epochs and leases are forgotten. */
  restart (now: number): void {
    this.advance(now)
    this.startedAt = now
    for (const task of this.running.values()) task.execution.endedAt = now
    this.running.clear()
    this.owners.clear()
    this.ended = EndedTasks.create()
    this.used = NO_RESOURCES
  }

  /** Earliest time at which a task ends or a task lease lapses; a driver with timers calls `advance` then. */
  nextEventAt (): number | undefined {
    let earliest = Infinity
    for (const task of this.running.values()) {
      earliest = Math.min(earliest, task.endsAt, this.owners.get(task.group)?.leaseUntil ?? Infinity)
    }
    return earliest === Infinity ? undefined : earliest
  }

  /** Ends the tasks that have finished by `now`, and those whose task lease has lapsed. */
  advance (now: number): void {
    for (const task of [...this.running.values()]) {
      const leaseUntil = this.owners.get(task.group)?.leaseUntil ?? Infinity
      if (task.endsAt <= now && task.endsAt <= leaseUntil) this.finish(task)
      else if (leaseUntil <= now) this.end(leaseUntil, task, { type: 'stopped', checkpointed: false })
    }
  }

  /** Handles a new call. */
  call (now: number, call: TargetCall): Answer | 'waiting' {
    this.advance(now)
    if (call.type === 'adopt') return this.adopt(now, call)
    const refused = this.refusal(now, call)
    if (refused !== undefined) return err(refused)
    switch (call.type) {
      case 'start': return ok(this.start(now, call))
      case 'sync': return this.sync(now, call)
      case 'control': return ok(this.control(now, call))
      default: return assertNever(call)
    }
  }

  /** Handles a sync that waits since `startedAt` again; it renews no lease. */
  resume (now: number, call: SyncCall, startedAt: number): Answer | 'waiting' {
    this.advance(now)
    const refused = this.refusal(now, call)
    if (refused !== undefined) return err(refused)
    return this.syncAnswer(now, call, now >= startedAt + call.waitMs)
  }

  private refusal (now: number, call: TargetCall): TargetFailure | undefined {
    const owner = this.owners.get(call.group)
    if (owner !== undefined && call.epoch < owner.epoch) return { reason: 'fenced', verdict: 'not-run' }
    const present = owner !== undefined && call.epoch === owner.epoch && call.lease === owner.lease && owner.leaseUntil > now
    return present ? undefined : { reason: 'unknown-lease', verdict: 'not-run' }
  }

  private adopt (now: number, call: AdoptCall): Answer {
    const owner = this.owners.get(call.group)
    const begins = owner === undefined || call.epoch > owner.epoch || (call.epoch === owner.epoch && call.lease > owner.lease)
    if (begins) this.owners.set(call.group, { epoch: call.epoch, lease: call.lease, leaseUntil: now + call.leaseMs })
    // A repeated adopt lists the tasks again, but does not renew: a late copy must neither extend nor revive a lease.
    const refused = begins ? undefined : this.refusal(now, call)
    if (refused !== undefined) return err(refused)
    return ok({
      type: 'adopt',
      running: this.runningOf(call.group).map(({ taskId, attempt, work, startedAt }) => ({ taskId, attempt, work, startedAt })),
      ended: this.ended.of(call.group, 0),
      sequence: this.ended.last,
      upMs: now - this.startedAt,
      capacity: this.capacity
    })
  }

  private runningOf (group: GroupNumber): Running[] {
    return [...this.running.values()].filter((task) => task.group === group)
  }

  private start (now: number, call: Extract<TargetCall, { type: 'start' }>): TargetResponse {
    if (this.running.get(call.taskId)?.attempt === call.attempt) return { type: 'start', started: true }
    const refusal = this.startRefusal(call)
    if (refusal !== undefined) return { type: 'start', started: false, refusal }
    this.run(now, call)
    return { type: 'start', started: true }
  }

  /** A later attempt of a task that still runs here gets `no-room`, because a task must not run twice at once. */
  private startRefusal (call: Extract<TargetCall, { type: 'start' }>): StartRefusal | undefined {
    if (this.ended.knows(call.taskId, call.attempt)) return 'duplicate-ended'
    if (this.leaving) return 'leaving'
    if (this.running.has(call.taskId)) return 'no-room'
    return fits(call.work.resources, subtract(this.capacity, this.used)) ? undefined : 'no-room'
  }

  private run (now: number, call: Extract<TargetCall, { type: 'start' }>): void {
    const savedMs = this.checkpoints.get(call.taskId) ?? 0
    const remainingMs = Math.max(0, parsePayload(call.work.payload).runMs - savedMs)
    const { group, taskId, attempt, work } = call
    const execution = { taskId, attempt, work, startedAt: now, endedAt: undefined, outcome: undefined }
    const endsAt = work.kind === 'service' ? Infinity : now + remainingMs
    const task: Running = { group, taskId, attempt, work, startedAt: now, savedMs, endsAt, throttledAt: undefined, execution }
    this.log.push(execution)
    this.running.set(taskId, task)
    this.used = add(this.used, work.resources)
    this.ended.noteStart(taskId, attempt)
    if (this.failing) this.end(now, task, { type: 'failed', reason: 'host-fault' })
  }

  private finish (task: Running): void {
    const payload = parsePayload(task.work.payload)
    const outcome: TaskOutcome = payload.fail
      ? { type: 'failed', reason: 'task-failed' }
      : { type: 'succeeded', output: payload.output }
    this.checkpoints.delete(task.taskId)
    this.end(task.endsAt, task, outcome)
  }

  private end (at: number, task: Running, outcome: TaskOutcome): void {
    task.execution.endedAt = at
    task.execution.outcome = outcome
    this.running.delete(task.taskId)
    this.used = subtract(this.used, task.work.resources)
    this.ended.add(task.group, { taskId: task.taskId, attempt: task.attempt, work: task.work, outcome })
  }

  private sync (now: number, call: SyncCall): Answer | 'waiting' {
    this.owners.get(call.group)!.leaseUntil = now + call.leaseMs
    this.ended.acknowledge(now, call.acknowledged)
    return this.syncAnswer(now, call, call.waitMs <= 0)
  }

  private syncAnswer (now: number, call: SyncCall, expired: boolean): Answer | 'waiting' {
    const ended = this.ended.of(call.group, call.after)
    if (ended.length === 0 && !expired) return 'waiting'
    return ok({
      type: 'sync',
      ended,
      sequence: this.ended.last,
      usage: this.usageOf(now, call.group),
      running: this.runningOf(call.group).length
    })
  }

  /** Usage as it was `usageLagMs` ago: tasks that are younger are missing, and a throttle shows late. */
  private usageOf (now: number, group: GroupNumber): TaskUsage[] {
    const sampledAt = now - this.usageLagMs
    return this.runningOf(group)
      .filter((task) => task.startedAt <= sampledAt)
      .map((task) => ({ taskId: task.taskId, resources: realUsage(task, sampledAt) }))
  }

  private control (now: number, call: Extract<TargetCall, { type: 'control' }>): TargetResponse {
    const task = this.running.get(call.taskId)
    if (task === undefined || task.group !== call.group) return { type: 'control', found: false }
    switch (call.action) {
      case 'checkpoint': this.checkpoint(now, task); break
      case 'throttle': this.throttle(now, task); break
      case 'stop': this.end(now, task, { type: 'stopped', checkpointed: false }); break
      default: assertNever(call.action)
    }
    return { type: 'control', found: true }
  }

  private checkpoint (now: number, task: Running): void {
    this.checkpoints.set(task.taskId, task.savedMs + now - task.startedAt)
    this.end(now, task, { type: 'stopped', checkpointed: true })
  }

  /** A task that used more than declared runs longer by the same factor once it is limited. */
  private throttle (now: number, task: Running): void {
    if (task.throttledAt !== undefined) return
    const slowdown = Math.max(1, parsePayload(task.work.payload).usageFactor)
    task.throttledAt = now
    task.endsAt = now + (task.endsAt - now) * slowdown
  }
}

function realUsage (task: Running, sampledAt: number): Resources {
  const declared = task.work.resources
  const factor = parsePayload(task.work.payload).usageFactor
  const limited = task.throttledAt !== undefined && task.throttledAt <= sampledAt
  const effective = limited ? Math.min(1, factor) : factor
  return {
    ...declared,
    cpuMillis: Math.round(declared.cpuMillis * effective),
    memoryMiB: Math.round(declared.memoryMiB * effective)
  }
}
