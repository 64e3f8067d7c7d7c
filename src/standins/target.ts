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

/** Run time in milliseconds that each checkpointed task has completed; shared by the targets of a fleet. */
export type Checkpoints = Map<TaskId, number>

/** Options of `InMemoryTarget`. */
export type InMemoryTargetOptions = {
  readonly capacity: Resources
  /** Age of the usage that `sync` reports, in milliseconds. Default 2,000. */
  readonly usageLagMs?: number
  /** Stores the progress of checkpointed tasks. Default: a map that is not shared with other targets. */
  readonly checkpoints?: Checkpoints
  /** Start time of the target, from which `upMs` is computed. Default 0. */
  readonly startedAt?: number
}

/** One run of a task, recorded for checks; `endedAt` is undefined while the task runs. */
export type Execution = {
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly startedAt: number
  readonly endedAt: number | undefined
  /** Undefined while the task runs, and after a restart of the target. */
  readonly outcome: TaskOutcome | undefined
}

type RunningTask = {
  readonly group: GroupNumber
  readonly taskId: TaskId
  readonly attempt: number
  readonly work: Work
  readonly startedAt: number
  /** Run time in milliseconds that earlier attempts saved. */
  readonly savedRunMs: number
  endsAt: number
  throttledAt: number | undefined
  readonly execution: { endedAt: number | undefined, outcome: TaskOutcome | undefined }
}

/** The current task lease of a group. */
type OwnerLease = { readonly epoch: Epoch, readonly lease: number, leaseUntil: number }

type AdoptCall = Extract<TargetCall, { type: 'adopt' }>
type SyncCall = Extract<TargetCall, { type: 'sync' }>
type CallResult = Result<TargetResponse, TargetFailure>

const DEFAULT_USAGE_LAG_MS = 2_000

/**
 * A target as a pure in-memory state machine. The current time is the argument `now`, and there are no timers.
 *
 * A `sync` without new results returns `waiting`. The driver calls `resume` when a task may have ended and when the
 * `waitMs` of the call have passed. When the task lease of a group expires, its tasks end as stopped at that time.
 *
 * @example
 * const target = InMemoryTarget.create({ capacity })
 * target.call(0, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
 * target.call(0, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: 'g0-a/0', attempt: 1, work })
 */
export class InMemoryTarget {
  private readonly running = new Map<TaskId, RunningTask>()
  private readonly owners = new Map<GroupNumber, OwnerLease>()
  private readonly executionLog: Execution[] = []
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

  /** All runs since the creation of the stand-in, in start order; a restart does not clear them. */
  get executions (): readonly Execution[] {
    return this.executionLog
  }

  /** Sum of the declared resources of the running tasks. */
  get usedResources (): Resources {
    return this.used
  }

  /** A leaving target refuses starts and keeps its running tasks. */
  setLeaving (leaving: boolean): void {
    this.leaving = leaving
  }

  /** On a failing target, each task that is started fails at once. */
  setFailing (failing: boolean): void {
    this.failing = failing
  }

  /** Simulates a restart of the target process, which loses tasks, results, epochs and leases. */
  restart (now: number): void {
    this.advance(now)
    this.startedAt = now
    for (const task of this.running.values()) task.execution.endedAt = now
    this.running.clear()
    this.owners.clear()
    this.ended = EndedTasks.create()
    this.used = NO_RESOURCES
  }

  /** Earliest time at which a task ends or a task lease expires. A driver with timers calls `advance` then. */
  nextEventAt (): number | undefined {
    let earliest = Infinity
    for (const task of this.running.values()) {
      earliest = Math.min(earliest, task.endsAt, this.owners.get(task.group)?.leaseUntil ?? Infinity)
    }
    return earliest === Infinity ? undefined : earliest
  }

