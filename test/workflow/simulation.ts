import { Random } from '../../src/util/random.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { ClosedTargets } from '../../src/workflow/closed-targets.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, JobPhase } from '../../src/workflow/job.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import type { ListedCompletion } from '../../src/workflow/target-entry.ts'
import { AttemptHistory, TIME_TO_STORE_MS } from './attempt-history.ts'
import { CONFIGURATION, QUEUE, STEP, buildJob } from './harness.ts'
import { SimulatedTarget, TARGET_CPU_MILLIS } from './simulated-target.ts'

const LEASE_MS = 3_500
const MAXIMUM_CPU_MILLIS = 9_000
const FAULTS_UNTIL_MS = 30_000
const END_MS = 75_000
const MAX_ATTEMPTS = QUEUE.maxAttempts
const CRASH_DELAY_MS = 10

type ScheduledCall = { readonly at: number, readonly sequence: number, readonly run: () => void }

/**
 * Simulates a scheduler, its targets and the network between them in virtual time, with lost responses, delayed commands,
 * unreachable and crashed targets, cancellations and new leaders. Describes each violation of a rule in a text.
 */
export class Simulation {
  readonly violations: string[] = []
  readonly faults = { lostResponses: 0, delayedCommands: 0, outages: 0, crashes: 0, takeovers: 0, cancellations: 0, crashesByTasks: 0, crashesInSeries: 0, takeoversBetweenCrashes: 0 }
  /** Targets whose capacity shrank, and starts on them while no more than that counted. */
  readonly shrinks = { targets: 0, startsOnShrunkTargets: 0 }
  /** Draining targets, and leaders that took over while the stored record had closed targets. */
  readonly drains = { targets: 0, takeoversWithClosedTargets: 0 }
  private readonly random: Random
  private now = 0
  private nextSequence = 0
  private readonly scheduledCalls: ScheduledCall[] = []
  private readonly targets = new Map<string, SimulatedTarget>()
  private scheduler: CellScheduler
  private epoch = 1
  private readonly jobs = new Map<string, JobDefinition>()
  private readonly stored = new Map<string, JobProgress>()
  /** Jobs whose definitions have been removed from the store. */
  private readonly released = new Set<string>()
  private readonly cancelledAt = new Map<string, number>()
  private readonly completedTasks = new Set<string>()
  private readonly acknowledgedTasks = new Set<string>()
  private readonly attempts = AttemptHistory.create()
  private readonly acknowledgedFailures = new Map<string, Set<number>>()
  /** Tasks that crash each target on which they start. */
  private readonly crashingTasks = new Set<string>()
  private earlierRunsExpireAt = 0
  private storedTargets: { readonly ids: readonly string[], readonly closed: ClosedTargets } = { ids: [], closed: {} }

  private constructor (private readonly seed: number, private readonly draining: boolean, private readonly crashing: boolean, private readonly shrinking: boolean, private readonly restless: boolean) {
    this.random = Random.create(seed)
    this.scheduler = this.createScheduler()
  }

  /**
   * Runs the simulation of one seed to its end. `draining`: targets are drained, leave, and are replaced by others.
   * `crashing`: some tasks crash each target on which they start, and the leader changes after some of these crashes.
   * `shrinking`: the capacity of targets shrinks for a while. `restless`: one target after the other crashes by itself.
   */
  static run (seed: number, { draining = false, crashing = false, shrinking = false, restless = false } = {}): Simulation {
    const simulation = new Simulation(seed, draining, crashing, shrinking, restless)
    simulation.runToEnd()
    return simulation
  }

  get unfinishedJobs (): readonly string[] {
    return [...this.jobs.keys()].filter((id) => !['completed', 'failed', 'cancelled'].includes(this.stored.get(id)?.phase ?? 'queued'))
  }

  /** The jobs that are shown as failed although no task has failed or crashed its targets often enough. */
  get failedWithoutCause (): readonly string[] {
    return [...this.jobs.keys()].filter((id) => this.stored.get(id)?.phase === 'failed' && !this.attempts.mayFail(id, this.crashingTasks))
  }

