import type { Random } from '../src/util/random.ts'

/**
 * Random indexes below `total`: the given ratio of them, but at least one.
 *
 * @example
 * chooseIndexes(Random.create(7), 6, 0.5) // three of 0 to 5
 */
export function chooseIndexes (random: Random, total: number, ratio: number): readonly number[] {
  const order = Array.from({ length: total }, (_, index) => ({ index, rank: random.next() })).sort((left, right) => left.rank - right.rank)
  return order.slice(0, Math.max(1, Math.floor(ratio * total))).map(({ index }) => index)
}