  /** Ends the tasks that have completed by `now`, and those whose task lease has expired. */
  advance (now: number): void {
    for (const task of [...this.running.values()]) {
      const leaseUntil = this.owners.get(task.group)?.leaseUntil ?? Infinity
      if (task.endsAt <= now && task.endsAt <= leaseUntil) this.completeTask(task)
      else if (leaseUntil <= now) this.endTask(leaseUntil, task, { type: 'stopped', checkpointed: false })
    }
  }

  /** Handles a new call. */
  call (now: number, call: TargetCall): CallResult | 'waiting' {
    this.advance(now)
    if (call.type === 'adopt') return this.adopt(now, call)
    const failure = this.findLeaseFailure(now, call)
    if (failure !== undefined) return err(failure)
    switch (call.type) {
      case 'start': return ok(this.start(now, call))
      case 'sync': return this.sync(now, call)
      case 'control': return ok(this.control(now, call))
      default: return assertNever(call)
    }
  }

  /** Handles a sync again that has been waiting since `startedAt`, without renewing the lease. */
  resume (now: number, call: SyncCall, startedAt: number): CallResult | 'waiting' {
    this.advance(now)
    const failure = this.findLeaseFailure(now, call)
    if (failure !== undefined) return err(failure)
    return this.createSyncResponse(now, call, now >= startedAt + call.waitMs)
  }

  private findLeaseFailure (now: number, call: TargetCall): TargetFailure | undefined {
    const owner = this.owners.get(call.group)
    if (owner !== undefined && call.epoch < owner.epoch) return { reason: 'fenced', verdict: 'not-run' }
    const isCurrent = owner !== undefined && call.epoch === owner.epoch && call.lease === owner.lease && owner.leaseUntil > now
    return isCurrent ? undefined : { reason: 'unknown-lease', verdict: 'not-run' }
  }

  private adopt (now: number, call: AdoptCall): CallResult {
    const owner = this.owners.get(call.group)
    const isNewLease = owner === undefined || call.epoch > owner.epoch || (call.epoch === owner.epoch && call.lease > owner.lease)
    if (isNewLease) this.owners.set(call.group, { epoch: call.epoch, lease: call.lease, leaseUntil: now + call.leaseMs })
    // A repeated adopt only lists the tasks again. A late copy must neither extend a lease nor restore an expired one.
    const failure = isNewLease ? undefined : this.findLeaseFailure(now, call)
    if (failure !== undefined) return err(failure)
    return ok({
      type: 'adopt',
      running: this.getRunningTasks(call.group).map(({ taskId, attempt, work, startedAt }) => ({ taskId, attempt, work, startedAt })),
      ended: this.ended.findAfter(call.group, 0),
      sequence: this.ended.lastSequence,
      upMs: now - this.startedAt,
      capacity: this.capacity
    })
  }

  private getRunningTasks (group: GroupNumber): RunningTask[] {
    return [...this.running.values()].filter((task) => task.group === group)
  }

  private start (now: number, call: Extract<TargetCall, { type: 'start' }>): TargetResponse {
    if (this.running.get(call.taskId)?.attempt === call.attempt) return { type: 'start', started: true }
    const refusal = this.findStartRefusal(call)
    if (refusal !== undefined) return { type: 'start', started: false, refusal }
    this.startTask(now, call)
    return { type: 'start', started: true }
  }

  /** A later attempt of a task that still runs here gets `no-room`, because two attempts must not run at the same time. */
  private findStartRefusal (call: Extract<TargetCall, { type: 'start' }>): StartRefusal | undefined {
    if (this.ended.hasStarted(call.taskId, call.attempt)) return 'duplicate-ended'
    if (this.leaving) return 'leaving'
    if (this.running.has(call.taskId)) return 'no-room'
    return fits(call.work.resources, subtract(this.capacity, this.used)) ? undefined : 'no-room'
  }

