import type { FailureDomainName, HostId, KeyId, OrganisationName, QueueName, Revision, TeamName } from './ids.ts'
import type { Resources } from './resources.ts'

/** An organisation; its teams share its part of the capacity. */
export type Organisation = {
  readonly name: OrganisationName
  /** Weight of the organisation's share when the demand exceeds the capacity. */
  readonly weight: number
}

/** A team, with its share and its limits. */
export type Team = {
  readonly name: TeamName
  readonly organisation: OrganisationName
  /** Weight of the team's share inside its organisation. */
  readonly weight: number
  /** Maximum resources of the team across the fleet. */
  readonly limit: Resources
  /** Maximum number of the team's tasks that may wait in one group. */
  readonly waitingLimit: number
}

/** A queue that callers submit work to. */
export type Queue = {
  readonly name: QueueName
  /** `open`: work is accepted without a key and belongs to `team`. `team`: work is accepted only with a key of that team. */
  readonly access: { readonly type: 'open', readonly team: TeamName } | { readonly type: 'team', readonly team: TeamName }
}

/** A team key, without its secret part. */
export type Key = {
  readonly id: KeyId
  readonly team: TeamName
  /** Hexadecimal salt and scrypt hash of the secret part. */
  readonly salt: string
  readonly hash: string
}

/** A failure domain; `out` means that operators have taken it out of service. */
export type FailureDomain = { readonly name: FailureDomainName, readonly state: 'in' | 'out' }

/** An operator's instruction that a host must accept no new work. */
export type Drain = { readonly host: HostId }

/** Which criteria weigh more in placement: `packing` (packing and shares) or `prompt` (waiting time and domain changes). */
export type Profile = { readonly name: 'profile', readonly weighs: 'packing' | 'prompt' }

/** A service that the configuration keeps running; `publish` writes it from a service file. */
export type ServiceDefinition = {
  readonly name: string
  readonly queue: QueueName
  readonly count: number
  readonly family: string
  readonly resources: Resources
  readonly payload: unknown
}

/** One change of a revision; a `value` of null removes the entry of that kind and name. */
export type Change =
  | { readonly kind: 'organisation', readonly name: string, readonly value: Organisation | null }
  | { readonly kind: 'team', readonly name: string, readonly value: Team | null }
  | { readonly kind: 'queue', readonly name: string, readonly value: Queue | null }
  | { readonly kind: 'key', readonly name: string, readonly value: Key | null }
  | { readonly kind: 'failureDomain', readonly name: string, readonly value: FailureDomain | null }
  | { readonly kind: 'drain', readonly name: string, readonly value: Drain | null }
  | { readonly kind: 'profile', readonly name: string, readonly value: Profile | null }
  | { readonly kind: 'service', readonly name: string, readonly value: ServiceDefinition | null }

/** One accepted revision of the configuration. */
export type ConfigurationRevision = {
  readonly revision: Revision
  readonly author: string
  /** Milliseconds since 1970 on the author's clock; for display only. */
  readonly at: number
  /** Chosen by the author; after a lost response it identifies the author's own write. */
  readonly nonce: string
  readonly changes: readonly Change[]
}

/** The configuration after all revisions up to `revision`. */
export type Configuration = {
  readonly revision: Revision
  readonly organisations: ReadonlyMap<OrganisationName, Organisation>
  readonly teams: ReadonlyMap<TeamName, Team>
  readonly queues: ReadonlyMap<QueueName, Queue>
  readonly keys: ReadonlyMap<KeyId, Key>
  readonly failureDomains: ReadonlyMap<FailureDomainName, FailureDomain>
  readonly drains: ReadonlyMap<HostId, Drain>
  readonly profile: Profile
  readonly services: ReadonlyMap<string, ServiceDefinition>
}
