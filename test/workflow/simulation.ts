import { findEarlierRunsEvent } from '../../src/controller/leadership/earlier-runs-event.ts'
import { computeFencingNumber } from '../../src/controller/leadership/fencing-number.ts'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'
import { Random } from '../../src/util/random.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition } from '../../src/workflow/job.ts'
import type { SilentTargetsById } from '../../src/workflow/takeover/silent-targets.ts'
import { AttemptHistory, TIME_TO_STORE_MS } from './attempt-history.ts'
import { LastRuns } from './last-runs.ts'
import { MAXIMUM_CPU_MILLIS, RuleCheck } from './rule-check.ts'
import { SimulatedDraining } from './simulated-draining.ts'
import { SimulatedGangs } from './simulated-gangs.ts'
import { CLOCK_DIFFERENCE_MS, LASTING_JOB, LASTING_MS, buildSimulatedConfiguration, drawDurationMs, drawJob, drawPreemptibleJob, drawVariedJob } from './simulated-jobs.ts'
import { SimulatedLiveness } from './simulated-liveness.ts'
import { SimulatedSession } from './simulated-session.ts'
import { SimulatedStore } from './simulated-store.ts'
import { SimulatedTargetFaults } from './simulated-target-faults.ts'
import { LONGEST_LEASE_MS, SimulatedTarget } from './simulated-target.ts'
import { NO_OPTIONS } from './simulation-options.ts'
import type { SimulationOptions } from './simulation-options.ts'
import { VirtualTime } from './virtual-time.ts'

const LEASE_MS = 3_500
const FAULTS_UNTIL_MS = 30_000
const END_MS = 75_000
const CRASH_DELAY_MS = 10
const SLOW_CLOCK_RATE = 0.98
/** What waits takes longer beside tasks that last, which take a part of the maximum. */
const LASTING_EXTRA_MS = 30_000
/** The tasks that last are cancelled this time before the end, in milliseconds. */
const CANCEL_TIME_MS = 5_000

/**
 * Simulates a scheduler, its targets and the network between them in virtual time, with lost responses, delayed commands,
 * unreachable and crashed targets, cancellations and new leaders. Describes each violation of a rule in a text.
 */
export class Simulation {
  readonly faults = { lostResponses: 0, delayedCommands: 0, outages: 0, crashes: 0, takeovers: 0, cancellations: 0, crashesByTasks: 0, takeoversBetweenCrashes: 0 }
  /** Runs that were stopped for urgent ones, and last attempts that started on several targets. */
  readonly featureUse = { preempted: 0, parallel: 0 }
  /** Leaders that took over while the stored record had closed targets. */
  takeoversWithClosedTargets = 0
  private readonly random: Random
  private readonly time = VirtualTime.create()
  private readonly targets = new Map<string, SimulatedTarget>()
  private scheduler: CellScheduler
  private epoch = 1
  private readonly jobs = new Map<string, JobDefinition>()
  private readonly store = SimulatedStore.create()
  /** What was not started in time; empty unless there are tasks that last. */
  delays: readonly string[] = []
  private readonly cancelledAt = new Map<string, number>()
  private readonly attempts = AttemptHistory.create()
  /** Tasks that crash each target on which they start. */
  private readonly crashingTasks = new Set<string>()
  private readonly check: RuleCheck
  private readonly gangs: SimulatedGangs
  readonly targetFaults: SimulatedTargetFaults
  readonly draining: SimulatedDraining
  private readonly lastRuns = LastRuns.create()
  private readonly liveness: SimulatedLiveness
  private leaderSince = 0

  private constructor (seed: number, private readonly options: SimulationOptions) {
    this.random = Random.create(seed)
    this.gangs = SimulatedGangs.create({ targets: this.targets, jobs: this.jobs, time: this.time, random: this.random })
    this.check = RuleCheck.create({ seed, targets: this.targets, jobs: this.jobs, attempts: this.attempts, crashingTasks: this.crashingTasks })
    const { targets, time, random } = this
    const publishEntry = (target: SimulatedTarget): void => this.apply({ type: 'target-published', entry: target.toEntry() })
    this.targetFaults = SimulatedTargetFaults.create({
      targets,
      time,
      random,
      publishEntry,
      crash: (target) => this.crashTarget(target),
      goAway: (target, away) => this.endTarget(target, 'as its target went away', () => target.goAway(away)),
      publish: (target) => this.publishTarget(target)
    })
    this.draining = SimulatedDraining.create({
      targets,
      time,
      random,
      publishEntry,
      leave: (target) => this.loseRuns(target, 'as its target left', () => target.leave()),
      withdraw: ({ id }) => this.apply({ type: 'target-withdrawn', id }),
      addTarget: () => this.addTarget(`t${targets.size}`),
      takeOver: () => this.takeOver()
    })
    this.liveness = SimulatedLiveness.create({
      time,
      targets,
      lastRuns: this.lastRuns,
      maximumCpuMillis: MAXIMUM_CPU_MILLIS,
      findOwedJobs: () => this.unfinishedJobs.filter((id) => !this.cancelledAt.has(id)).map((id) => this.jobs.get(id)!),
      hasFaults: () => this.now < FAULTS_UNTIL_MS,
      getEpoch: () => this.epoch
    })
    this.scheduler = this.createScheduler()
  }

