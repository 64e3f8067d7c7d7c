import type { Peer } from '../member-call.ts'

/** Number of targets that one relay carries. */
const TARGETS_PER_RELAY = 48
/** A cell with fewer targets needs no relays: its leader sends all commands. */
const MIN_TARGETS = 96

/** Number of targets by failure domain. */
export type TargetCounts = ReadonlyMap<string, number>

/**
 * Selects the members that relay commands, by failure domain: the largest members of each domain, as many as its targets
 * need. Only members that bind commands to incarnations can be relays. Domains without such members have no relays; the leader calls
 * their targets itself.
 *
 * @example
 * selectRelays([{ member: 'a', address: '10.0.0.1:7420', failureDomain: 'east', cores: 1.35, bindsCommands: true }], new Map([['east', 120]]))
 */
export function selectRelays (members: readonly Peer[], targetCounts: TargetCounts): ReadonlyMap<string, readonly Peer[]> {
  const selected = new Map<string, readonly Peer[]>()
  const total = [...targetCounts.values()].reduce((sum, count) => sum + count, 0)
  if (total < MIN_TARGETS) return selected
  for (const [domain, count] of targetCounts) {
    const candidates = members.filter(({ failureDomain, bindsCommands }) => failureDomain === domain && bindsCommands === true).sort(compareBySize)
    const relays = candidates.slice(0, Math.ceil(count / TARGETS_PER_RELAY))
    if (relays.length > 0) selected.set(domain, relays)
  }
  return selected
}

function compareBySize (left: Peer, right: Peer): number {
  return (right.cores ?? 0) - (left.cores ?? 0) || (left.member < right.member ? -1 : 1)
}
