import type { Result } from 'neverthrow'
import type { Target } from '../model/target.ts'

/** The list of fleet hosts, as it was `ageMs` milliseconds ago. */
export type HostListing = { readonly targets: readonly Target[], readonly ageMs: number }

/** Why the host list could not be read. */
export type HostListFailure = { readonly reason: 'timeout' | 'unavailable' | 'malformed-answer' }

/** The platform's list of live and leaving hosts, which lags behind the fleet. */
export type HostList = {
  readonly read: () => Promise<Result<HostListing, HostListFailure>>
}