  /** Runs the simulation of one seed to its end. */
  static run (seed: number, options: Partial<SimulationOptions> = {}): Simulation {
    const simulation = new Simulation(seed, { ...NO_OPTIONS, ...options })
    simulation.runToEnd()
    return simulation
  }

  get violations (): readonly string[] {
    return this.check.violations
  }

  get lateOnUnknownIncarnations (): readonly string[] {
    return this.check.lateOnUnknownIncarnations
  }

  get startsOnShrunkTargets (): number {
    return this.check.startsOnShrunkTargets
  }

  private get now (): number {
    return this.time.now
  }

  get unfinishedJobs (): readonly string[] {
    return [...this.jobs.keys()].filter((id) => !['completed', 'failed', 'cancelled'].includes(this.store.getPhase(id) ?? 'queued'))
  }

  /** The jobs that are shown as failed although no task has failed or crashed its targets often enough. */
  get failedWithoutCause (): readonly string[] {
    return [...this.jobs.keys()].filter((id) => this.store.getPhase(id) === 'failed' && !this.attempts.mayFail(id, this.crashingTasks))
  }

  private runToEnd (): void {
    for (let index = 0; index < 6; index++) this.addTarget(`t${index}`)
    this.time.scheduleEvery(100, () => this.apply({ type: 'tick', earlierCommandsEndAt: this.epoch === 1 ? -Infinity : this.leaderSince }))
    this.time.scheduleEvery(700, () => this.submitJob())
    this.time.scheduleEvery(1_500, () => { if (this.now < FAULTS_UNTIL_MS) this.injectFault() })
    if (this.options.draining) this.time.scheduleEvery(2_300, () => { if (this.now < FAULTS_UNTIL_MS) this.draining.drainTarget() })
    if (this.options.restarting) this.time.scheduleEvery(1_100, () => { if (this.now < FAULTS_UNTIL_MS) this.targetFaults.restartTarget() })
    if (this.options.restless) this.time.scheduleEvery(1_000, () => { if (this.now < FAULTS_UNTIL_MS) this.targetFaults.crashInSeries() })
    if (this.options.shrinking) this.time.scheduleEvery(1_300, () => { if (this.now < FAULTS_UNTIL_MS) this.targetFaults.shrinkTarget() })
    if (this.options.leaving) this.time.scheduleEvery(3_700, () => { if (this.now < FAULTS_UNTIL_MS) this.targetFaults.takeAway() })
    if (this.options.takingOver) this.time.scheduleEvery(9_100, () => { if (this.now < FAULTS_UNTIL_MS) this.takeOverInSeries(2 + this.random.nextInt(3)) })
    const endMs = END_MS + (this.options.lasting ? LASTING_EXTRA_MS : 0)
    if (this.options.lasting) this.startLastingJob(endMs)
    this.time.runUntil(endMs)
    this.delays = this.liveness.finish()
  }

  private createScheduler (): CellScheduler {
    const scheduler = CellScheduler.create({
      leaseMs: LEASE_MS,
      longestLeaseMs: LONGEST_LEASE_MS,
      areCommandsBound: this.options.connected,
      firstRunNumber: (this.epoch - 1) * 1_000_000 + 1,
      features: { ...DEFAULT_FEATURES.scheduling, preemption: this.options.preempting, parallelLastAttempts: this.options.parallelAttempts },
      wallClockOffsetMs: this.options.varied && this.epoch % 2 === 0 ? CLOCK_DIFFERENCE_MS : 0
    })
    scheduler.apply({ type: 'configured', configuration: buildSimulatedConfiguration(MAXIMUM_CPU_MILLIS) }, this.now)
    return scheduler
  }

  private occurs (probability: number): boolean {
    return this.now < FAULTS_UNTIL_MS && this.random.next() < probability
  }

