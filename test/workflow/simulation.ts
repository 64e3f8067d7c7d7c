import { Random } from '../../src/util/random.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, JobPhase } from '../../src/workflow/job.ts'
import { nextListOrder } from '../../src/workflow/list-request.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { CONFIGURATION, QUEUE, STEP, job } from './harness.ts'
import { SimulatedTarget } from './simulated-target.ts'

const LEASE_MS = 3_500
const MAXIMUM_CPU = 9_000
const TARGET_CPU = 4_000
const FAULTS_UNTIL_MS = 30_000
const END_MS = 75_000
const MOST_ATTEMPTS = QUEUE.maxAttempts

type Timed = { readonly at: number, readonly order: number, readonly run: () => void }

/**
 * A cell, its targets and the way between them in virtual time, with lost answers, late orders, silent and crashed
 * targets, cancellations and new leaders. Records every breach of the rules as a text.
 */
export class Simulation {
  readonly breaches: string[] = []
  readonly faults = { lostAnswers: 0, lateOrders: 0, silences: 0, crashes: 0, takeovers: 0, cancellations: 0 }
  private readonly random: Random
  private now = 0
  private order = 0
  private readonly queue: Timed[] = []
  private readonly targets = new Map<string, SimulatedTarget>()
  private cell: CellScheduler
  private epoch = 1
  private readonly jobs = new Map<string, JobDefinition>()
  private readonly stored = new Map<string, JobProgress>()
  /** Jobs whose definitions have been removed from the store. */
  private readonly released = new Set<string>()
  private readonly cancelledAt = new Map<string, number>()
  private readonly done = new Set<string>()
  private readonly noted = new Set<string>()
  private readonly failuresNoted = new Map<string, Set<number>>()
  private earlierRunsLapseAt = 0

  private constructor (private readonly seed: number) {
    this.random = Random.create(seed)
    this.cell = this.newCell()
  }

  /** Plays one seed to its end. */
  static play (seed: number): Simulation {
    const simulation = new Simulation(seed)
    simulation.play()
    return simulation
  }

  get unfinished (): readonly string[] {
    return [...this.jobs.keys()].filter((id) => !['completed', 'failed', 'cancelled'].includes(this.stored.get(id)?.phase ?? 'queued'))
  }

  private play (): void {
    for (let index = 0; index < 6; index++) this.addTarget(`t${index}`)
    this.every(100, () => this.apply({ type: 'tick' }))
    this.every(700, () => this.submit())
    this.every(1_500, () => { if (this.now < FAULTS_UNTIL_MS) this.fault() })
    while (this.queue.length > 0) {
      const next = this.queue.shift()!
      if (next.at > END_MS) break
      this.now = next.at
      next.run()
    }
  }

  private newCell (): CellScheduler {
    const cell = CellScheduler.create({ leaseMs: LEASE_MS, firstRun: (this.epoch - 1) * 1_000_000 + 1 })
    const organisations = [{ ...CONFIGURATION.organisations[0]!, weight: 100, maximum: { cpuMillis: MAXIMUM_CPU, memoryMiB: 0, accelerators: 0 } }]
    cell.apply({ type: 'configured', configuration: { ...CONFIGURATION, organisations } }, this.now)
    return cell
  }

  private at (delayMs: number, run: () => void): void {
    const timed = { at: this.now + delayMs, order: this.order++, run }
    let index = this.queue.length
    while (index > 0 && (this.queue[index - 1]!.at > timed.at)) index -= 1
    this.queue.splice(index, 0, timed)
  }

  private every (ms: number, run: () => void): void {
    this.at(ms, () => {
      run()
      this.every(ms, run)
    })
  }

  private chance (share: number): boolean {
    return this.now < FAULTS_UNTIL_MS && this.random.next() < share
  }

  private addTarget (id: string): void {
    const target: SimulatedTarget = SimulatedTarget.create(id, this.random, (end) => {
      if (end.ending === 'done') this.done.add(end.task)
    }, (end) => {
      if (end.ending === 'done') this.noted.add(end.task)
      if (end.ending === 'failed') this.failuresNoted.set(end.task, (this.failuresNoted.get(end.task) ?? new Set()).add(end.run))
    })
    this.targets.set(id, target)
    this.introduce(target)
    this.watch(target, this.epoch)
  }

