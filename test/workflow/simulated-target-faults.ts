import type { Random } from '../../src/util/random.ts'
import { TARGET_CPU_MILLIS } from './simulated-target.ts'
import type { SimulatedTarget } from './simulated-target.ts'
import type { VirtualTime } from './virtual-time.ts'

/** How long targets that go away stay away at least and at most, in milliseconds. */
const MIN_AWAY_MS = 20_000
const MAX_AWAY_MS = 30_000
/** Targets that restart and then go away do so after this time at least and at most, in milliseconds. */
const MIN_LIFE_MS = 500
const MAX_LIFE_MS = 20_000

export type SimulatedTargetFaultsOptions = {
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly time: VirtualTime
  readonly random: Random
  /** Ends a target with its runs; the next incarnation begins at once. */
  readonly crash: (target: SimulatedTarget) => void
  /** Ends a target with its runs; the next incarnation begins when it returns. */
  readonly goAway: (target: SimulatedTarget, away: 'silent' | 'refusing') => void
  readonly publish: (target: SimulatedTarget) => void
  /** Makes the scheduler know the changed entry of a target. */
  readonly publishEntry: (target: SimulatedTarget) => void
}

/** Restarts, crashes, shrinks and takes away random targets. */
export class SimulatedTargetFaults {
  readonly counts = { restarts: 0, crashesInSeries: 0, shrinks: 0, departures: 0 }

  private constructor (private readonly options: SimulatedTargetFaultsOptions) {}

  static create (options: SimulatedTargetFaultsOptions): SimulatedTargetFaults {
    return new SimulatedTargetFaults(options)
  }

  /** Restarts a target under its id, in half of the cases behind a cut; it publishes itself a little later. */
  restartTarget (): void {
    const { random, time, crash } = this.options
    const target = this.pickPresent()
    this.counts.restarts += 1
    crash(target)
    if (random.nextInt(2) === 0) target.unreachableUntil = Math.max(target.unreachableUntil, time.now + 200 + random.nextInt(6_000))
    else time.schedule(random.nextInt(5_000), () => { target.unreachableUntil = Math.max(target.unreachableUntil, time.now + 3_000 + random.nextInt(9_000)) })
    time.schedule(random.nextInt(800), () => this.publish(target))
  }

  /** Crashes a target by itself, in half of the cases behind a cut; it is back some seconds later. */
  crashInSeries (): void {
    const { random, time, targets, crash } = this.options
    const reachable = [...targets.values()].filter((target) => !target.left && target.isReachable(time.now))
    const target = reachable[random.nextInt(reachable.length)]
    if (target === undefined) return
    this.counts.crashesInSeries += 1
    target.unreachableUntil = time.now + 1_000 + random.nextInt(2_000)
    if (random.nextInt(2) === 0) crash(target)
    else time.schedule(random.nextInt(800), () => { if (target.away === undefined) crash(target) })
    time.schedule(target.unreachableUntil - time.now, () => this.publish(target))
  }

  /** Shrinks a target for some seconds; its entry tells of it a little later. */
  shrinkTarget (): void {
    const { random, time } = this.options
    const target = this.pickPresent()
    this.counts.shrinks += 1
    this.resizeTarget(target, random.nextInt(TARGET_CPU_MILLIS))
    time.schedule(5_000 + random.nextInt(8_000), () => this.resizeTarget(target, TARGET_CPU_MILLIS))
  }

  /** Takes up to two targets away for long, in half of the cases some time after they have restarted. At least half stay. */
  takeAway (): void {
    const { random, time, crash } = this.options
    const count = 1 + random.nextInt(2)
    const restartsBefore = random.nextInt(2) === 0
    const away = random.nextInt(2) === 0 ? 'silent' : 'refusing'
    const lifeMs = MIN_LIFE_MS + random.nextInt(MAX_LIFE_MS - MIN_LIFE_MS)
    for (let index = 0; index < count; index += 1) {
      const target = this.pickPresent()
      if (!restartsBefore) {
        this.goAway(target, away)
        continue
      }
      crash(target)
      time.schedule(random.nextInt(300), () => this.publish(target))
      time.schedule(lifeMs, () => this.goAway(target, away))
    }
  }

  private goAway (target: SimulatedTarget, away: 'silent' | 'refusing'): void {
    const { random, time, targets } = this.options
    const others = [...targets.values()].filter((other) => !other.left && other.away === undefined)
    if (target.left || target.away !== undefined || 2 * others.length <= targets.size) return
    this.counts.departures += 1
    this.options.goAway(target, away)
    time.schedule(MIN_AWAY_MS + random.nextInt(MAX_AWAY_MS - MIN_AWAY_MS), () => {
      if (target.left) return
      target.comeBack(time.now)
      time.schedule(random.nextInt(800), () => this.publish(target))
    })
  }

  private pickPresent (): SimulatedTarget {
    const present = [...this.options.targets.values()].filter(({ left, away }) => !left && away === undefined)
    return present[this.options.random.nextInt(present.length)]!
  }

  private publish (target: SimulatedTarget): void {
    if (!target.left && target.away === undefined) this.options.publish(target)
  }

  private resizeTarget (target: SimulatedTarget, cpuMillis: number): void {
    const { random, time, publishEntry } = this.options
    target.resize(cpuMillis, time.now)
    time.schedule(random.nextInt(1_000), () => { if (!target.left && target.away === undefined) publishEntry(target) })
  }
}
