import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { parseWorkId } from '../../src/model/ids.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work } from '../../src/model/work.ts'
import type { SchedulerEffect } from '../../src/scheduling/effect.ts'
import type { SchedulerEvent } from '../../src/scheduling/event.ts'
import { Random } from '../../src/util/random.ts'
import { castOf, mixedTargets, type PlacerName, placerOf, shape, smallTargets, workOf } from './fleets.ts'
import { type Placer, quantile } from './simulation.ts'

const MEASURED_STARTS = 20_000
/** The baseline scans all targets for each start, so fewer of its starts suffice. */
const BASELINE_STARTS = 2000
/** Ends between two ticks, as many as 100 ms hold at 5,000 placements a second. */
const ENDS_PER_TICK = 500

/** Shapes of the waiting work; the accelerator shapes only where there are accelerators. */
const SHAPES = [shape(1, 2000, 8192), shape(1, 1000, 4096), shape(1, 4000, 16_384), shape(2, 6000, 12_288), shape(1, 500, 2048), shape(2, 3000, 24_576)]
const ACCELERATED = [shape(1, 2000, 8192, 1), shape(2, 4000, 16_384, 4)]

export type ScaleFigures = {
  readonly placer: PlacerName
  readonly targets: number
  readonly waiting: number
  readonly running: number
  readonly placementsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
  readonly tickP99Ms: number
  /** Heap in use with the filled group, its work objects included, less that before the first measurement. */
  readonly heapMiB: number
}

/** Fills a group, then lets tasks end and arrive at random and measures each decision (one event). */
export function measureScale (placerName: PlacerName, targetCount: number, waiting: number, seed: number): ScaleFigures {
  const random = Random.create(seed)
  const targets: readonly Target[] = targetCount < 1000 ? smallTargets(targetCount) : mixedTargets(targetCount)
  const cast = castOf(targetCount < 1000 ? 12 : 340, targetCount < 1000 ? 6 : 40)
  const rig = new Feed(placerOf(placerName))
  rig.send({ type: 'teams-changed', ...cast, profile: { name: 'profile', weighs: 'packing' } })
  for (const { name, limit } of cast.teams) rig.send({ type: 'grant-changed', team: name, amount: limit })
  for (const target of targets) rig.send({ type: 'target-upserted', target })
  const shapes = targetCount < 1000 ? SHAPES : [...SHAPES, ...SHAPES, ...ACCELERATED]
  const arrive = (): void => {
    const index = random.nextInt(shapes.length)
    rig.submit(workOf({ kind: 'batch', count: 1 }, { team: cast.teams[random.nextInt(cast.teams.length)]!.name, family: `f${index}`, resources: shapes[index]! }))
  }
  fill(rig, arrive, waiting)
  const heap = heapMiB() - HEAP_AT_START_MIB
  return { placer: placerName, targets: targetCount, waiting, running: rig.running.length, ...churn(rig, arrive, random, placerName), heapMiB: heap }
}

/** Submits until nothing more starts and the wanted number waits. */
function fill (rig: Feed, arrive: () => void, waiting: number): void {
  for (let submitted = 0; submitted - rig.running.length < waiting; submitted += 1) {
    arrive()
    if (submitted % ENDS_PER_TICK === 0) rig.tick()
  }
  for (let round = 0; round < 200; round += 1) rig.tick()
}

function churn (rig: Feed, arrive: () => void, random: Random, placer: PlacerName): Pick<ScaleFigures, 'placementsPerSecond' | 'p50Ms' | 'p99Ms' | 'maxMs' | 'tickP99Ms'> {
  rig.decisionsMs.length = 0
  rig.ticksMs.length = 0
  rig.starts = 0
  const wanted = placer === 'scheduler' ? MEASURED_STARTS : BASELINE_STARTS
  // The baseline starts little while a large task blocks its queue, so the number of ends is bounded too.
  for (let ends = 0; rig.starts < wanted && ends < 2 * wanted; ends += 1) {
    if (rig.running.length > 0) rig.end(random.nextInt(rig.running.length))
    arrive()
    if (ends % ENDS_PER_TICK === ENDS_PER_TICK - 1) rig.tick()
  }
  const totalMs = rig.decisionsMs.reduce((sum, value) => sum + value, 0)
  return {
    placementsPerSecond: Math.round(rig.starts / totalMs * 1000),
    p50Ms: quantile(rig.decisionsMs, 0.5),
    p99Ms: quantile(rig.decisionsMs, 0.99),
    maxMs: quantile(rig.decisionsMs, 1),
    tickP99Ms: quantile(rig.ticksMs, 0.99)
  }
}

/** Sends events to a placer and keeps what runs in an array, so that a random task is found at once. */
class Feed {
  now = 0
  starts = 0
  readonly decisionsMs: number[] = []
  readonly ticksMs: number[] = []
  readonly running: { readonly taskId: string, readonly targetId: string }[] = []
  private readonly positions = new Map<string, number>()

  constructor (private readonly placer: Placer) {}

  send (event: SchedulerEvent extends infer Each ? Each extends SchedulerEvent ? Omit<Each, 'now'> : never : never): void {
    const before = process.hrtime.bigint()
    const effects = this.placer.apply({ ...event, now: this.now } as SchedulerEvent)
    const passedMs = Number(process.hrtime.bigint() - before) / 1e6
    this.decisionsMs.push(passedMs)
    if (event.type === 'tick') this.ticksMs.push(passedMs)
    for (const effect of effects) this.effect(effect)
  }

  private effect (effect: SchedulerEffect): void {
    if (effect.type === 'start') {
      this.starts += 1
      this.positions.set(effect.taskId, this.running.length)
      this.running.push(effect)
    } else if (effect.type === 'stop') {
      const position = this.positions.get(effect.taskId)
      if (position !== undefined) this.end(position, true)
    }
  }

  submit (work: Work): void {
    this.send({ type: 'work-submitted', work })
  }

  end (position: number, stopped = false): void {
    const { taskId, targetId } = this.running[position]!
    const last = this.running.pop()!
    this.positions.delete(taskId)
    if (last.taskId !== taskId) {
      this.running[position] = last
      this.positions.set(last.taskId, position)
    }
    if (parseWorkId(taskId) === '') throw new Error(`malformed task id ${taskId}`)
    this.send({ type: 'task-ended', taskId, targetId, completion: stopped ? 'stopped' : 'succeeded', mustRunAgain: stopped })
  }

  tick (): void {
    this.now += 100
    this.send({ type: 'tick' })
  }
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapMiB (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed / 2 ** 20
}

const HEAP_AT_START_MIB = heapMiB()