  private startTask (now: number, call: Extract<TargetCall, { type: 'start' }>): void {
    const savedMs = this.checkpoints.get(call.taskId) ?? 0
    const remainingMs = Math.max(0, parsePayload(call.work.payload).runMs - savedMs)
    const { group, taskId, attempt, work } = call
    const execution = { taskId, attempt, work, startedAt: now, endedAt: undefined, outcome: undefined }
    const endsAt = work.kind === 'service' ? Infinity : now + remainingMs
    const task: RunningTask = { group, taskId, attempt, work, startedAt: now, savedRunMs: savedMs, endsAt, throttledAt: undefined, execution }
    this.executionLog.push(execution)
    this.running.set(taskId, task)
    this.used = add(this.used, work.resources)
    this.ended.recordStart(taskId, attempt)
    if (this.failing) this.endTask(now, task, { type: 'failed', reason: 'host-fault' })
  }

  private completeTask (task: RunningTask): void {
    const payload = parsePayload(task.work.payload)
    const outcome: TaskOutcome = payload.fail
      ? { type: 'failed', reason: 'task-failed' }
      : { type: 'succeeded', output: payload.output }
    this.checkpoints.delete(task.taskId)
    this.endTask(task.endsAt, task, outcome)
  }

  private endTask (at: number, task: RunningTask, outcome: TaskOutcome): void {
    task.execution.endedAt = at
    task.execution.outcome = outcome
    this.running.delete(task.taskId)
    this.used = subtract(this.used, task.work.resources)
    this.ended.add(task.group, { taskId: task.taskId, attempt: task.attempt, work: task.work, outcome })
  }

  private sync (now: number, call: SyncCall): CallResult | 'waiting' {
    this.owners.get(call.group)!.leaseUntil = now + call.leaseMs
    this.ended.acknowledge(now, call.acknowledged)
    return this.createSyncResponse(now, call, call.waitMs <= 0)
  }

  private createSyncResponse (now: number, call: SyncCall, expired: boolean): CallResult | 'waiting' {
    const ended = this.ended.findAfter(call.group, call.after)
    if (ended.length === 0 && !expired) return 'waiting'
    return ok({
      type: 'sync',
      ended,
      sequence: this.ended.lastSequence,
      usage: this.getUsage(now, call.group),
      running: this.getRunningTasks(call.group).length
    })
  }

  /** Usage as it was `usageLagMs` ago: tasks that started later are missing, and a throttle shows after this delay. */
  private getUsage (now: number, group: GroupNumber): TaskUsage[] {
    const sampledAt = now - this.usageLagMs
    return this.getRunningTasks(group)
      .filter((task) => task.startedAt <= sampledAt)
      .map((task) => ({ taskId: task.taskId, resources: computeActualUsage(task, sampledAt) }))
  }

  private control (now: number, call: Extract<TargetCall, { type: 'control' }>): TargetResponse {
    const task = this.running.get(call.taskId)
    if (task === undefined || task.group !== call.group) return { type: 'control', found: false }
    switch (call.action) {
      case 'checkpoint': this.checkpoint(now, task); break
      case 'throttle': this.throttle(now, task); break
      case 'stop': this.endTask(now, task, { type: 'stopped', checkpointed: false }); break
      default: assertNever(call.action)
    }
    return { type: 'control', found: true }
  }

  private checkpoint (now: number, task: RunningTask): void {
    this.checkpoints.set(task.taskId, task.savedRunMs + now - task.startedAt)
    this.endTask(now, task, { type: 'stopped', checkpointed: true })
  }

  /** Throttles a task to its declared usage. If it used more, its remaining run time grows by the same factor. */
  private throttle (now: number, task: RunningTask): void {
    if (task.throttledAt !== undefined) return
    const slowdownFactor = Math.max(1, parsePayload(task.work.payload).usageFactor)
    task.throttledAt = now
    task.endsAt = now + (task.endsAt - now) * slowdownFactor
  }
}

function computeActualUsage (task: RunningTask, sampledAt: number): Resources {
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
