import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'

export type Peer = { readonly member: string, readonly address: string }

/** What one member asks another. */
export type MemberCall =
  /** A member tells the leader that it is there, once a second. */
  | { readonly type: 'hello', readonly peer: Peer }
  /** A job was stored. */
  | { readonly type: 'job-stored', readonly definition: JobDefinition }
  /** The cancelling of a job was stored. */
  | { readonly type: 'cancel-stored', readonly id: string }
  | { readonly type: 'phase', readonly id: string }
  /** The sender has won this term; who led before stops at once. */
  | { readonly type: 'stand-down', readonly term: number }
  /** Asks for advice on behalf of the leader: the advisor takes one call at a time from each member. */
  | { readonly type: 'advise', readonly step: string, readonly targets: readonly string[], readonly timeoutMs: number }
  /** Asks whether a member's address refuses connections for another member too. */
  | { readonly type: 'probe', readonly address: string }
  /** Asks what the advisor has answered to the member lately. */
  | { readonly type: 'known-advice' }

export type MemberResponse =
  | { readonly type: 'known-advice', readonly advice: readonly CachedAdvice[] }
  /** `waiting`: jobs by queue of which no task has started; undefined while the leader is reading the store. */
  | { readonly type: 'welcome', readonly peers: readonly Peer[], readonly waiting: Readonly<Record<string, number>> | undefined }
  | { readonly type: 'noted' }
  /** The member leads no earlier term; for how long it has sent no orders, in milliseconds. */
  | { readonly type: 'stood-down', readonly quietForMs: number }
  /** Whether nothing listens at the address. */
  | { readonly type: 'probed', readonly refused: boolean }
  | { readonly type: 'phase', readonly phase: JobPhase | undefined }
  | { readonly type: 'advice', readonly answer: AdviceResponse }
  /** The member does not lead, or cannot be sure that it still does. */
  | { readonly type: 'not-leading' }

export type MemberCallFailure = { readonly reason: 'timeout' | 'unavailable' | 'rejected' }
