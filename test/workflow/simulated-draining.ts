import type { Random } from '../../src/util/random.ts'
import type { SimulatedTarget } from './simulated-target.ts'
import type { VirtualTime } from './virtual-time.ts'

/** Number of targets that stay open. */
const MIN_OPEN_TARGETS = 4

export type SimulatedDrainingOptions = {
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly time: VirtualTime
  readonly random: Random
  /** Makes the scheduler know the changed entry of a target. */
  readonly publishEntry: (target: SimulatedTarget) => void
  /** Ends a target with its runs for good. */
  readonly leave: (target: SimulatedTarget) => void
  /** Makes the scheduler know that the entry of a target is gone. */
  readonly withdraw: (target: SimulatedTarget) => void
  /** Adds a target in place of one that has left. */
  readonly addTarget: () => void
  readonly takeOver: () => void
}

/** Drains targets, which leave and are replaced by others. */
export class SimulatedDraining {
  /** Number of targets that were drained. */
  drained = 0

  private constructor (private readonly options: SimulatedDrainingOptions) {}

  static create (options: SimulatedDrainingOptions): SimulatedDraining {
    return new SimulatedDraining(options)
  }

  /** Drains a target, which leaves some seconds later; in between it may stop draining. Another one takes its place. */
  drainTarget (): void {
    const { targets, time, random, publishEntry, leave, withdraw, addTarget } = this.options
    const open = [...targets.values()].filter(({ draining, away }) => !draining && away === undefined)
    const target = open[random.nextInt(open.length)]
    if (target === undefined || open.length < MIN_OPEN_TARGETS) return
    this.drained += 1
    target.draining = true
    publishEntry(target)
    if (random.nextInt(4) === 0) return time.schedule(random.nextInt(1_500), () => this.stopDraining(target))
    if (random.nextInt(3) === 0) time.schedule(100 + random.nextInt(400), () => this.cutOffAndTakeOver(target))
    time.schedule(300 + random.nextInt(4_000), () => {
      leave(target)
      time.schedule(random.nextInt(1_000), () => withdraw(target))
      addTarget()
    })
  }

  /** The leader changes while a draining target is unreachable and runs on. */
  private cutOffAndTakeOver (target: SimulatedTarget): void {
    target.unreachableUntil = Math.max(target.unreachableUntil, this.options.time.now + 3_000)
    this.options.takeOver()
  }

  private stopDraining (target: SimulatedTarget): void {
    target.draining = false
    this.options.publishEntry(target)
  }
}