  private addTarget (id: string): void {
    const target = SimulatedTarget.create({
      id,
      clockRate: this.options.slow ? SLOW_CLOCK_RATE : undefined,
      random: this.random,
      onCompletion: (completion) => {
        this.check.recordCompletion(completion)
        this.lastRuns.recordEnd(completion.task, { run: completion.run, target: id, end: completion.outcome, endedAt: this.now })
        if (completion.outcome !== 'done') this.gangs.handleLoss(completion.task, completion.run)
      },
      onAcknowledged: (completion, lapsed) => this.check.recordAcknowledged(completion, lapsed)
    })
    this.targets.set(id, target)
    this.publishTarget(target)
    this.pollTarget(target, this.epoch)
  }

  private publishTarget (target: SimulatedTarget): void {
    this.apply({ type: 'target-published', entry: target.toEntry() })
    if (!this.options.draining) this.apply({ type: 'targets-stored', ids: [target.id] })
  }

  private submitJob (): void {
    if (this.now > FAULTS_UNTIL_MS) return
    const id = `j${this.jobs.size}`
    const definition = this.drawJob(id)
    this.jobs.set(id, definition)
    if (this.options.crashing && this.random.nextInt(8) === 0) this.crashingTasks.add(`${id}.0.0.0`)
    this.apply({ type: 'job-accepted', definition })
    if (definition.steps[0]!.longRunning) this.time.schedule(LASTING_MS / 2 + this.random.nextInt(LASTING_MS / 2), () => this.cancel(id))
  }

  private drawJob (id: string): JobDefinition {
    if (this.options.preempting) return drawPreemptibleJob(this.random, id)
    return this.options.varied ? drawVariedJob(this.random, id, this.now) : drawJob(this.random, id)
  }

  /** Hands in tasks that last until shortly before the end, and watches whether they are started in time. */
  private startLastingJob (endMs: number): void {
    this.jobs.set(LASTING_JOB.id, LASTING_JOB)
    this.apply({ type: 'job-accepted', definition: LASTING_JOB })
    this.time.schedule(endMs - CANCEL_TIME_MS, () => this.cancel(LASTING_JOB.id))
    this.liveness.start()
  }

  private injectFault (): void {
    const target = [...this.targets.values()][this.random.nextInt(this.targets.size)]!
    switch (this.random.nextInt(4)) {
      case 0:
        this.faults.outages += 1
        target.unreachableUntil = this.now + 500 + this.random.nextInt(8_000)
        return
      case 1:
        if (target.away !== undefined) return
        this.faults.crashes += 1
        this.crashTarget(target)
        return this.time.schedule(this.random.nextInt(500), () => this.publishTarget(target))
      case 2: return this.takeOver()
      default: return this.cancelJob()
    }
  }

  private crashTarget (target: SimulatedTarget): void {
    this.endTarget(target, 'with the process of its target', () => target.crash(this.now))
  }

  /** Ends a target and its runs, which the attempts of their tasks count as crashed. */
  private endTarget (target: SimulatedTarget, end: string, carryOut: () => void): void {
    target.completeDueRuns(this.now)
    this.attempts.recordCrash(target.runs.keys(), this.now)
    this.loseRuns(target, end, carryOut)
  }

  private loseRuns (target: SimulatedTarget, end: string, carryOut: () => void): void {
    const lost = [...target.runs.values()]
    this.lastRuns.recordLoss(lost, { target: target.id, end, endedAt: this.now })
    carryOut()
    for (const { task, run } of lost) this.gangs.handleLoss(task, run)
  }

  /** Crashes a target because of a task; it comes back after some seconds. */
  private crashByTask (target: SimulatedTarget, incarnation: number): void {
    if (target.incarnation !== incarnation || target.left || target.away !== undefined) return
    this.faults.crashesByTasks += 1
    this.crashTarget(target)
    target.unreachableUntil = this.now + 1_000 + this.random.nextInt(4_000)
    this.time.schedule(target.unreachableUntil - this.now, () => { if (!target.left) this.publishTarget(target) })
    if (this.random.nextInt(4) === 0) this.takeOverBetweenCrashes()
  }

  /** The leader changes between a crash by a task and the next one, after it has stored what it has seen. */
  private takeOverBetweenCrashes (): void {
    this.time.schedule(TIME_TO_STORE_MS + this.random.nextInt(4_000), () => {
      this.faults.takeoversBetweenCrashes += 1
      this.takeOver()
    })
  }

  private cancelJob (): void {
    const unfinished = this.unfinishedJobs.filter((id) => id !== LASTING_JOB.id)
    const id = unfinished[this.random.nextInt(unfinished.length)]
    if (id === undefined) return
    this.faults.cancellations += 1
    this.cancel(id)
  }

