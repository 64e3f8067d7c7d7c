import { castOf, exponentialRuns, type PlacerName, placerOf, simulate, smallTargets, workOf } from './fleets.ts'
import type { Simulation } from './simulation.ts'

const OUT_AT_MS = 60_000
const IN_AT_MS = 180_000
const END_MS = 240_000
const TARGETS = 30

export type DomainFigures = {
  readonly placer: string
  readonly seed: number
  /** Mean used part of the slots of the surviving domains while one is out, and of all after it has returned. */
  readonly whileOut: number
  readonly afterReturn: number
  /** Time from the return until 95% of all slots are used. */
  readonly refilledAfterMs: number
  /** Starts in the domain while it was out. */
  readonly startsWhileOut: number
  readonly servicesDown: number
}

/** One of three domains is taken out for two minutes while more batch work waits than fits; 30 services run. */
export function measureDomains (placer: PlacerName, weighs: 'packing' | 'prompt', seed: number): DomainFigures {
  const cast = castOf(12, 6)
  const simulation = simulate({
    placer: placerOf(placer, { seed, minTargetsForReserve: Infinity }),
    targets: smallTargets(TARGETS),
    cast,
    weighs,
    truth: { runMs: exponentialRuns(seed, ({ kind }) => kind === 'service' ? 1e12 : 20_000) }
  })
  for (const { name } of cast.teams.slice(0, 10)) simulation.submit(workOf({ kind: 'service', count: 3 }, { team: name, family: 'serve' }))
  for (const { name } of cast.teams) simulation.submit(workOf({ kind: 'batch', count: 1500 }, { team: name, family: 'cut' }))
  simulation.at(OUT_AT_MS, () => simulation.send({ type: 'domain-changed', failureDomain: 'd0', state: 'out' }))
  simulation.at(IN_AT_MS, () => simulation.send({ type: 'domain-changed', failureDomain: 'd0', state: 'in' }))
  const out = { sum: 0, samples: 0 }
  const back = { sum: 0, samples: 0 }
  let refilledAt = Infinity
  let servicesDown = 0
  simulation.run(END_MS, () => {
    const { now } = simulation
    if (now <= OUT_AT_MS) return
    servicesDown = Math.max(servicesDown, 30 - services(simulation))
    if (now <= IN_AT_MS) {
      out.sum += simulation.utilisation('slots', ({ failureDomain }) => failureDomain !== 'd0')
      out.samples += 1
      return
    }
    const used = simulation.utilisation('slots')
    back.sum += used
    back.samples += 1
    if (used >= 0.95) refilledAt = Math.min(refilledAt, now)
  })
  const starts = simulation.startsIn.get('d0') ?? []
  return {
    placer: placer === 'scheduler' ? `${placer} ${weighs}` : placer,
    seed,
    whileOut: out.sum / out.samples,
    afterReturn: back.sum / back.samples,
    refilledAfterMs: refilledAt - IN_AT_MS,
    startsWhileOut: starts.filter(({ at }) => at > OUT_AT_MS && at < IN_AT_MS).length,
    servicesDown
  }
}

function services (simulation: Simulation): number {
  let count = 0
  for (const { work } of simulation.running.values()) if (work.kind === 'service') count += 1
  return count
}
