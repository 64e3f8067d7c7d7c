import type { Resources } from '../../src/model/resources.ts'
import type { Work } from '../../src/model/work.ts'
import { hash } from '../../src/util/hash.ts'
import { Random } from '../../src/util/random.ts'
import { castOf, exponentialRuns, type PlacerName, placerOf, shape, simulate, smallTargets, workOf } from './fleets.ts'
import { quantile, type Simulation } from './simulation.ts'

const TARGETS = 60
const END_MS = 300_000
const RUN_MS = 5000
const FAMILIES = 20

export type BadTargetFigures = {
  readonly placer: string
  readonly seed: number
  readonly badTargets: number
  readonly succeeded: number
  readonly failures: number
  readonly p99WaitMs: number
}

/** Three of 60 targets (5%) fail everything after 0.2 s. The load is 80% of the slots. */
export function measureBadTargets (placer: PlacerName, badTargets: number, seed: number): BadTargetFigures {
  const random = Random.create(seed)
  const cast = castOf(12, 6)
  const bad = new Set(Array.from({ length: badTargets }, (_, index) => `t${String(index * 19).padStart(5, '0')}`))
  const simulation = simulate({
    placer: placerOf(placer, { seed }),
    targets: smallTargets(TARGETS),
    cast,
    truth: { runMs: exponentialRuns(seed + 1, () => RUN_MS), fails: (_, targetId) => bad.has(targetId) }
  })
  const perTick = TARGETS * 8 * 0.8 / RUN_MS * 100
  simulation.run(END_MS, () => {
    for (let left = perTick; left > 0; left -= 1) {
      if (random.next() >= left) continue
      simulation.submit(workOf({ kind: 'batch', count: 1 }, { team: cast.teams[random.nextInt(12)]!.name, family: `f${random.nextInt(FAMILIES)}` }))
    }
  })
  return { placer, seed, badTargets, succeeded: simulation.succeeded, failures: simulation.failures, p99WaitMs: Math.round(quantile(simulation.waits.get('batch') ?? [], 0.99)) }
}

export type DeclarationFigures = {
  readonly placer: string
  readonly seed: number
  readonly declarations: string
  /** Time after which all work was done. */
  readonly allDoneMs: number
  /** Part of the time and targets in which the real use of memory was above the capacity. */
  readonly overused: number
  readonly throttled: number
  readonly evicted: number
}

/** A quarter of a target; eight tasks that declare a tenth of this fill the slots and use more memory than there is. */
const DECLARED = shape(1, 4000, 16_384)
/** Real use as a part of what a right declaration says, plus and minus a tenth. */
const REAL_PART = 0.7
const TASKS_PER_FAMILY = 200
const LONGEST_MS = 3_600_000

/** A tenth of the families declares a tenth of what it needs, a tenth ten times as much, as far as a target allows. */
function declared (family: number, wrong: boolean): Resources {
  if (!wrong || family % 10 > 1) return DECLARED
  return family % 10 === 0 ? shape(1, 400, 1638) : shape(1, 16_000, 65_536)
}

/** A fixed amount of work waits from the beginning; targets report real use each second. */
export function measureDeclarations (placer: PlacerName, wrong: boolean, leastBookedPart: number, seed: number): DeclarationFigures {
  const cast = castOf(10, 5)
  const targets = smallTargets(TARGETS)
  const usage = (work: Work): Resources => {
    const factor = REAL_PART * (0.9 + hash(work.id) % 1000 / 5000)
    return { ...DECLARED, cpuMillis: DECLARED.cpuMillis * factor, memoryMiB: DECLARED.memoryMiB * factor }
  }
  const simulation = simulate({ placer: placerOf(placer, { seed, minBookedRatio: leastBookedPart }), targets, cast, truth: { runMs: exponentialRuns(seed, () => RUN_MS * 4), usage } })
  for (let index = 0; index < TASKS_PER_FAMILY; index += 1) {
    for (let family = 0; family < FAMILIES; family += 1) {
      simulation.submit(workOf({ kind: 'batch', count: 1 }, { team: cast.teams[(family + index) % 10]!.name, family: `f${family}`, resources: declared(family, wrong) }))
    }
  }
  const sums = { overused: 0, samples: 0 }
  while (simulation.succeeded < TASKS_PER_FAMILY * FAMILIES && simulation.now < LONGEST_MS) {
    simulation.run(simulation.now + 100)
    sums.overused += overusedPart(simulation)
    sums.samples += 1
  }
  return {
    placer: placer === 'scheduler' ? `scheduler >= ${leastBookedPart}` : placer,
    seed,
    declarations: wrong ? 'tenfold wrong' : 'right',
    allDoneMs: simulation.succeeded === TASKS_PER_FAMILY * FAMILIES ? simulation.now : Infinity,
    overused: sums.overused / sums.samples,
    throttled: simulation.throttled,
    evicted: simulation.stopped.get('over-usage') ?? 0
  }
}

function overusedPart (simulation: Simulation): number {
  const memory = new Map<string, number>()
  for (const task of simulation.running.values()) memory.set(task.target.id, (memory.get(task.target.id) ?? 0) + simulation.usage(task).memoryMiB)
  return [...memory.values()].filter((used) => used > 65_536).length / TARGETS
}