  private runToEnd (): void {
    for (let index = 0; index < 6; index++) this.addTarget(`t${index}`)
    this.scheduleEvery(100, () => this.apply({ type: 'tick' }))
    this.scheduleEvery(700, () => this.submitJob())
    this.scheduleEvery(1_500, () => { if (this.now < FAULTS_UNTIL_MS) this.injectFault() })
    if (this.draining) this.scheduleEvery(2_300, () => { if (this.now < FAULTS_UNTIL_MS) this.drainTarget() })
    if (this.restless) this.scheduleEvery(1_000, () => { if (this.now < FAULTS_UNTIL_MS) this.crashInSeries() })
    if (this.shrinking) this.scheduleEvery(1_300, () => { if (this.now < FAULTS_UNTIL_MS) this.shrinkTarget() })
    while (this.scheduledCalls.length > 0) {
      const next = this.scheduledCalls.shift()!
      if (next.at > END_MS) break
      this.now = next.at
      next.run()
    }
  }

  private createScheduler (): CellScheduler {
    const scheduler = CellScheduler.create({ leaseMs: LEASE_MS, firstRunNumber: (this.epoch - 1) * 1_000_000 + 1 })
    const organisations = [{ ...CONFIGURATION.organisations[0]!, weight: 100, maximum: { cpuMillis: MAXIMUM_CPU_MILLIS, memoryMiB: 0, accelerators: 0 } }]
    scheduler.apply({ type: 'configured', configuration: { ...CONFIGURATION, organisations } }, this.now)
    return scheduler
  }

  private schedule (delayMs: number, run: () => void): void {
    const call = { at: this.now + delayMs, sequence: this.nextSequence++, run }
    let index = this.scheduledCalls.length
    while (index > 0 && (this.scheduledCalls[index - 1]!.at > call.at)) index -= 1
    this.scheduledCalls.splice(index, 0, call)
  }

