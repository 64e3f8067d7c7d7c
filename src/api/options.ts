import type { Configuration, ConfigurationRevision } from '../model/configuration.ts'
import type { Ingress } from '../ingress/index.ts'
import type { Epoch, GroupNumber, MemberId } from '../model/ids.ts'
import type { Callers } from '../runtime/callers.ts'
import type { KeyVerifier } from '../util/key-verifier.ts'
import type { Result } from 'neverthrow'
import type { StoreFailure } from '../ports/store.ts'

/** Functions and limits of the member that the HTTP interface uses. */
export type ApiOptions = {
  readonly callers: Callers
  readonly keyVerifier: KeyVerifier
  readonly getConfiguration: () => Configuration
  /** Whether new work is accepted; reported to the load balancer. */
  readonly isReady: () => boolean
  readonly isAlive: () => boolean
  readonly formatMetrics: () => string
  readonly readHistory: (after: number, limit: number) => Promise<Result<readonly ConfigurationRevision[], StoreFailure>>
  readonly groups: number
  readonly getOwner: (group: GroupNumber) => { readonly owner: MemberId, readonly epoch: Epoch } | undefined
  readonly bodyLimitBytes: number
  /** SHA-256 hash of the operator key. */
  readonly operatorKeyHash: string
  /** Limits on callers; without it, the default ones. */
  readonly ingress?: Ingress
}

/** The options with which requests are handled. */
export type RouteOptions = ApiOptions & { readonly ingress: Ingress }
