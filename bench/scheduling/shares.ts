import { Random } from '../../src/util/random.ts'
import { castOf, exponentialRuns, type PlacerName, placerOf, shape, simulate, smallTargets, workOf } from './fleets.ts'

const SHAPES = [shape(1, 2000, 8192), shape(1, 1000, 4096), shape(1, 1500, 6144)]
const RUN_MS = 10_000

export type ShareFigures = {
  readonly placer: string
  readonly targets: number
  readonly teams: number
  readonly seed: number
  /** Distance of the share from the entitled share, as a part of the whole group and as a part of the entitled share. */
  readonly largestOfWhole: number
  readonly largestOfEntitled: number
  readonly meanOfEntitled: number
}

/**
 * One team has filled the group for a minute. Then all teams, with weights 1 to 3 in organisations with weights 1 to 3,
 * keep far more waiting than fits. One minute later the shares are compared with the weights, averaged over 5 s.
 */
export function measureShares (placer: PlacerName, targetCount: number, teams: number, seed: number): ShareFigures {
  const random = Random.create(seed)
  const cast = castOf(teams, Math.max(2, Math.floor(teams / 4)))
  const simulation = simulate({
    placer: placerOf(placer, { seed, minTargetsForReserve: Infinity }),
    targets: smallTargets(targetCount),
    cast,
    truth: { runMs: exponentialRuns(seed + 1, () => RUN_MS) }
  })
  const submit = (team: string): void => {
    const index = random.nextInt(SHAPES.length)
    simulation.submit(workOf({ kind: 'batch', count: 1 }, { team, family: `f${index}`, resources: SHAPES[index]! }))
  }
  const each = targetCount * 8 * 7
  for (let index = 0; index < targetCount * 16; index += 1) submit(cast.teams[0]!.name)
  simulation.run(60_000)
  for (let index = 0; index < each; index += 1) for (const team of cast.teams.slice(0, teams)) if (index < each / teams * 3) submit(team.name)
  simulation.run(120_000)
  const sums = new Map<string, number>()
  for (let sample = 0; sample < 50; sample += 1) {
    simulation.run(simulation.now + 100)
    for (const { work } of simulation.running.values()) sums.set(work.team, (sums.get(work.team) ?? 0) + work.resources.slots / targetCount / 8 / 50)
  }
  return { placer, targets: targetCount, teams, seed, ...distances(cast, sums) }
}

/** All shapes take one slot, which is what is short, so entitled shares follow the weights of organisation and team. */
function distances ({ organisations, teams }: ReturnType<typeof castOf>, shares: ReadonlyMap<string, number>): Omit<ShareFigures, 'placer' | 'targets' | 'teams' | 'seed'> {
  const weight = new Map(organisations.map((organisation) => [organisation.name, organisation.weight]))
  const all = organisations.reduce((sum, organisation) => sum + organisation.weight, 0)
  const inside = new Map<string, number>()
  for (const team of teams) inside.set(team.organisation, (inside.get(team.organisation) ?? 0) + team.weight)
  const relative: number[] = []
  let largestOfWhole = 0
  for (const team of teams) {
    const entitled = weight.get(team.organisation)! / all * team.weight / inside.get(team.organisation)!
    const distance = Math.abs((shares.get(team.name) ?? 0) - entitled)
    relative.push(distance / entitled)
    largestOfWhole = Math.max(largestOfWhole, distance)
  }
  return { largestOfWhole, largestOfEntitled: Math.max(...relative), meanOfEntitled: relative.reduce((sum, value) => sum + value, 0) / relative.length }
}
