import { Random } from '../../src/util/random.ts'
import type { PackingPolicy } from '../../src/scheduling/options.ts'
import { castOf, exponentialRuns, type PlacerName, placerOf, shape, simulate, workOf } from './fleets.ts'
import type { ResourceName } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work } from '../../src/model/work.ts'

const TARGETS = 60
const RUN_MS = 15_000
const TASKS = 8000
const LONGEST_MS = 3_600_000

/** Shapes with different dominant resources, and their parts of the arrivals. */
const MIX = [
  { resources: shape(1, 1000, 4096), part: 0.35 },
  { resources: shape(1, 6000, 4096), part: 0.2 },
  { resources: shape(1, 1000, 24_576), part: 0.15 },
  { resources: shape(2, 9000, 12_288), part: 0.1 },
  { resources: shape(4, 8000, 32_768), part: 0.08 },
  { resources: shape(1, 2000, 8192, 1), part: 0.09 },
  { resources: shape(4, 8000, 32_768, 8), part: 0.03 }
] as const

export type PackingFigures = {
  readonly placer: string
  readonly seed: number
  /** Least time in which the summed resources of all targets could do the work. */
  readonly boundMs: number
  readonly allDoneMs: number
  /** The bound divided by the time after which all work was done. */
  readonly allOfBound: number
  /** Mean used part of the scarcest resource until the bound had passed. */
  readonly scarcestUsed: number
}

function targets (): readonly Target[] {
  return Array.from({ length: TARGETS }, (_, index) => ({
    id: `t${String(index).padStart(3, '0')}`,
    host: `t${index}`,
    address: '',
    failureDomain: `d${index % 3}`,
    rack: `r${Math.floor(index / 24)}`,
    capacity: { cpuMillis: 32_000, memoryMiB: 131_072, accelerators: index % 4 === 0 ? 8 : 0, slots: 16, connections: 60 },
    state: 'live'
  }))
}

/** All work waits from the beginning; the time to do it is compared with the bound from the summed resources. */
export function measurePacking (placer: PlacerName, policy: PackingPolicy, seed: number): PackingFigures {
  const random = Random.create(seed)
  const fleet = targets()
  const cast = castOf(6, 3)
  const runMs = exponentialRuns(seed + 1, () => RUN_MS)
  const simulation = simulate({ placer: placerOf(placer, { seed, packingPolicy: policy, minTargetsForReserve: Infinity }), targets: fleet, cast, truth: { runMs } })
  const works = Array.from({ length: TASKS }, () => {
    const index = pick(random)
    return workOf({ kind: 'batch', count: 1 }, { team: cast.teams[random.nextInt(6)]!.name, family: `f${index}`, resources: MIX[index]!.resources })
  })
  const bound = boundMs(fleet, works, runMs)
  const used: number[] = []
  for (const work of works) simulation.submit(work)
  while (simulation.succeeded < TASKS && simulation.now < LONGEST_MS) {
    simulation.run(simulation.now + 100)
    if (simulation.now <= bound.ms) used.push(simulation.utilisation(bound.scarcest))
  }
  const allDoneMs = simulation.succeeded === TASKS ? simulation.now : Infinity
  return { placer: placer === 'scheduler' ? policy : placer, seed, boundMs: Math.round(bound.ms), allDoneMs, allOfBound: bound.ms / allDoneMs, scarcestUsed: used.reduce((sum, part) => sum + part, 0) / used.length }
}

function pick (random: Random): number {
  let left = random.next()
  for (const [index, { part }] of MIX.entries()) {
    left -= part
    if (left < 0) return index
  }
  return 0
}

/** The longest time over the resources that the work takes when the amounts of all targets are one. */
function boundMs (fleet: readonly Target[], works: readonly Work[], runMs: (work: Work) => number): { readonly ms: number, readonly scarcest: ResourceName } {
  return (['cpuMillis', 'memoryMiB', 'slots', 'accelerators'] as const)
    .map((scarcest) => ({ scarcest, ms: works.reduce((sum, work) => sum + work.resources[scarcest] * runMs(work), 0) / fleet.reduce((sum, { capacity }) => sum + capacity[scarcest], 0) }))
    .reduce((longest, each) => each.ms > longest.ms ? each : longest)
}
