import { parseWorkId } from '../../src/model/ids.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work } from '../../src/model/work.ts'
import type { SchedulerEffect } from '../../src/scheduling/effect.ts'
import type { SchedulerEvent, TaskCompletion } from '../../src/scheduling/event.ts'
import { KeyedHeap } from '../../src/util/keyed-heap.ts'

/** What the scheduler and the baseline have in common. */
export type Placer = { readonly apply: (event: SchedulerEvent) => readonly SchedulerEffect[] }

/** What the simulated fleet does that the scheduler does not know. */
export type Truth = {
  readonly runMs: (work: Work) => number
  readonly usage?: (work: Work) => Resources
  /** Whether a start on the target fails, after `FAILURE_MS`. */
  readonly fails?: (work: Work, targetId: string) => boolean
}

type Running = { readonly id: string, readonly work: Work, readonly target: Target, readonly startedAt: number, readonly endsAt: number, stopping: boolean, throttled: boolean, fails: boolean }

const TICK_MS = 100
/** Time that a start takes to fail on a bad target; short, so that a bad target attracts work. */
const FAILURE_MS = 200
const CHECKPOINT_MS = 500
const REPORT_MS = 1000

type Timed = { readonly at: number, readonly run: () => void }

/** Runs a placer in virtual time against a simulated fleet. */
export class Simulation {
  now = 0
  readonly works = new Map<string, Work>()
  readonly running = new Map<string, Running>()
  readonly waits = new Map<string, number[]>()
  readonly decisionsMs: number[] = []
  readonly startsIn = new Map<string, { readonly at: number, readonly domain: string }[]>()
  starts = 0
  succeeded = 0
  failures = 0
  throttled = 0
  readonly stopped = new Map<string, number>()
  /** Milliseconds of slots of work that was done and kept. */
  slotMs = 0
  applyMs = 0
  private readonly done = new Map<string, number>()
  private readonly pendingSince = new Map<string, number>()
  private readonly timers = KeyedHeap.create<Timed>()
  private readonly onEnd: ((work: Work) => void)[] = []
  private reportedAt = 0

  constructor (readonly placer: Placer, readonly targets: ReadonlyMap<string, Target>, private readonly truth: Truth, private readonly classOf: (work: Work) => string | undefined = () => undefined) {}

  send (event: DistributiveOmit<SchedulerEvent, 'now'>): void {
    const before = process.hrtime.bigint()
    const effects = this.placer.apply({ ...event, now: this.now } as SchedulerEvent)
    const passed = Number(process.hrtime.bigint() - before) / 1e6
    this.applyMs += passed
    this.decisionsMs.push(passed)
    for (const effect of effects) this.effect(effect)
  }

  submit (work: Work): void {
    this.works.set(work.id, work)
    const count = work.kind === 'request' ? 1 : work.count
    for (let index = 0; index < count; index += 1) this.pendingSince.set(`${work.id}/${index}`, this.now)
    this.send({ type: 'work-submitted', work })
  }

  whenEnded (listener: (work: Work) => void): void {
    this.onEnd.push(listener)
  }

  at (time: number, run: () => void): void {
    this.timers.set({ at: time, run }, time)
  }

  private effect (effect: SchedulerEffect): void {
    if (effect.type === 'start') this.start(effect.taskId, effect.targetId)
    if (effect.type === 'throttle') {
      this.throttled += 1
      const task = this.running.get(effect.taskId)
      if (task !== undefined) task.throttled = true
    }
    if (effect.type === 'stop') {
      this.stopped.set(effect.cause, (this.stopped.get(effect.cause) ?? 0) + 1)
      this.stop(effect.taskId, effect.mode, effect.cause === 'cancelled')
    }
  }

