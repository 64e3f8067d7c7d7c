import { isFinalPhase } from '../../src/workflow/job.ts'
import type { JobPhase } from '../../src/workflow/job.ts'
import { buildCellView } from '../workflow/cell-view.ts'
import type { OwedJob } from '../workflow/cell-view.ts'
import { LivenessCheck } from '../workflow/liveness-check.ts'
import type { VirtualCell } from './virtual-cell.ts'

const INTERVAL_MS = 200

/** Watches whether the leaders of a cell start in time what waits. */
export class VirtualLiveness {
  private readonly check = LivenessCheck.create()
  private readonly endedJobs = new Set<string>()
  private lastSignature = ''

  private constructor (private readonly cell: VirtualCell) {}

  /**
   * Begins to watch a cell.
   *
   * @example
   * const liveness = VirtualLiveness.start(cell)
   * await cell.time.advance(60_000)
   * assert.deepEqual(liveness.finish(), [])
   */
  static start (cell: VirtualCell): VirtualLiveness {
    const liveness = new VirtualLiveness(cell)
    liveness.observeRepeatedly()
    return liveness
  }

  /** The waits that were too long; called at the end. */
  finish (): readonly string[] {
    this.check.finish(this.cell.time.nowMs)
    return this.check.violations
  }

  private observeRepeatedly (): void {
    this.observe()
    this.cell.time.schedule(INTERVAL_MS, () => this.observeRepeatedly())
  }

  private observe (): void {
    const { time: { nowMs }, targets } = this.cell
    this.check.observe(buildCellView({
      now: nowMs,
      disturbed: this.isDisturbed(),
      targets: targets.targets,
      jobs: this.findOwedJobs(),
      lastRuns: targets.lastRuns,
      maximumCpuMillis: () => undefined,
      usedCpuMillis: () => 0
    }))
  }

  private findOwedJobs (): readonly OwedJob[] {
    const { acceptances, cancelledJobs, store } = this.cell
    const open = acceptances.filter(({ definition: { id } }) => !cancelledJobs.has(id) && !this.endedJobs.has(id))
    return open.filter(({ definition: { id } }) => {
      const phase = store.readPhase(id) as JobPhase | undefined
      const isOwed = phase === undefined || !isFinalPhase(phase)
      if (!isOwed) this.endedJobs.add(id)
      return isOwed
    })
  }

  /** Whether a fault goes on, or a process or a target has changed since the last call. What is gone for long is calm, unless no member is left. */
  private isDisturbed (): boolean {
    const { hosts, store, targets, time: { nowMs } } = this.cell
    const all = [...targets.targets.values()]
    const signature = JSON.stringify([hosts.map(({ address, process }) => [address, process.startedAt, process.state === 'ended']), all.map(({ incarnation, away }) => [incarnation, away])])
    const changed = signature !== this.lastSignature
    this.lastSignature = signature
    return changed || hosts.every(({ process }) => process.state === 'ended') || store.service !== 'served' || store.lateRatio > 0 || store.lostRatio > 0 || targets.lateRatio > 0 ||
      hosts.some(({ process, connection, refusesConnections, cutFromMembers, cutFromTargets, unreachedTargets }) => process.state === 'paused' ||
        connection.service !== 'served' || refusesConnections || cutFromMembers || cutFromTargets || unreachedTargets.size > 0) ||
      all.some(({ away, unreachableUntil }) => away === undefined && unreachableUntil > nowMs)
  }
}
