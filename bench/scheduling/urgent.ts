import type { Work } from '../../src/model/work.ts'
import { Random } from '../../src/util/random.ts'
import { castOf, exponentialRuns, type PlacerName, placerOf, simulate, smallTargets, workOf } from './fleets.ts'
import { quantile } from './simulation.ts'

const BATCH_MS = 600_000
const URGENT_MS = 2000
const MINUTES = 3

export type UrgentFigures = {
  readonly placer: string
  readonly targets: number
  readonly seed: number
  readonly submitted: number
  readonly started: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** The group is full of batch work of about ten minutes with more waiting; urgent requests use about a tenth of the slots. */
export function measureUrgent (placer: PlacerName, weighs: 'packing' | 'prompt', targetCount: number, seed: number): UrgentFigures {
  const random = Random.create(seed)
  const cast = castOf(12, 6)
  const simulation = simulate({
    placer: placerOf(placer, { seed }),
    targets: smallTargets(targetCount),
    cast,
    weighs,
    truth: { runMs: exponentialRuns(seed + 1, ({ urgent }: Work) => urgent ? URGENT_MS : BATCH_MS) }
  })
  for (const { name } of cast.teams) simulation.submit(workOf({ kind: 'batch', count: targetCount * 8 }, { team: name, idempotent: false }))
  simulation.run(30_000)
  const perTick = targetCount * 8 * 0.1 / URGENT_MS * 100
  let submitted = 0
  simulation.run(30_000 + MINUTES * 60_000, () => {
    for (let left = perTick; left > 0; left -= 1) {
      if (random.next() >= left) continue
      submitted += 1
      simulation.submit(workOf({ kind: 'request', deadlineAt: simulation.now + 600_000 }, { team: cast.teams[random.nextInt(12)]!.name, family: 'page', urgent: true }))
    }
  })
  const waits = simulation.waits.get('urgent') ?? []
  return {
    placer: placer === 'scheduler' ? `${placer} ${weighs}` : placer,
    targets: targetCount,
    seed,
    submitted,
    started: waits.length,
    p50Ms: Math.round(quantile(waits, 0.5)),
    p99Ms: Math.round(quantile(waits, 0.99)),
    maxMs: Math.round(quantile(waits, 1))
  }
}