  private start (id: string, targetId: string): void {
    const work = this.works.get(parseWorkId(id))!
    const target = this.targets.get(targetId)!
    this.starts += 1
    this.noteWait(id, work)
    const fails = this.truth.fails?.(work, targetId) === true
    const left = this.truth.runMs(work) - (this.done.get(id) ?? 0)
    const endsAt = this.now + (fails ? FAILURE_MS : Math.max(1, left))
    const task: Running = { id, work, target, startedAt: this.now, endsAt, stopping: false, throttled: false, fails }
    this.running.set(id, task)
    const log = this.startsIn.get(target.failureDomain) ?? []
    log.push({ at: this.now, domain: target.failureDomain })
    this.startsIn.set(target.failureDomain, log)
    this.at(endsAt, () => this.finish(task, fails ? 'failed' : 'succeeded'))
  }

  private noteWait (id: string, work: Work): void {
    const since = this.pendingSince.get(id)
    if (since === undefined) return
    this.pendingSince.delete(id)
    const name = this.classOf(work) ?? (work.urgent && work.kind !== 'gang' ? 'urgent' : work.kind)
    const waits = this.waits.get(name) ?? []
    waits.push(this.now - since)
    this.waits.set(name, waits)
  }

  private stop (id: string, mode: 'checkpoint' | 'stop', forGood: boolean): void {
    const task = this.running.get(id)
    if (task === undefined || task.stopping) return
    task.stopping = true
    this.at(this.now + (mode === 'checkpoint' ? CHECKPOINT_MS : 1), () => {
      if (mode === 'checkpoint') this.done.set(id, (this.done.get(id) ?? 0) + this.now - task.startedAt)
      this.finish(task, 'stopped', !forGood)
    })
  }

  private finish (task: Running, end: TaskCompletion, again = end === 'failed'): void {
    if (this.running.get(task.id) !== task) return
    this.running.delete(task.id)
    if (end === 'succeeded') {
      this.succeeded += 1
      this.slotMs += task.work.resources.slots * this.truth.runMs(task.work)
      this.done.delete(task.id)
    }
    if (end === 'failed') this.failures += 1
    this.send({ type: 'task-ended', taskId: task.id, targetId: task.target.id, completion: end, mustRunAgain: again })
    if (end === 'succeeded') for (const listener of this.onEnd) listener(task.work)
  }

  /** Passes virtual time until `until`. */
  run (until: number, eachTick?: () => void): void {
    while (this.now < until) {
      const next = this.now + TICK_MS
      while (this.timers.topKey() <= next) {
        const timer = this.timers.top()!
        this.timers.delete(timer)
        this.now = Math.max(this.now, timer.at)
        timer.run()
      }
      this.now = next
      if (this.truth.usage !== undefined && this.now - this.reportedAt >= REPORT_MS) this.report()
      this.send({ type: 'tick' })
      eachTick?.()
    }
  }

  /** What a task uses really; a throttled one at most what it declares. */
  usage ({ work, throttled }: Running): Resources {
    const usage = this.truth.usage!(work)
    if (!throttled) return usage
    return { ...usage, cpuMillis: Math.min(usage.cpuMillis, work.resources.cpuMillis), memoryMiB: Math.min(usage.memoryMiB, work.resources.memoryMiB) }
  }

  private report (): void {
    this.reportedAt = this.now
    const byTarget = new Map<string, { taskId: string, resources: Resources }[]>()
    for (const task of this.running.values()) {
      const usage = byTarget.get(task.target.id) ?? []
      usage.push({ taskId: task.id, resources: this.usage(task) })
      byTarget.set(task.target.id, usage)
    }
    for (const [targetId, usage] of byTarget) this.send({ type: 'usage-reported', targetId, usage })
  }

  /** Running amount of a resource, as a part of the capacity of all targets. */
  utilisation (name: keyof Resources, included: (target: Target) => boolean = () => true): number {
    let used = 0
    let capacity = 0
    for (const target of this.targets.values()) if (included(target)) capacity += target.capacity[name]
    for (const { work, target } of this.running.values()) if (included(target)) used += work.resources[name]
    return used / capacity
  }
}

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never

/** The value below which the part `part` of the values lies; NaN without values. */
export function quantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted.length === 0 ? NaN : sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))]!
}