  private cancel (id: string): void {
    this.cancelledAt.set(id, this.now)
    this.apply({ type: 'job-cancelled', id })
  }

  /** New leaders follow one another every 2 to 8 s. */
  private takeOverInSeries (count: number): void {
    this.takeOver()
    if (count > 1 && this.now < FAULTS_UNTIL_MS) this.time.schedule(2_000 + this.random.nextInt(6_000), () => this.takeOverInSeries(count - 1))
  }

  /** Replaces the leader by one that reads the store. Commands of the previous leader may still arrive. */
  private takeOver (): void {
    this.faults.takeovers += 1
    this.attempts.recordLeaderEnd(this.now)
    this.epoch += 1
    this.scheduler = this.createScheduler()
    this.scheduler.expectEarlierRuns()
    const stored = this.options.draining ? this.store.targets : { ids: [...this.targets.keys()], closed: {} }
    if (Object.keys(stored.closed).length > 0) this.takeoversWithClosedTargets += 1
    this.apply({ type: 'silent-targets-restored', targets: this.store.silentTargets })
    this.apply({ type: 'closed-targets-restored', closed: stored.closed })
    this.apply({ type: 'incarnations-restored', incarnations: this.store.incarnations, unbound: this.store.unbound })
    this.apply({ type: 'targets-stored', ids: stored.ids })
    for (const definition of this.jobs.values()) this.apply(this.store.buildRestoreEvent(definition))
    for (const id of this.cancelledAt.keys()) this.apply({ type: 'job-cancelled', id })
    for (const target of this.targets.values()) {
      if (target.left) continue
      this.apply({ type: 'target-published', entry: target.toEntry() })
      this.pollTarget(target, this.epoch)
    }
    this.leaderSince = this.now
    this.resolveEarlierRuns(this.epoch, stored.ids)
  }

  private resolveEarlierRuns (epoch: number, previousTargets: readonly string[]): void {
    if (epoch !== this.epoch || !this.scheduler.earlierRunsExpected) return
    const event = findEarlierRunsEvent({
      lapsed: this.now >= this.leaderSince + this.scheduler.longestEarlierLeaseMs * 1.03 + 50,
      listed: this.scheduler.allTargetsListed && previousTargets.every((id) => this.scheduler.getTarget(id)?.listed === true),
      unsettled: this.scheduler.findUnsettledTargets(this.now - 50)
    })
    if (event !== undefined) this.apply(event)
    this.time.schedule(50, () => this.resolveEarlierRuns(epoch, previousTargets))
  }

  private apply (event: CellEvent): void {
    this.applyEffects(this.scheduler.apply(event, this.now))
    this.applyEffects(this.scheduler.startTasks(this.now))
  }

