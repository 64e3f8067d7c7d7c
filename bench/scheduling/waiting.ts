import type { Work } from '../../src/model/work.ts'
import { Random } from '../../src/util/random.ts'
import { castOf, exponentialRuns, type PlacerName, placerOf, simulate, smallTargets, workOf } from './fleets.ts'
import { quantile } from './simulation.ts'

const MINUTES = 5
const LOAD = 0.75
const TARGETS = 30
const SLOTS = TARGETS * 8
const BATCH_MS = 20_000
const REQUEST_MS = 1000

const FLOODING_TEAM = 'team3'

export type WaitingFigures = {
  readonly placer: string
  readonly seed: number
  readonly classes: Readonly<Record<string, { readonly count: number, readonly p50Ms: number, readonly p99Ms: number }>>
  readonly finished: number
}

/**
 * Twelve teams with equal weights load 75% of the slots: a third of that by requests of about 1 s, half by batch work
 * of about 20 s, the rest by gangs of 8; one request in 20 is urgent. After one minute one team adds a burst of batch
 * work that fills the group until the end. The work of that team is reported apart from that of the others.
 */
export function measureWaiting (placer: PlacerName, weighs: 'packing' | 'prompt', seed: number): WaitingFigures {
  const random = Random.create(seed)
  const cast = equalCast()
  const simulation = simulate({
    placer: placerOf(placer, { seed }),
    targets: smallTargets(TARGETS),
    cast,
    weighs,
    classOf: ({ team: name, kind }) => name === FLOODING_TEAM ? `flooding-${kind}` : undefined,
    truth: { runMs: exponentialRuns(seed + 1, ({ kind }: Work) => kind === 'request' ? REQUEST_MS : BATCH_MS) }
  })
  const team = (): string => cast.teams[random.nextInt(cast.teams.length)]!.name
  const perTick = (part: number, runMs: number, slots: number): number => SLOTS * LOAD * part / slots / runMs * 100
  const arrive = (rate: number, submit: () => void): void => {
    for (let left = rate; left > 0; left -= 1) if (random.next() < left) submit()
  }
  simulation.at(60_000, () => simulation.submit(workOf({ kind: 'batch', count: 1500 }, { team: FLOODING_TEAM, family: 'burst' })))
  simulation.run(MINUTES * 60_000, () => {
    arrive(perTick(0.33, REQUEST_MS, 1), () => simulation.submit(workOf({ kind: 'request', deadlineAt: simulation.now + 600_000 }, { team: team(), family: 'ask', urgent: random.next() < 0.05 })))
    arrive(perTick(0.5, BATCH_MS, 1), () => simulation.submit(workOf({ kind: 'batch', count: 1 }, { team: team(), family: 'cut' })))
    arrive(perTick(0.17, BATCH_MS, 8), () => simulation.submit(workOf({ kind: 'gang', count: 8 }, { team: team(), family: 'fit' })))
  })
  const classes = Object.fromEntries([...simulation.waits].map(([name, waits]) => [name, {
    count: waits.length,
    p50Ms: Math.round(quantile(waits, 0.5)),
    p99Ms: Math.round(quantile(waits, 0.99))
  }]))
  return { placer: `${placer} ${weighs}`, seed, classes, finished: simulation.succeeded }
}

function equalCast (): ReturnType<typeof castOf> {
  const { organisations, teams } = castOf(12, 6)
  return {
    organisations: organisations.map((organisation) => ({ ...organisation, weight: 1 })),
    teams: teams.map((team) => ({ ...team, weight: 1 }))
  }
}