  private introduce (target: SimulatedTarget): void {
    this.apply({ type: 'target-published', entry: target.published() })
    this.apply({ type: 'targets-stored', ids: [target.id] })
  }

  private submit (): void {
    if (this.now > FAULTS_UNTIL_MS) return
    const id = `j${this.jobs.size}`
    const count = 1 + this.random.below(4)
    const kind = this.random.below(4)
    const definition = job(id, { count, gang: kind === 1, speculative: kind === 2 }, { count: 1, after: [0] })
    this.jobs.set(id, definition)
    this.apply({ type: 'job-accepted', definition })
  }

  private fault (): void {
    const target = [...this.targets.values()][this.random.below(this.targets.size)]!
    switch (this.random.below(4)) {
      case 0:
        this.faults.silences += 1
        target.silentUntil = this.now + 500 + this.random.below(8_000)
        return
      case 1:
        this.faults.crashes += 1
        target.crash(this.now)
        return this.at(this.random.below(500), () => this.introduce(target))
      case 2: return this.takeOver()
      default: return this.cancel()
    }
  }

  private cancel (): void {
    const open = this.unfinished
    const id = open[this.random.below(open.length)]
    if (id === undefined) return
    this.faults.cancellations += 1
    this.cancelledAt.set(id, this.now)
    this.apply({ type: 'job-cancelled', id })
  }

  /** Another leader with what was stored; orders of the earlier one may still arrive. */
  private takeOver (): void {
    this.faults.takeovers += 1
    this.epoch += 1
    this.cell = this.newCell()
    this.cell.expectEarlierRuns()
    this.apply({ type: 'targets-stored', ids: [...this.targets.keys()] })
    for (const [id, definition] of this.jobs) {
      const stored = this.stored.get(id)
      if (stored !== undefined && this.released.has(id)) this.apply({ type: 'ended-job-restored', id, phase: stored.phase })
      else this.apply({ type: 'job-restored', definition, progress: stored })
    }
    for (const id of this.cancelledAt.keys()) this.apply({ type: 'job-cancelled', id })
    for (const target of this.targets.values()) {
      this.apply({ type: 'target-published', entry: target.published() })
      this.watch(target, this.epoch)
    }
    this.earlierRunsLapseAt = this.now + LEASE_MS * 1.03 + 50
    this.settleEarlierRuns(this.epoch)
  }

  private settleEarlierRuns (epoch: number): void {
    if (epoch !== this.epoch) return
    if (this.cell.allListed || this.now >= this.earlierRunsLapseAt) this.apply({ type: 'earlier-runs-lapsed' })
    else this.at(50, () => this.settleEarlierRuns(epoch))
  }

  private apply (event: CellEvent): void {
    this.carryOut(this.cell.apply(event, this.now))
    this.carryOut(this.cell.start(this.now))
  }