  private applyEffects (effects: readonly CellEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'count' && effect.counter === 'run-preempted') this.featureUse.preempted += 1
      if (effect.type === 'count' && effect.counter === 'last-attempt' && effect.reason === 'parallel') this.featureUse.parallel += 1
      if (effect.type === 'start' || effect.type === 'stop') this.sendCommand(effect, this.epoch)
      if (effect.type === 'store-progress') this.storeProgress(effect.job, this.epoch)
      if (effect.type === 'store-targets') this.storeTargets(effect, this.epoch)
      if (effect.type === 'store-silent-targets') this.storeSilentTargets(effect.targets, this.epoch)
    }
  }

  private storeTargets ({ ids, closed, incarnations, unbound }: Extract<CellEffect, { type: 'store-targets' }>, epoch: number): void {
    this.time.schedule(20, () => {
      if (epoch !== this.epoch) return
      this.store.incarnations = incarnations
      this.store.unbound = unbound
      if (this.options.draining) this.store.targets = { ids, closed }
      this.apply({ type: 'targets-stored', ids, unbound })
    })
  }

  private storeSilentTargets (targets: SilentTargetsById, epoch: number): void {
    this.time.schedule(20, () => {
      if (epoch !== this.epoch) return
      this.store.silentTargets = targets
      this.apply({ type: 'silent-targets-stored', ids: Object.keys(targets).filter((id) => targets[id]!.isCommanded !== true) })
    })
  }

  private storeProgress (id: string, epoch: number): void {
    this.time.schedule(20, () => {
      if (epoch !== this.epoch) return
      if (this.scheduler.getProgress(id) === undefined) return
      this.apply(this.store.commit(this.scheduler, [...this.jobs.keys()]))
    })
  }

  private sendCommand (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, epoch: number): void {
    const target = this.targets.get(effect.target)!
    const delayed = this.occurs(this.options.late ? 0.08 : 0.03)
    if (delayed) this.faults.delayedCommands += 1
    const incarnation = target.incarnation
    if (this.options.connected && effect.type === 'start' && effect.incarnation !== incarnation) return this.withhold(effect, epoch)
    const fencingNumber = computeFencingNumber(epoch, effect.series)
    const arrive = (): void => {
      if (!(delayed ? this.mayArriveLate(target, incarnation) : this.mayArrive(target, incarnation))) return
      const outcome = effect.type === 'start' ? this.startRun(effect, target, fencingNumber, delayed) : target.stop(effect.command.task, effect.command.run, fencingNumber, this.now)
      const lost = delayed || this.occurs(0.03)
      if (lost && !delayed) this.faults.lostResponses += 1
      if (lost || incarnation !== target.incarnation) return
      this.time.schedule(1, () => { if (epoch === this.epoch) this.deliverResponse(effect, outcome) })
    }
    this.time.schedule(delayed ? this.drawLateDelayMs() : 1, arrive)
  }

  /** Another incarnation has answered than the one that the start is meant for, so that it is not sent. */
  private withhold (effect: Extract<CellEffect, { type: 'start' }>, epoch: number): void {
    this.time.schedule(1, () => {
      if (epoch === this.epoch) this.apply({ type: 'start-answered', target: effect.target, incarnation: effect.incarnation, task: effect.command.task, run: effect.command.run, response: { type: 'unanswered', reason: 'incarnation-not-confirmed', sent: false } })
    })
  }

  /** A connection ends with the incarnation that has accepted it. */
  private mayArrive (target: SimulatedTarget, incarnation: number): boolean {
    return target.isReachable(this.now) && (!this.options.connected || target.incarnation === incarnation)
  }

  /** A delayed command waits in the target itself, so that a crash loses it, or in the network, from where it reaches any incarnation. */
  private mayArriveLate (target: SimulatedTarget, incarnation: number): boolean {
    if (this.options.connected) return !target.left && target.away === undefined && incarnation === target.incarnation
    if (this.options.late && this.options.restarting) return !target.left && target.away === undefined
    return target.isReachable(this.now) && incarnation === target.incarnation
  }

  private deliverResponse (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, outcome: ReturnType<SimulatedTarget['start']>): void {
    const response = outcome === 'accepted' ? { type: 'accepted', clockMs: undefined } as const : { type: 'refused', reason: outcome, clockMs: undefined } as const
    this.apply({ type: effect.type === 'start' ? 'start-answered' : 'stop-answered', target: effect.target, incarnation: effect.incarnation, series: effect.series, task: effect.command.task, run: effect.command.run, response })
  }

  private startRun (effect: Extract<CellEffect, { type: 'start' }>, target: SimulatedTarget, fencingNumber: number, late: boolean): ReturnType<SimulatedTarget['start']> {
    const { task, run, leaseUntilMs } = effect.command
    const present = target.runs.get(task)
    const { incarnation } = target
    const durationMs = drawDurationMs(this.random, this.jobs.get(task.split('.')[0]!)!)
    const outcome = target.start({ task, run, leaseUntilMs, epoch: fencingNumber, durationMs, fails: this.occurs(this.options.parallelAttempts ? 0.2 : 0.04), lacksRoom: this.options.refusing && this.occurs(0.1) }, this.now)
    if (outcome === 'accepted' && present?.run !== run) {
      this.check.recordStart(target, { task, run, replaces: present !== undefined, late }, this.now)
      this.gangs.handleStart(target, task, run)
    }
    if (outcome === 'accepted' && this.crashingTasks.has(task)) this.time.schedule(CRASH_DELAY_MS, () => this.crashByTask(target, incarnation))
    return outcome
  }

  /** Starts to request listings of a target, until the leader changes. */
  private pollTarget (target: SimulatedTarget, epoch: number): void {
    SimulatedSession.start({
      target,
      epoch,
      leaseMs: LEASE_MS,
      simulation: this.options,
      time: this.time,
      getKnown: () => this.scheduler.getTarget(target.id),
      isCommanded: () => !this.scheduler.isPromisedSilent(target.id),
      isLeading: () => epoch === this.epoch,
      applyEvent: (event) => this.apply(event),
      occurs: (probability) => this.occurs(probability),
      drawLateDelayMs: () => this.drawLateDelayMs()
    })
  }

  private drawLateDelayMs (): number {
    return 2_000 + this.random.nextInt(10_000)
  }
}
