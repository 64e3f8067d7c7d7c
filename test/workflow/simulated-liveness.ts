import type { JobDefinition } from '../../src/workflow/job.ts'
import { buildCellView } from './cell-view.ts'
import type { LastRuns } from './last-runs.ts'
import { LivenessCheck } from './liveness-check.ts'
import type { SimulatedTarget } from './simulated-target.ts'
import type { VirtualTime } from './virtual-time.ts'

const INTERVAL_MS = 100

export type SimulatedLivenessOptions = {
  readonly time: VirtualTime
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly lastRuns: LastRuns
  readonly maximumCpuMillis: number
  /** Jobs that are neither cancelled nor ended. */
  readonly findOwedJobs: () => readonly JobDefinition[]
  /** Whether faults are injected; the network loses calls then. */
  readonly hasFaults: () => boolean
  /** Number of the leader; a new one is a disturbance. */
  readonly getEpoch: () => number
}

/** Watches whether the scheduler of a simulation starts in time what waits. */
export class SimulatedLiveness {
  private readonly check = LivenessCheck.create()
  private readonly acceptedAt = new Map<string, number>()
  private lastSignature = ''

  private constructor (private readonly options: SimulatedLivenessOptions) {}

  static create (options: SimulatedLivenessOptions): SimulatedLiveness {
    return new SimulatedLiveness(options)
  }

  /** Begins to watch until the simulation ends. */
  start (): void {
    this.options.time.scheduleEvery(INTERVAL_MS, () => this.observe())
  }

  /** The waits that were too long; called at the end. */
  finish (): readonly string[] {
    this.check.finish(this.options.time.now)
    return this.check.violations
  }

  private observe (): void {
    const { time: { now }, targets, lastRuns, maximumCpuMillis } = this.options
    const jobs = this.options.findOwedJobs().map((definition) => ({ definition, acceptedAt: this.findAcceptanceTime(definition, now) }))
    const usedCpuMillis = [...targets.values()].reduce((sum, target) => sum + target.usedCpuMillis, 0)
    this.check.observe(buildCellView({ now, disturbed: this.isDisturbed(now), targets, jobs, lastRuns, maximumCpuMillis: () => maximumCpuMillis, usedCpuMillis: () => usedCpuMillis }))
  }

  private findAcceptanceTime ({ id }: JobDefinition, now: number): number {
    const acceptedAt = this.acceptedAt.get(id) ?? now
    this.acceptedAt.set(id, acceptedAt)
    return acceptedAt
  }

  /** Whether a target is cut off, or a target or the leader has changed since the last call. A target that is away is calm. */
  private isDisturbed (now: number): boolean {
    const { targets, hasFaults, getEpoch } = this.options
    const present = [...targets.values()].filter(({ left }) => !left)
    const signature = JSON.stringify([getEpoch(), present.map(({ id, incarnation, away, draining, cpuMillis }) => [id, incarnation, away, draining, cpuMillis])])
    const changed = signature !== this.lastSignature
    this.lastSignature = signature
    return changed || hasFaults() || present.some(({ away, unreachableUntil }) => away === undefined && unreachableUntil > now)
  }
}