  private carryOut (effects: readonly CellEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start' || effect.type === 'stop') this.send(effect, this.epoch)
      if (effect.type === 'store-progress') this.store(effect.job, this.epoch)
    }
  }

  private store (id: string, epoch: number): void {
    this.at(20, () => {
      if (epoch !== this.epoch) return
      const progress = this.cell.progressOf(id)
      if (progress === undefined) return
      // The ends that were processed by now are covered only if every changed job is stored with them.
      for (const job of this.jobs.keys()) {
        const other = this.cell.progressOf(job)
        if (other !== undefined) this.stored.set(job, other)
      }
      const phases = new Map<string, JobPhase>([...this.jobs.keys()].flatMap((job) => {
        const phase = this.stored.get(job)?.phase
        return phase === undefined ? [] : [[job, phase] as const]
      }))
      const released = [...this.jobs.keys()].filter((job) => !this.cell.needsDefinition(job))
      for (const job of released) this.released.add(job)
      this.apply({ type: 'progress-stored', phases, released, ends: this.cell.processedEnds() })
    })
  }

  private send (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, epoch: number): void {
    const target = this.targets.get(effect.target)!
    const late = this.chance(0.03)
    if (late) this.faults.lateOrders += 1
    const incarnation = target.incarnation
    const arrive = (): void => {
      // A late order is held by the target itself, so that a crash loses it.
      if (target.silentUntil > this.now || (late && incarnation !== target.incarnation)) return
      const outcome = effect.type === 'start' ? this.start(effect, target, epoch) : target.stop(effect.command.task, effect.command.run, epoch, this.now)
      const lost = late || this.chance(0.03)
      if (lost && !late) this.faults.lostAnswers += 1
      if (lost || incarnation !== target.incarnation) return
      this.at(1, () => { if (epoch === this.epoch) this.answer(effect, outcome) })
    }
    this.at(late ? 2_000 + this.random.below(10_000) : 1, arrive)
  }

  private answer (effect: Extract<CellEffect, { type: 'start' | 'stop' }>, outcome: ReturnType<SimulatedTarget['start']>): void {
    const answer = outcome === 'accepted' ? { type: 'accepted', clockMs: undefined } as const : { type: 'refused', reason: outcome, clockMs: undefined } as const
    this.apply({ type: effect.type === 'start' ? 'start-answered' : 'stop-answered', target: effect.target, task: effect.command.task, run: effect.command.run, answer })
  }

  private start (effect: Extract<CellEffect, { type: 'start' }>, target: SimulatedTarget, epoch: number): ReturnType<SimulatedTarget['start']> {
    const { task, run, leaseUntilMs } = effect.command
    const known = target.runs.get(task)?.run === run
    const outcome = target.start({ task, run, leaseUntilMs, epoch, durationMs: 300 + this.random.below(1_200), fails: this.chance(0.04) }, this.now)
    if (outcome === 'accepted' && !known) this.check(target, task, run)
    return outcome
  }

  private check (target: SimulatedTarget, task: string, run: number): void {
    const [id, , stepNumber] = task.split('.')
    const step = this.jobs.get(id!)!.steps[Number(stepNumber)]!
    for (const other of this.targets.values()) other.settle(this.now)
    const breach = (rule: string): void => { this.breaches.push(`seed ${this.seed} at ${this.now}: ${rule}: ${task} run ${run} on ${target.id}`) }
    const cpuOn = (of: SimulatedTarget): number => of.runs.size * STEP.demand.cpuMillis
    if (cpuOn(target) > TARGET_CPU) breach('capacity exceeded')
    const copies = [...this.targets.values()].filter((other) => other !== target && other.runs.has(task))
    if (copies.length > 0 && !step.speculative) breach('two runs at a time')
    if (this.noted.has(task) && !step.speculative) breach('started after its end was acknowledged')
    if (stepNumber === '1' && !Array.from({ length: this.jobs.get(id!)!.steps[0]!.count }, (_, index) => `${id}.0.0.${index}`).some((key) => this.done.has(key))) breach('started before the step before it')
    if ((this.failuresNoted.get(task)?.size ?? 0) >= MOST_ATTEMPTS) breach('started after its last attempt')
    const used = [...this.targets.values()].reduce((sum, other) => sum + cpuOn(other), 0)
    if (used > MAXIMUM_CPU * 1.1 + STEP.demand.cpuMillis) breach('maximum exceeded')
  }

  /** Lists a target again and again for one leader. */
  private watch (target: SimulatedTarget, epoch: number): void {
    if (epoch !== this.epoch) return
    const known = this.cell.target(target.id)
    if (known === undefined || target.silentUntil > this.now) {
      if (known?.reachable === true) this.apply({ type: 'target-silent', id: target.id, refusal: undefined })
      return this.at(250, () => this.watch(target, epoch))
    }
    const order = nextListOrder(known, this.now, LEASE_MS)
    const sentAt = this.now
    this.at(1, () => {
      const listing = target.list(epoch, order.acknowledged, order.leaseUntilMs, this.now)
      if (listing !== 'fenced') this.at(1, () => { if (epoch === this.epoch) this.apply({ type: 'target-listed', id: target.id, sentAt, listing }) })
      this.at(40, () => this.watch(target, epoch))
    })
  }
}
