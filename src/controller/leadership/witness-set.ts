import type { Peer } from '../member-call.ts'

/** Largest number of witnesses that a leader chooses. */
const MAX_WITNESSES = 5

/**
 * Returns how many of its witnesses must have confirmed a term, so that its leader may send commands without the store.
 *
 * @example
 * computeQuorum(5) // 3
 */
export function computeQuorum (witnesses: number): number {
  return Math.floor(witnesses / 2) + 1
}

/**
 * Returns how many witnesses must have stopped confirming a term, so that the others are too few for its leader.
 *
 * @example
 * computeBlockingCount(4) // 2: two are left, and the leader needs three
 */
export function computeBlockingCount (witnesses: number): number {
  return witnesses - computeQuorum(witnesses) + 1
}

export type WitnessChoice = {
  readonly self: Peer
  /** The present witnesses. */
  readonly witnesses: readonly Peer[]
  /** The other members that can be witnesses. */
  readonly candidates: readonly Peer[]
}

/**
 * Chooses the witnesses of a leader: those of before that are still candidates, then members of the failure domains with the
 * fewest so far.
 *
 * @example
 * chooseWitnesses({ self, witnesses: [], candidates }) // up to five of the candidates
 */
export function chooseWitnesses ({ self, witnesses, candidates }: WitnessChoice): readonly Peer[] {
  const isWitness = ({ address }: Peer): boolean => witnesses.some((witness) => witness.address === address)
  // A member may be listed at an address that another one has now.
  const reachable = [...new Map(candidates.map((candidate) => [candidate.address, candidate])).values()]
  const chosen = reachable.filter(isWitness)
  const others = reachable.filter((candidate) => !isWitness(candidate))
  while (chosen.length < MAX_WITNESSES && others.length > 0) {
    const counts = others.map(({ failureDomain }) => [self, ...chosen].filter((peer) => peer.failureDomain === failureDomain).length)
    chosen.push(...others.splice(counts.indexOf(Math.min(...counts)), 1))
  }
  return chosen
}

/**
 * Returns the witnesses of a claim: those of the term before, as stored, without the member itself. Without them, nobody could tell
 * how long a leader goes on that ends before it has chosen its own.
 *
 * @example
 * inheritWitnesses([{ member: 'entry-2', address: '10.0.0.2:7420' }], self)
 */
export function inheritWitnesses (stored: unknown, self: Peer): readonly Peer[] {
  return (parseWitnesses(stored) ?? []).filter(({ member, address }) => member !== self.member && address !== self.address)
}

/**
 * Parses the witnesses in a stored record; undefined if there are none, or if the value is not a list of members at different
 * addresses.
 *
 * @example
 * parseWitnesses([{ member: 'entry-2', address: '10.0.0.2:7420' }])
 */
export function parseWitnesses (value: unknown): readonly Peer[] | undefined {
  if (!Array.isArray(value) || value.length === 0 || !value.every(isPeer)) return undefined
  const addresses = new Set(value.map(({ address }) => address))
  return addresses.size === value.length ? value : undefined
}

function isPeer (value: unknown): value is Peer {
  if (typeof value !== 'object' || value === null) return false
  const { member, address } = value as Partial<Record<keyof Peer, unknown>>
  return typeof member === 'string' && typeof address === 'string' && address !== ''
}
