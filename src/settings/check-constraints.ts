import type { Problem } from '../model/problem.ts'
import type { JsonDocument } from '../util/json-document.ts'
import type { Settings } from './settings.ts'

/** A new configuration must be in force on all members within this time, so a member must not treat an older one as fresh for longer. */
const MAX_CONFIGURATION_DELAY_MS = 6_000

/** A condition that several settings must satisfy together; a violation is reported at `pointer`. */
type SettingsConstraint = {
  readonly pointer: string
  readonly isSatisfied: (settings: Settings) => boolean
  readonly found: (settings: Settings) => string
  readonly allowed: string
}

const CONSTRAINTS: readonly SettingsConstraint[] = [
  // A promise must survive one lost heartbeat; otherwise each lost packet would move groups to another member.
  {
    pointer: '/timings/renewalPromiseMs',
    isSatisfied: ({ timings }) => timings.renewalPromiseMs >= 2 * timings.heartbeatIntervalMs,
    found: ({ timings }) => `${timings.renewalPromiseMs} with heartbeatIntervalMs ${timings.heartbeatIntervalMs}`,
    allowed: 'at least twice heartbeatIntervalMs'
  },
  {
    pointer: '/timings/storeLeaseMs',
    isSatisfied: ({ timings }) => timings.storeLeaseMs >= 2 * timings.storeLeaseRenewalMs,
    found: ({ timings }) => `${timings.storeLeaseMs} with storeLeaseRenewalMs ${timings.storeLeaseRenewalMs}`,
    allowed: 'at least twice storeLeaseRenewalMs'
  },
  // Each `sync` call renews the task lease, so the lease must last for a lost call and its retry.
  {
    pointer: '/timings/taskLeaseMs',
    isSatisfied: ({ timings }) => timings.taskLeaseMs >= 2 * timings.syncWaitMs,
    found: ({ timings }) => `${timings.taskLeaseMs} with syncWaitMs ${timings.syncWaitMs}`,
    allowed: 'at least twice syncWaitMs'
  },
  {
    pointer: '/timings/freshnessWindowMs',
    isSatisfied: ({ timings }) => timings.freshnessWindowMs >= 2 * timings.heartbeatIntervalMs && timings.freshnessWindowMs <= MAX_CONFIGURATION_DELAY_MS,
    found: ({ timings }) => `${timings.freshnessWindowMs} with heartbeatIntervalMs ${timings.heartbeatIntervalMs}`,
    allowed: `at least twice heartbeatIntervalMs and at most ${MAX_CONFIGURATION_DELAY_MS}, within which a configuration must be in force`
  },
  {
    pointer: '/tls',
    isSatisfied: ({ tls }) => new Set([tls.certificateFile, tls.keyFile, tls.authorityFile].map((file) => file === undefined)).size === 1,
    found: ({ tls }) => `only ${Object.keys(tls).join(' and ')}`,
    allowed: 'certificateFile, keyFile and authorityFile together, or none of them'
  },
  {
    pointer: '/peers/seeds',
    isSatisfied: ({ peers }) => new Set(peers.seeds.map(({ id }) => id)).size === peers.seeds.length,
    found: ({ peers }) => `a repeated id among ${peers.seeds.map(({ id }) => id).join(', ')}`,
    allowed: 'each member once'
  },
  {
    pointer: '/peers/seeds',
    isSatisfied: ({ member, peers }) => peers.seeds.every(({ id, address }) => (id === member.id) === (address === peers.advertise)),
    found: ({ member }) => `an id or address of this member (${member.id}) that differs from /member/id and /peers/advertise`,
    allowed: 'other members, or this member with its own id and address'
  },
  {
    pointer: '/peers/listen',
    isSatisfied: ({ callers, peers }) => callers.listen !== peers.listen,
    found: ({ peers }) => `${peers.listen}, which is also /callers/listen`,
    allowed: 'an address of its own'
  }
]

/**
 * Checks the constraints between settings that are valid individually, and returns the violations.
 *
 * @example
 * checkConstraints(settings, 'settings.json', document)
 */
export function checkConstraints (settings: Settings, file: string, document: JsonDocument): readonly Problem[] {
  return CONSTRAINTS
    .filter((constraint) => !constraint.isSatisfied(settings))
    .map(({ pointer, found, allowed }) => ({ code: 'inconsistent', file, pointer, line: document.lines.get(pointer), found: found(settings), allowed }))
}
