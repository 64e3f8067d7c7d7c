import type { Resources } from './resources.ts'

/** Reason of a refusal, with the details that a caller needs to handle it. */
export type Refusal =
  | { readonly reason: 'invalid', readonly pointer: string, readonly detail: string }
  | { readonly reason: 'unknown-queue', readonly queue: string }
  | { readonly reason: 'key-missing' }
  | { readonly reason: 'key-rejected' }
  | { readonly reason: 'configuration-not-fresh', readonly retryAfterMs: number }
  | { readonly reason: 'starting-up', readonly retryAfterMs: number }
  | { readonly reason: 'shutting-down', readonly retryAfterMs: number }
  /** `nearest` is the largest amount of resources that would fit. */
  | { readonly reason: 'never-fits', readonly nearest: Resources, readonly detail: string }
  | { readonly reason: 'over-team-limit', readonly detail: string }
  | { readonly reason: 'overloaded', readonly retryAfterMs: number }
  | { readonly reason: 'deadline-passed' }
  | { readonly reason: 'deadline-unreachable', readonly retryAfterMs: number }
  | { readonly reason: 'store-unavailable', readonly retryAfterMs: number }
  | { readonly reason: 'no-owner', readonly retryAfterMs: number }
  | { readonly reason: 'outcome-unknown', readonly detail: string }
  | { readonly reason: 'cancelled' }
  | { readonly reason: 'target-lost' }
  | { readonly reason: 'retries-exhausted', readonly detail: string }
  | { readonly reason: 'id-reused', readonly detail: string }

/** Id of the reason of a refusal. */
export type RefusalReason = Refusal['reason']