  private scheduleEvery (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.scheduleEvery(intervalMs, run)
    })
  }

  private occurs (probability: number): boolean {
    return this.now < FAULTS_UNTIL_MS && this.random.next() < probability
  }

  private addTarget (id: string): void {
    const target: SimulatedTarget = SimulatedTarget.create(id, this.random, (completion) => {
      if (completion.outcome === 'done') this.completedTasks.add(completion.task)
      if (completion.outcome === 'failed') this.recordFailure(completion)
    }, (completion) => {
      if (completion.outcome === 'done') this.acknowledgedTasks.add(completion.task)
      if (completion.outcome === 'failed') this.acknowledgedFailures.set(completion.task, (this.acknowledgedFailures.get(completion.task) ?? new Set()).add(completion.run))
    })
    this.targets.set(id, target)
    this.publishTarget(target)
    this.pollTarget(target, this.epoch)
  }

  private recordFailure ({ task, run }: ListedCompletion): void {
    const [id, occurrence, step] = task.split('.')
    const isGang = this.jobs.get(id!)!.steps[Number(step)]!.gang
    this.attempts.recordFailure(isGang ? `${id}.${occurrence}.${step}` : task, run)
  }

  private publishTarget (target: SimulatedTarget): void {
    this.apply({ type: 'target-published', entry: target.toEntry() })
    if (!this.draining) this.apply({ type: 'targets-stored', ids: [target.id] })
  }

  private submitJob (): void {
    if (this.now > FAULTS_UNTIL_MS) return
    const id = `j${this.jobs.size}`
    const count = 1 + this.random.nextInt(4)
    const kind = this.random.nextInt(4)
    const definition = buildJob(id, { count, gang: kind === 1, speculative: kind === 2 }, { count: 1, after: [0] })
    this.jobs.set(id, definition)
    if (this.crashing && this.random.nextInt(8) === 0) this.crashingTasks.add(`${id}.0.0.0`)
    this.apply({ type: 'job-accepted', definition })
  }

  private injectFault (): void {
    const target = [...this.targets.values()][this.random.nextInt(this.targets.size)]!
    switch (this.random.nextInt(4)) {
      case 0:
        this.faults.outages += 1
        target.unreachableUntil = this.now + 500 + this.random.nextInt(8_000)
        return
      case 1:
        this.faults.crashes += 1
        this.crashTarget(target)
        return this.schedule(this.random.nextInt(500), () => this.publishTarget(target))
      case 2: return this.takeOver()
      default: return this.cancelJob()
    }
  }

  private crashTarget (target: SimulatedTarget): void {
    target.completeDueRuns(this.now)
    this.attempts.recordCrash(target.runs.keys(), this.now)
    target.crash(this.now)
  }

  /** Crashes a target by itself, in half of the cases behind a cut; it is back some seconds later. */
  private crashInSeries (): void {
    const reachable = [...this.targets.values()].filter(({ left, unreachableUntil }) => !left && unreachableUntil <= this.now)
    const target = reachable[this.random.nextInt(reachable.length)]
    if (target === undefined) return
    this.faults.crashesInSeries += 1
    target.unreachableUntil = this.now + 1_000 + this.random.nextInt(2_000)
    if (this.random.nextInt(2) === 0) this.crashTarget(target)
    else this.schedule(this.random.nextInt(800), () => this.crashTarget(target))
    this.schedule(target.unreachableUntil - this.now, () => { if (!target.left) this.publishTarget(target) })
  }

  /** Crashes a target because of a task; it comes back after some seconds. */
  private crashByTask (target: SimulatedTarget, incarnation: number): void {
    if (target.incarnation !== incarnation || target.left) return
    this.faults.crashesByTasks += 1
    this.crashTarget(target)
    target.unreachableUntil = this.now + 1_000 + this.random.nextInt(4_000)
    this.schedule(target.unreachableUntil - this.now, () => { if (!target.left) this.publishTarget(target) })
    if (this.random.nextInt(4) === 0) this.takeOverBetweenCrashes()
  }

  /** The leader changes between a crash by a task and the next one, after it has stored what it has seen. */
  private takeOverBetweenCrashes (): void {
    this.schedule(TIME_TO_STORE_MS + this.random.nextInt(4_000), () => {
      this.faults.takeoversBetweenCrashes += 1
      this.takeOver()
    })
  }

  /** Drains a target, which leaves some seconds later; in between it may stop draining. Another one takes its place. */
  private drainTarget (): void {
    const open = [...this.targets.values()].filter(({ draining }) => !draining)
    const target = open[this.random.nextInt(open.length)]
    if (target === undefined || open.length < 4) return
    this.drains.targets += 1
    target.draining = true
    this.apply({ type: 'target-published', entry: target.toEntry() })
    if (this.random.nextInt(4) === 0) return this.schedule(this.random.nextInt(1_500), () => this.stopDraining(target))
    if (this.random.nextInt(3) === 0) this.schedule(100 + this.random.nextInt(400), () => this.cutOffAndTakeOver(target))
    this.schedule(300 + this.random.nextInt(4_000), () => {
      target.leave()
      this.schedule(this.random.nextInt(1_000), () => this.apply({ type: 'target-withdrawn', id: target.id }))
      this.addTarget(`t${this.targets.size}`)
    })
  }

  /** The leader changes while a draining target is unreachable and runs on. */
  private cutOffAndTakeOver (target: SimulatedTarget): void {
    target.unreachableUntil = Math.max(target.unreachableUntil, this.now + 3_000)
    this.takeOver()
  }

  private stopDraining (target: SimulatedTarget): void {
    target.draining = false
    this.apply({ type: 'target-published', entry: target.toEntry() })
  }

  /** Shrinks a target for some seconds; its entry tells of it a little later. */
  private shrinkTarget (): void {
    const present = [...this.targets.values()].filter(({ left }) => !left)
    const target = present[this.random.nextInt(present.length)]!
    this.shrinks.targets += 1
    this.resizeTarget(target, this.random.nextInt(TARGET_CPU_MILLIS))
    this.schedule(5_000 + this.random.nextInt(8_000), () => this.resizeTarget(target, TARGET_CPU_MILLIS))
  }

  private resizeTarget (target: SimulatedTarget, cpuMillis: number): void {
    target.resize(cpuMillis, this.now)
    this.schedule(this.random.nextInt(1_000), () => { if (!target.left) this.apply({ type: 'target-published', entry: target.toEntry() }) })
  }

  private cancelJob (): void {
    const unfinished = this.unfinishedJobs
    const id = unfinished[this.random.nextInt(unfinished.length)]
    if (id === undefined) return
    this.faults.cancellations += 1
    this.cancelledAt.set(id, this.now)
    this.apply({ type: 'job-cancelled', id })
  }

  /** Replaces the leader by one that reads the store. Commands of the previous leader may still arrive. */
  private takeOver (): void {
    this.faults.takeovers += 1
    this.attempts.recordLeaderEnd(this.now)
    this.epoch += 1
    this.scheduler = this.createScheduler()
    this.scheduler.expectEarlierRuns()
    const stored = this.draining ? this.storedTargets : { ids: [...this.targets.keys()], closed: {} }
    if (Object.keys(stored.closed).length > 0) this.drains.takeoversWithClosedTargets += 1
    this.apply({ type: 'closed-targets-restored', closed: stored.closed })
    this.apply({ type: 'targets-stored', ids: stored.ids })
    for (const [id, definition] of this.jobs) {
      const progress = this.stored.get(id)
      if (progress !== undefined && this.released.has(id)) this.apply({ type: 'ended-job-restored', id, phase: progress.phase })
      else this.apply({ type: 'job-restored', definition, progress })
    }
    for (const id of this.cancelledAt.keys()) this.apply({ type: 'job-cancelled', id })
    for (const target of this.targets.values()) {
      if (target.left) continue
      this.apply({ type: 'target-published', entry: target.toEntry() })
      this.pollTarget(target, this.epoch)
    }
    this.earlierRunsExpireAt = this.now + LEASE_MS * 1.03 + 50
    this.resolveEarlierRuns(this.epoch, stored.ids)
  }

  private resolveEarlierRuns (epoch: number, previousTargets: readonly string[]): void {
    if (epoch !== this.epoch || !this.scheduler.earlierRunsExpected) return
    const listed = this.scheduler.allTargetsListed && previousTargets.every((id) => this.scheduler.getTarget(id)?.listed === true)
    if (this.now >= this.earlierRunsExpireAt) return this.apply({ type: 'earlier-runs-lapsed' })
    if (listed) this.apply({ type: 'earlier-runs-listed' })
    this.schedule(50, () => this.resolveEarlierRuns(epoch, previousTargets))
  }

  private apply (event: CellEvent): void {
    this.applyEffects(this.scheduler.apply(event, this.now))
    this.applyEffects(this.scheduler.startTasks(this.now))
  }

  private applyEffects (effects: readonly CellEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start' || effect.type === 'stop') this.sendCommand(effect, this.epoch)
      if (effect.type === 'store-progress') this.storeProgress(effect.job, this.epoch)
      if (effect.type === 'store-targets' && this.draining) this.storeTargets(effect, this.epoch)
    }
  }

  private storeTargets ({ ids, closed }: Extract<CellEffect, { type: 'store-targets' }>, epoch: number): void {
    this.schedule(20, () => {
      if (epoch !== this.epoch) return
      this.storedTargets = { ids, closed }
      this.apply({ type: 'targets-stored', ids })
    })
  }

  private storeProgress (id: string, epoch: number): void {
    this.schedule(20, () => {
      if (epoch !== this.epoch) return
      const progress = this.scheduler.getProgress(id)
      if (progress === undefined) return
      // The processed completions may be acknowledged only if the progress of every changed job is stored with them.
      for (const job of this.jobs.keys()) {
        const other = this.scheduler.getProgress(job)
        if (other !== undefined) this.stored.set(job, other)
      }
      const phases = new Map<string, JobPhase>([...this.jobs.keys()].flatMap((job) => {
        const phase = this.stored.get(job)?.phase
        return phase === undefined ? [] : [[job, phase] as const]
      }))
      const released = [...this.jobs.keys()].filter((job) => !this.scheduler.needsDefinition(job))
      for (const job of released) this.released.add(job)
      this.apply({ type: 'progress-stored', phases, released, completions: this.scheduler.getProcessedCompletions() })
    })
  }

  private sendCommand (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, epoch: number): void {
    const target = this.targets.get(effect.target)!
    const delayed = this.occurs(0.03)
    if (delayed) this.faults.delayedCommands += 1
    const incarnation = target.incarnation
    const arrive = (): void => {
      // A delayed command waits in the target itself, so that a crash loses it.
      if (target.unreachableUntil > this.now || (delayed && incarnation !== target.incarnation)) return
      const outcome = effect.type === 'start' ? this.startRun(effect, target, epoch, delayed) : target.stop(effect.command.task, effect.command.run, epoch, this.now)
      const lost = delayed || this.occurs(0.03)
      if (lost && !delayed) this.faults.lostResponses += 1
      if (lost || incarnation !== target.incarnation) return
      this.schedule(1, () => { if (epoch === this.epoch) this.deliverResponse(effect, outcome) })
    }
    this.schedule(delayed ? 2_000 + this.random.nextInt(10_000) : 1, arrive)
  }

  private deliverResponse (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, outcome: ReturnType<SimulatedTarget['start']>): void {
    const response = outcome === 'accepted' ? { type: 'accepted', clockMs: undefined } as const : { type: 'refused', reason: outcome, clockMs: undefined } as const
    this.apply({ type: effect.type === 'start' ? 'start-answered' : 'stop-answered', target: effect.target, incarnation: effect.incarnation, task: effect.command.task, run: effect.command.run, response })
  }

  private startRun (effect: Extract<CellEffect, { type: 'start' }>, target: SimulatedTarget, epoch: number, delayed: boolean): ReturnType<SimulatedTarget['start']> {
    const { task, run, leaseUntilMs } = effect.command
    const known = target.runs.get(task)?.run === run
    const { incarnation } = target
    const outcome = target.start({ task, run, leaseUntilMs, epoch, durationMs: 300 + this.random.nextInt(1_200), fails: this.occurs(0.04) }, this.now)
    if (outcome === 'accepted' && !known) this.checkRules(target, task, run, delayed)
    if (outcome === 'accepted' && this.crashingTasks.has(task)) this.schedule(CRASH_DELAY_MS, () => this.crashByTask(target, incarnation))
    return outcome
  }

  private checkRules (target: SimulatedTarget, task: string, run: number, delayed: boolean): void {
    const [id, , stepNumber] = task.split('.')
    const step = this.jobs.get(id!)!.steps[Number(stepNumber)]!
    for (const other of this.targets.values()) other.completeDueRuns(this.now)
    const recordViolation = (rule: string): void => { this.violations.push(`seed ${this.seed} at ${this.now}: ${rule}: ${task} run ${run} on ${target.id}`) }
    const cpuOn = (simulated: SimulatedTarget): number => simulated.runs.size * STEP.demand.cpuMillis
    // A command that its target carries out late may find less capacity than there was when it was sent.
    if (cpuOn(target) > (delayed ? TARGET_CPU_MILLIS : target.getCpuLimit(this.now))) recordViolation('capacity exceeded')
    if (target.getCpuLimit(this.now) < TARGET_CPU_MILLIS) this.shrinks.startsOnShrunkTargets += 1
    const copies = [...this.targets.values()].filter((other) => other !== target && other.runs.has(task))
    if (copies.length > 0 && !step.speculative) recordViolation('two runs at a time')
    if (this.acknowledgedTasks.has(task) && !step.speculative) recordViolation('started after its completion was acknowledged')
    if (stepNumber === '1' && !Array.from({ length: this.jobs.get(id!)!.steps[0]!.count }, (_, index) => `${id}.0.0.${index}`).some((key) => this.completedTasks.has(key))) recordViolation('started before its predecessor ended')
    if ((this.acknowledgedFailures.get(task)?.size ?? 0) >= MAX_ATTEMPTS) recordViolation('started after its last attempt')
    if (this.crashingTasks.has(task) && this.attempts.recordCrashingStart(task)) recordViolation('started too often after its targets crashed')
    const used = [...this.targets.values()].reduce((sum, other) => sum + cpuOn(other), 0)
    if (used > MAXIMUM_CPU_MILLIS * 1.1 + STEP.demand.cpuMillis) recordViolation('maximum exceeded')
  }

  /** Requests listings of a target repeatedly until the leader changes. */
  private pollTarget (target: SimulatedTarget, epoch: number): void {
    if (epoch !== this.epoch) return
    const known = this.scheduler.getTarget(target.id)
    if (known === undefined || target.unreachableUntil > this.now) {
      if (known?.reachable === true) this.apply({ type: 'target-silent', id: target.id, cause: 'no-answer' })
      return this.schedule(250, () => this.pollTarget(target, epoch))
    }
    const request = buildListRequest(known, this.now, LEASE_MS)
    const sentAt = this.now
    this.schedule(1, () => {
      const listing = target.list(epoch, request.acknowledged, request.leaseUntilMs, this.now)
      if (listing !== 'fenced') this.schedule(1, () => { if (epoch === this.epoch) this.apply({ type: 'target-listed', id: target.id, sentAt, listing }) })
      this.schedule(40, () => this.pollTarget(target, epoch))
    })
  }
}
